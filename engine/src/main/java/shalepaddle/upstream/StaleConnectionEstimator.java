package shalepaddle.upstream;

/**
 * How often connections break when a request is written to them after an idle period, by the length
 * of the period.
 *
 * <p>Prevents losses where the server, or an address translator on the way, drops idle connections
 * sooner than the settings say and without a message: a request that may not be retried is lost
 * when it finds out. Cost: where connections break for other reasons, requests after an idle period
 * wait for a new one.
 *
 * <p>Owned by the server's pool, on the event loop.
 */
final class StaleConnectionEstimator {
  /** Shorter idle periods are not considered. */
  private static final long MIN_IDLE_NANOS = 16_000_000L;

  /** Idle periods are told apart by powers of two of the shortest. */
  private static final int BUCKETS = 12;

  /** The weight of one observation in the moving average. */
  private static final double SMOOTHING = 0.05;

  /** Above this share of broken connections a new one is better. */
  private static final double MAX_BROKEN_RATIO = 0.25;

  /** After this time without observations the connections are used again. */
  private static final long OBSERVATION_LIFETIME_NANOS = 10_000_000_000L;

  private final double[] brokenRatio = new double[BUCKETS];
  private final long[] observedAtNanos = new long[BUCKETS];

  private static int bucket(long idleNanos) {
    int doublings = 63 - Long.numberOfLeadingZeros(Math.max(1, idleNanos / MIN_IDLE_NANOS));
    return Math.min(BUCKETS - 1, doublings);
  }

  /** A request was written after this idle period; its connection then broke or replied. */
  void record(long idleNanos, boolean broke, long now) {
    if (idleNanos >= MIN_IDLE_NANOS) {
      int bucket = bucket(idleNanos);
      brokenRatio[bucket] += SMOOTHING * ((broke ? 1 : 0) - brokenRatio[bucket]);
      observedAtNanos[bucket] = now;
    }
  }

  /** Whether too many connections break after such an idle period, or a shorter one. */
  boolean isLikelyStale(long idleNanos, long now) {
    for (int i = 0; idleNanos >= MIN_IDLE_NANOS && i <= bucket(idleNanos); i++) {
      if (brokenRatio[i] > MAX_BROKEN_RATIO) {
        if (now - observedAtNanos[i] < OBSERVATION_LIFETIME_NANOS) {
          return true;
        }
        brokenRatio[i] = MAX_BROKEN_RATIO;
      }
    }
    return false;
  }
}
