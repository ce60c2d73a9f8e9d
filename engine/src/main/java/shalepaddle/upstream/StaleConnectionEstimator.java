package shalepaddle.upstream;

/**
 * Estimates how often connections break when a request is written to them after an idle period, by
 * the length of the period.
 *
 * <p>Prevents losses if the server, or a NAT device on the path, drops idle connections silently
 * and sooner than the configured idle time: a request written to such a connection is lost if it
 * must not be retried. Cost: if connections break for other reasons, requests after an idle period
 * wait for a new connection.
 *
 * <p>Owned by the server's pool, on the event loop.
 */
final class StaleConnectionEstimator {
  /** Idle periods that are shorter are not considered. */
  private static final long MIN_IDLE_NANOS = 16_000_000L;

  /** Number of buckets; their lower bounds are the minimum idle period times powers of two. */
  private static final int BUCKET_COUNT = 12;

  /** The weight of one observation in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /**
   * Above this ratio of connections that broke after an idle period, connections with such an idle
   * period are not used.
   */
  private static final double MAX_BROKEN_RATIO = 0.25;

  /** Connections are used again once their idle period has not been observed for this time. */
  private static final long OBSERVATION_LIFETIME_NANOS = 10_000_000_000L;

  private final double[] brokenRatios = new double[BUCKET_COUNT];
  private final long[] observedAtNanos = new long[BUCKET_COUNT];

  private static int bucketOf(long idleNanos) {
    int doublings = 63 - Long.numberOfLeadingZeros(Math.max(1, idleNanos / MIN_IDLE_NANOS));
    return Math.min(BUCKET_COUNT - 1, doublings);
  }

  /** Records whether the connection broke or replied to a request after this idle period. */
  void record(long idleNanos, boolean isBroken, long now) {
    if (idleNanos >= MIN_IDLE_NANOS) {
      int bucket = bucketOf(idleNanos);
      brokenRatios[bucket] += SMOOTHING_FACTOR * ((isBroken ? 1 : 0) - brokenRatios[bucket]);
      observedAtNanos[bucket] = now;
    }
  }

  /** Whether too many connections break after an idle period of this length or shorter. */
  boolean isLikelyStale(long idleNanos, long now) {
    for (int i = 0; idleNanos >= MIN_IDLE_NANOS && i <= bucketOf(idleNanos); i++) {
      if (brokenRatios[i] > MAX_BROKEN_RATIO) {
        if (now - observedAtNanos[i] < OBSERVATION_LIFETIME_NANOS) {
          return true;
        }
        brokenRatios[i] = MAX_BROKEN_RATIO;
      }
    }
    return false;
  }
}
