package shalepaddle.model;

/**
 * An attempt and its outcome as observed by one process of a node, for another process of the same
 * node to learn from. Contains the raw data rather than conclusions, so that different versions of
 * the program can exchange it.
 *
 * @param endedAtSeconds when the attempt ended, in seconds since 1970
 * @param request the request that it was sent for
 * @param outcome how it ended; the request id and attempt number in it are ignored
 */
public record Observation(double endedAtSeconds, Request request, Outcome outcome) {
  /** When the attempt was sent, in seconds since 1970. */
  public double sentAtSeconds() {
    return endedAtSeconds - outcome.elapsedSeconds();
  }
}
