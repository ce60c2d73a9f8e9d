package shalepaddle.overload;

/**
 * Whether one client connection sends retries before their Retry-After has passed.
 *
 * <p>A rejection that is answered at once brings the next retry at once, so that rejections can
 * keep up the overload that caused them. Answers are not delayed for that; but reading from such a
 * connection is suspended for an interval of {@value #INTERVAL_NANOS} ns, in which its requests
 * wait in the client's own socket. A retry is early if more come than are due by the Retry-After of
 * earlier rejections; up to {@value #MAX_EARLY_RETRIES} an interval are tolerated.
 *
 * <p>Prevents a retry storm that feeds itself: its cost is bounded by the number of connections.
 * Cost: callers that share a connection with an early one wait too, for an interval at most.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: owned by one connection.
 */
public final class RetryStormDetector {
  /** The longest that reading is suspended; retries are counted in intervals of this length. */
  public static final long INTERVAL_NANOS = 100_000_000L;

  /** Early retries in an interval that are tolerated, as a Retry-After may be half an interval. */
  private static final int MAX_EARLY_RETRIES = 2;

  /** Retries that may be due, as many as a connection may have responses pending. */
  private static final int MAX_DUE_RETRIES = 64;

  /** Intervals that are told apart; a longer Retry-After counts as this. */
  private static final int INTERVALS = 16;

  /** Retries that are due from an interval on, by the interval; null before the first rejection. */
  private byte[] dueLater;

  private long interval;
  private int dueRetries;
  private int earlyRetries;
  private boolean isStorm;
  private boolean wasStorm;

  /**
   * A request of the connection is rejected.
   *
   * @param isRetry whether it is a retry
   * @param retryAfterNanos the Retry-After that the client is given, 0 for none
   * @return nanoseconds for which to suspend reading from the connection, 0 for none
   */
  public long recordRejection(boolean isRetry, long retryAfterNanos, long now) {
    long current = Math.floorDiv(now, INTERVAL_NANOS);
    if (dueLater == null) {
      dueLater = new byte[INTERVALS];
      interval = current;
    }
    if (current != interval) {
      for (int i = 1; i <= Math.min(INTERVALS, current - interval); i++) {
        int slot = slot(interval + i);
        dueRetries = Math.min(MAX_DUE_RETRIES, dueRetries + dueLater[slot]);
        dueLater[slot] = 0;
      }
      wasStorm = isStorm && current == interval + 1;
      isStorm = false;
      earlyRetries = 0;
      interval = current;
    }
    if (isRetry && dueRetries > 0) {
      dueRetries--;
    } else if (isRetry) {
      // It came early, and so will not come when it is due.
      removeOneDueLater(current);
      isStorm |= ++earlyRetries > (wasStorm ? 0 : MAX_EARLY_RETRIES);
    }
    int from =
        slot(current + Math.max(1, Math.min(INTERVALS - 1, retryAfterNanos / INTERVAL_NANOS)));
    dueLater[from] = (byte) Math.min(MAX_DUE_RETRIES, dueLater[from] + 1);
    return isStorm ? INTERVAL_NANOS : 0;
  }

  private void removeOneDueLater(long current) {
    for (int i = 1; i < INTERVALS; i++) {
      if (dueLater[slot(current + i)] > 0) {
        dueLater[slot(current + i)]--;
        return;
      }
    }
  }

  private static int slot(long interval) {
    return (int) Math.floorMod(interval, (long) INTERVALS);
  }
}
