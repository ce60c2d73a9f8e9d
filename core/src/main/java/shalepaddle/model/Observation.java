package shalepaddle.model;

/**
 * What one attempt showed: enough for another process of the same node to learn from it what this
 * one did. An observation and no conclusion, so that two versions of the program, which may judge
 * otherwise, can pass it on.
 *
 * @param endedAt when the attempt ended, in seconds since 1970
 * @param request the request that it was sent for
 * @param outcome how it ended; its request and number count for nothing
 */
public record Observation(double endedAt, Request request, Outcome outcome) {
  /** When the attempt was sent, in seconds since 1970. */
  public double sentAt() {
    return endedAt - outcome.elapsedSeconds();
  }
}
