package shalepaddle.front;

/**
 * Until when nothing is read from a connection. Of several reasons the one that lasts longest
 * holds: a penalty for an error is not shortened by a pause that had begun before it. Owned by its
 * connection, on the event loop; times are by the loop's clock.
 */
final class ReadPause {
  private boolean isActive;
  private long untilNanos;

  /** Whether nothing is read now. */
  boolean isActive() {
    return isActive;
  }

  /**
   * Extends the pause to at least the given time from now.
   *
   * @return whether the pause begins with it: the caller must then ask {@link #remainingNanos} when
   *     it ends
   */
  boolean extend(long now, long nanos) {
    untilNanos = isActive ? Math.max(untilNanos, now + nanos) : now + nanos;
    boolean begins = !isActive;
    isActive = true;
    return begins;
  }

  /**
   * Ends it by then at the latest, since an answer is due.
   *
   * @return whether that is sooner than it would have ended
   */
  boolean endBy(long latestNanos) {
    if (!isActive || untilNanos - latestNanos <= 0) {
      return false;
    }
    untilNanos = latestNanos;
    return true;
  }

  /** What is left of it; at 0 it has ended. */
  long remainingNanos(long now) {
    long remaining = Math.max(0, untilNanos - now);
    isActive = remaining > 0;
    return remaining;
  }
}
