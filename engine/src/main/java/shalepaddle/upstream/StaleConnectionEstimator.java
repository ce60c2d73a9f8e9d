package shalepaddle.upstream;

/**
 * What becomes of requests that are written to a server's connections after a pause, by the length
 * of the pause: the share of those whose connection then broke with no answer.
 *
 * <p>Guards against connections that somebody on the way, or the server, gives up sooner than the
 * settings say, and without a word: the request that finds out is lost if it may not be repeated.
 * It should also catch address translators with short memories. Could do harm where connections
 * break for other reasons after a pause: each request then pays for a new one.
 */
final class StaleConnectionEstimator {
  /** Lengths of a pause are told apart by powers of two, from the shortest that is ever judged. */
  private static final long SHORTEST_NANOS = 16_000_000L;

  private static final int LENGTHS = 12;

  private static final double GAIN = 0.05;

  /** The share of broken connections from which a new one is the better choice. */
  private static final double TOLERATED = 0.25;

  /** What was seen so long ago is tried again. */
  private static final long FORGOTTEN_NANOS = 10_000_000_000L;

  private final double[] broken = new double[LENGTHS];
  private final long[] seenAt = new long[LENGTHS];

  private static int length(long pause) {
    int doublings = 63 - Long.numberOfLeadingZeros(Math.max(1, pause / SHORTEST_NANOS));
    return Math.min(LENGTHS - 1, doublings);
  }

  /** A request was written after this pause, and its connection broke or brought an answer. */
  void seen(long pause, boolean broke, long now) {
    if (pause >= SHORTEST_NANOS) {
      int length = length(pause);
      broken[length] += GAIN * ((broke ? 1 : 0) - broken[length]);
      seenAt[length] = now;
    }
  }

  /** Whether connections too often break after such a pause, or one that is shorter. */
  boolean tooLong(long pause, long now) {
    for (int i = 0; pause >= SHORTEST_NANOS && i <= length(pause); i++) {
      if (broken[i] > TOLERATED) {
        if (now - seenAt[i] < FORGOTTEN_NANOS) {
          return true;
        }
        broken[i] = TOLERATED;
      }
    }
    return false;
  }
}
