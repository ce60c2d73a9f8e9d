package shalepaddle.loop;

/**
 * Predicts the stalls of an event loop by the second longest stall in the last {@value
 * #WINDOW_NANOS} to twice as many nanoseconds. A single stall, such as a garbage collection, is not
 * expected to recur.
 *
 * <p>All times are nanoseconds of one clock. Not thread-safe.
 */
final class StallHistory {
  /** Length of a window; the present window and the previous one are retained. */
  private static final long WINDOW_NANOS = 15_000_000_000L;

  private final long[] longestNanos = new long[2];
  private final long[] secondLongestNanos = new long[2];
  private long latestWindow = Long.MIN_VALUE;

  /** Adds a stall that has just ended. */
  void add(long stallNanos, long now) {
    advance(now);
    if (stallNanos > longestNanos[0]) {
      secondLongestNanos[0] = longestNanos[0];
      longestNanos[0] = stallNanos;
    } else {
      secondLongestNanos[0] = Math.max(secondLongestNanos[0], stallNanos);
    }
  }

  /** The length in nanoseconds of the stall to expect, 0 for none. */
  long expectedStallNanos(long now) {
    advance(now);
    long shorterOfLongestNanos = Math.min(longestNanos[0], longestNanos[1]);
    return Math.max(shorterOfLongestNanos, Math.max(secondLongestNanos[0], secondLongestNanos[1]));
  }

  /** Forgets all stalls. */
  void clear() {
    for (int i = 0; i < 2; i++) {
      longestNanos[i] = 0;
      secondLongestNanos[i] = 0;
    }
  }

  private void advance(long now) {
    long currentWindow = Math.floorDiv(now, WINDOW_NANOS);
    if (currentWindow == latestWindow) {
      return;
    }
    boolean isAdjacent = currentWindow == latestWindow + 1;
    longestNanos[1] = isAdjacent ? longestNanos[0] : 0;
    secondLongestNanos[1] = isAdjacent ? secondLongestNanos[0] : 0;
    longestNanos[0] = 0;
    secondLongestNanos[0] = 0;
    latestWindow = currentWindow;
  }
}
