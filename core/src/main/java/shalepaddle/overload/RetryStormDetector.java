package shalepaddle.overload;

/**
 * Detects whether a client connection sends retries before their Retry-After has passed.
 *
 * <p>A client that ignores Retry-After answers a rejection with the next retry at once, so that
 * rejections can sustain the overload that caused them. Rejections are not delayed. Instead,
 * reading from such a connection is suspended for an interval of {@value #INTERVAL_NANOS} ns, in
 * which its requests wait in the client's socket. A retry is early if more retries arrive than are
 * due by the Retry-After of earlier rejections; up to {@value #MAX_EARLY_RETRIES} per interval are
 * tolerated.
 *
 * <p>Prevents a self-sustaining retry storm: its cost is bounded by the number of connections.
 * Cost: other callers on the same connection also wait, for at most one interval.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: owned by one connection.
 */
public final class RetryStormDetector {
  /** The time for which reading is suspended. Retries are counted in intervals of this length. */
  public static final long INTERVAL_NANOS = 100_000_000L;

  /** Early retries per interval that are tolerated, since a Retry-After may be half an interval. */
  private static final int MAX_EARLY_RETRIES = 2;

  /** Maximum number of due retries: the number of responses that a connection may have pending. */
  private static final int MAX_DUE_RETRIES = 64;

  /**
   * The number of intervals in {@link #retriesDueLater}; a longer Retry-After is cut to this range
   * of intervals.
   */
  private static final int INTERVAL_COUNT = 16;

  /** Number of retries that become due in each interval; null before the first rejection. */
  private byte[] retriesDueLater;

  private long lastInterval;
  private int dueRetries;
  private int earlyRetries;
  private boolean isStorm;
  private boolean wasStorm;

  /**
   * Records the rejection of a request of this connection.
   *
   * @param isRetry whether the request is a retry
   * @param retryAfterNanos the Retry-After of the rejection, 0 for none
   * @return nanoseconds for which to suspend reading from the connection, 0 for none
   */
  public long recordRejection(boolean isRetry, long retryAfterNanos, long now) {
    long currentInterval = Math.floorDiv(now, INTERVAL_NANOS);
    if (retriesDueLater == null) {
      retriesDueLater = new byte[INTERVAL_COUNT];
      lastInterval = currentInterval;
    }
    if (currentInterval != lastInterval) {
      for (int i = 1; i <= Math.min(INTERVAL_COUNT, currentInterval - lastInterval); i++) {
        int slot = slot(lastInterval + i);
        dueRetries = Math.min(MAX_DUE_RETRIES, dueRetries + retriesDueLater[slot]);
        retriesDueLater[slot] = 0;
      }
      wasStorm = isStorm && currentInterval == lastInterval + 1;
      isStorm = false;
      earlyRetries = 0;
      lastInterval = currentInterval;
    }
    if (isRetry && dueRetries > 0) {
      dueRetries--;
    } else if (isRetry) {
      // This retry came early, so the client will not send it again when it is due.
      removeOneRetryDueLater(currentInterval);
      isStorm |= ++earlyRetries > (wasStorm ? 0 : MAX_EARLY_RETRIES);
    }
    int dueSlot =
        slot(
            currentInterval
                + Math.max(1, Math.min(INTERVAL_COUNT - 1, retryAfterNanos / INTERVAL_NANOS)));
    retriesDueLater[dueSlot] = (byte) Math.min(MAX_DUE_RETRIES, retriesDueLater[dueSlot] + 1);
    return isStorm ? INTERVAL_NANOS : 0;
  }

  private void removeOneRetryDueLater(long currentInterval) {
    for (int i = 1; i < INTERVAL_COUNT; i++) {
      if (retriesDueLater[slot(currentInterval + i)] > 0) {
        retriesDueLater[slot(currentInterval + i)]--;
        return;
      }
    }
  }

  private static int slot(long interval) {
    return (int) Math.floorMod(interval, (long) INTERVAL_COUNT);
  }
}
