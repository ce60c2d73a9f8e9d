package shalepaddle.loop;

/**
 * Predicts an event loop's stalls: the second longest stall of the last {@value #WINDOW_NANOS} ns
 * or more. A single stall, such as a garbage collection, predicts nothing.
 *
 * <p>All times are nanoseconds of one clock. Not thread-safe.
 */
final class StallHistory {
  /** Two windows are kept: the present one and the one before. */
  private static final long WINDOW_NANOS = 15_000_000_000L;

  private final long[] longest = new long[2];
  private final long[] secondLongest = new long[2];
  private long window = Long.MIN_VALUE;

  /** The loop has stalled for this many nanoseconds, until now. */
  void add(long nanos, long now) {
    advance(now);
    if (nanos > longest[0]) {
      secondLongest[0] = longest[0];
      longest[0] = nanos;
    } else {
      secondLongest[0] = Math.max(secondLongest[0], nanos);
    }
  }

  /** The length of a stall that is to be expected, 0 for none. */
  long expected(long now) {
    advance(now);
    long shorterOfLongest = Math.min(longest[0], longest[1]);
    return Math.max(shorterOfLongest, Math.max(secondLongest[0], secondLongest[1]));
  }

  void clear() {
    for (int i = 0; i < 2; i++) {
      longest[i] = 0;
      secondLongest[i] = 0;
    }
  }

  private void advance(long now) {
    long current = Math.floorDiv(now, WINDOW_NANOS);
    if (current == window) {
      return;
    }
    boolean adjacent = current == window + 1;
    longest[1] = adjacent ? longest[0] : 0;
    secondLongest[1] = adjacent ? secondLongest[0] : 0;
    longest[0] = 0;
    secondLongest[0] = 0;
    window = current;
  }
}
