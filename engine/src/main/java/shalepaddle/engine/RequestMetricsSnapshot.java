package shalepaddle.engine;

import java.util.List;

/**
 * {@link RequestMetrics} at one moment. Immutable.
 *
 * @param received requests that were read completely
 * @param disconnected requests whose clients disconnected before the answer
 * @param outstanding requests that have not ended
 * @param forwards attempts written completely to cache servers
 * @param results the number of answers, by service class
 */
public record RequestMetricsSnapshot(
    long received, long disconnected, long outstanding, long forwards, List<Results> results) {
  /**
   * The number of answers to the requests of one service class.
   *
   * @param service the name of the class
   * @param succeeded requests that were served
   * @param rejected requests that were rejected, so that a retry is safe
   * @param failed requests that failed
   */
  public record Results(String service, long succeeded, long rejected, long failed) {}
}
