package shalepaddle.engine;

import java.util.List;

/**
 * What became of requests and attempts since the start, at one moment.
 *
 * @param received requests that were read whole
 * @param disconnected those of them whose clients left before the answer
 * @param outstanding those that have not ended
 * @param forwards attempts written whole to cache servers
 * @param results what the others came to, by class
 */
public record RequestMetricsSnapshot(
    long received, long disconnected, long outstanding, long forwards, List<Results> results) {
  /**
   * What the requests of one class came to.
   *
   * @param service the class
   * @param succeeded served
   * @param rejected refused: a new try does no harm
   * @param failed failed
   */
  public record Results(String service, long succeeded, long rejected, long failed) {}
}
