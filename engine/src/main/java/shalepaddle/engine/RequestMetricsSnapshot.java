package shalepaddle.engine;

import java.util.List;

/**
 * {@link RequestMetrics} at one moment. Immutable.
 *
 * @param received requests that were read completely
 * @param disconnected those whose clients left before the answer
 * @param outstanding those that have not ended
 * @param forwards attempts written completely to cache servers
 * @param results the answers, by service class
 */
public record RequestMetricsSnapshot(
    long received, long disconnected, long outstanding, long forwards, List<Results> results) {
  /**
   * The answers to the requests of one service class.
   *
   * @param service the class
   * @param succeeded served
   * @param rejected rejected: a retry is safe
   * @param failed failed
   */
  public record Results(String service, long succeeded, long rejected, long failed) {}
}
