package shalepaddle.engine;

import java.util.List;

/**
 * {@link RequestMetrics} at one moment. Immutable.
 *
 * @param receivedRequests requests that were read completely
 * @param disconnectedRequests requests whose clients disconnected before the answer
 * @param outstandingRequests requests that have not ended
 * @param forwardedAttempts attempts written completely to cache servers
 * @param results the number of answers, by service class
 */
public record RequestMetricsSnapshot(
    long receivedRequests,
    long disconnectedRequests,
    long outstandingRequests,
    long forwardedAttempts,
    List<Results> results) {
  /**
   * The number of answers to the requests of one service class.
   *
   * @param service the name of the class
   * @param succeededRequests requests that were served
   * @param rejectedRequests requests that were rejected, so that a retry is safe
   * @param failedRequests requests that failed
   */
  public record Results(
      String service, long succeededRequests, long rejectedRequests, long failedRequests) {}
}
