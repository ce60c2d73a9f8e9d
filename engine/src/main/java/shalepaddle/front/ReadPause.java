package shalepaddle.front;

/**
 * A pause in reading from a connection. If there are several reasons, the longest pause applies: a
 * pause after an error is not shortened by another one that began before. Owned by its connection,
 * on the event loop; times are by the loop's clock.
 */
final class ReadPause {
  private boolean isActive;
  private long endNanos;

  /** Whether reading is paused now. */
  boolean isActive() {
    return isActive;
  }

  /**
   * Starts a pause of the given length, or extends the active pause to at least that length.
   *
   * @return whether a pause was started: the caller must then call {@link #remainingNanos} at its
   *     end
   */
  boolean extend(long now, long pauseNanos) {
    endNanos = isActive ? Math.max(endNanos, now + pauseNanos) : now + pauseNanos;
    boolean isNewPause = !isActive;
    isActive = true;
    return isNewPause;
  }

  /**
   * Limits the end of the pause to the given time, when a command has to be delivered.
   *
   * @return whether the pause was shortened
   */
  boolean endBy(long latestNanos) {
    if (!isActive || endNanos - latestNanos <= 0) {
      return false;
    }
    endNanos = latestNanos;
    return true;
  }

  /** The remaining length of the pause; ends the pause if that is 0. */
  long remainingNanos(long now) {
    long remainingNanos = Math.max(0, endNanos - now);
    isActive = remainingNanos > 0;
    return remainingNanos;
  }
}
