package shalepaddle.overload;

/**
 * Computes the limit on admitted requests per second from the minimum delay of the event loop in
 * each interval.
 *
 * <p>Congestion control with gradual increase and multiplicative decrease, using CoDel's standing
 * delay instead of losses. With a target {@code T} and a delay {@code d} in an interval in which
 * {@code a} requests per second were admitted, the limit becomes
 *
 * <pre>
 *   min(limit, a) · (1 − min({@value #MAX_LIMIT_DECREASE_RATIO}, {@value #LIMIT_DECREASE_PER_TARGET_RATIO} · d / T))   on overload, unless d falls
 *   limit · (1 + {@value #LIMIT_RECOVERY_RATIO})   otherwise, up to {@value #RECOVERED_CAPACITY_RATIO} of the known capacity
 *   limit · (1 + {@value #LIMIT_INCREASE_RATIO})   otherwise, above that
 * </pre>
 *
 * <p>A delay counts as overload if it is above T and grows, or if it is at least {@value
 * #OVERLOAD_DELAY_RATIO} T. A delay that stays slightly above T is caused by clients that wait for
 * their answers before they send again: each turn of the loop serves each of them once. Rejecting
 * them would shorten the turns but serve no more requests, since they retry at once and rejections
 * use the time needed for answers (a metastable failure; Bronson et al., "Metastable Failures in
 * Distributed Systems", HotOS 2021).
 *
 * <p>A falling delay shows a queue that drains, for which the limit was already decreased. The rate
 * admitted at the last overload is about the capacity. The limit therefore rises quickly up to that
 * rate and slowly above it, like CUBIC's window (RFC 9438). In the first {@value #WARMUP_INTERVALS}
 * intervals it always rises quickly. It is lifted once it has exceeded the offered rate for a
 * second.
 *
 * <p>Prevents a queue before the event loop in which every request waits past its deadline. A limit
 * on the rate, rather than on a fraction of requests, stays effective during a retry storm. Cost:
 * if the delay has another cause than requests, the limit falls to {@value #MIN_CAPACITY_RATIO} of
 * the recent capacity.
 *
 * <p>Delays are in seconds. Not thread-safe.
 */
final class AimdRateLimit {
  private static final double LIMIT_DECREASE_PER_TARGET_RATIO = 0.1;
  private static final double MAX_LIMIT_DECREASE_RATIO = 0.3;
  private static final double LIMIT_INCREASE_RATIO = 0.03;
  private static final double LIMIT_RECOVERY_RATIO = 0.15;
  private static final double RECOVERED_CAPACITY_RATIO = 0.9;

  /** A delay below this fraction of the previous one is falling. */
  private static final double FALLING_DELAY_RATIO = 0.8;

  /** A delay of at least this multiple of the target is overload, whether it grows or not. */
  private static final double OVERLOAD_DELAY_RATIO = 1.5;

  /** A delay above this multiple of the previous one, or of the target if greater, is growing. */
  private static final double GROWING_DELAY_RATIO = 1.1;

  /** The lowest limit: a rate of requests that any processor can serve. */
  private static final double MIN_LIMIT_PER_SECOND = 10;

  /**
   * The fraction of the recent capacity that is always admitted. Below it, the delay is caused by
   * the rejections themselves, and a lower limit would not reduce it.
   */
  private static final double MIN_CAPACITY_RATIO = 0.3;

  /** Decay of the known capacity per interval, since other processes may use the processor. */
  private static final double CAPACITY_DECAY_RATIO = 0.99;

  /** Consecutive intervals with an unused limit after which the limit is lifted. */
  private static final int UNUSED_INTERVALS_TO_LIFT = 10;

  /** A limit of at least this multiple of the offered rate is unused. */
  private static final double MIN_UNUSED_LIMIT_PER_OFFERED_RATE = 1.2;

  /** Number of intervals after the start in which JIT compilation raises the capacity quickly. */
  private static final int WARMUP_INTERVALS = 100;

  private final double targetDelaySeconds;
  private double limitPerSecond = Double.POSITIVE_INFINITY;
  private double capacityPerSecond;
  private double previousDelaySeconds;
  private int unusedIntervals;
  private int warmupIntervalsLeft = WARMUP_INTERVALS;

  AimdRateLimit(double targetDelaySeconds) {
    this.targetDelaySeconds = targetDelaySeconds;
  }

  /**
   * Updates the limit at the end of an interval.
   *
   * @param delaySeconds the minimum delay of the event loop in the interval
   * @param admittedPerSecond requests per second that were admitted
   * @param offeredPerSecond requests per second that were offered
   * @return requests per second that may be admitted from now on; infinite if there is no limit
   */
  double update(double delaySeconds, double admittedPerSecond, double offeredPerSecond) {
    boolean isOverloaded =
        delaySeconds >= OVERLOAD_DELAY_RATIO * targetDelaySeconds
            || delaySeconds
                > GROWING_DELAY_RATIO * Math.max(previousDelaySeconds, targetDelaySeconds);
    if (isOverloaded) {
      if (!isLimiting() || delaySeconds > FALLING_DELAY_RATIO * previousDelaySeconds) {
        double decreaseRatio =
            Math.min(
                MAX_LIMIT_DECREASE_RATIO,
                LIMIT_DECREASE_PER_TARGET_RATIO * delaySeconds / targetDelaySeconds);
        capacityPerSecond = Math.max(admittedPerSecond, capacityPerSecond);
        limitPerSecond =
            Math.max(
                minLimitPerSecond(),
                Math.min(limitPerSecond, admittedPerSecond) * (1 - decreaseRatio));
      }
      unusedIntervals = 0;
    } else if (isLimiting()) {
      limitPerSecond *=
          1
              + (limitPerSecond < RECOVERED_CAPACITY_RATIO * capacityPerSecond
                      || warmupIntervalsLeft > 0
                  ? LIMIT_RECOVERY_RATIO
                  : LIMIT_INCREASE_RATIO);
      unusedIntervals =
          limitPerSecond >= MIN_UNUSED_LIMIT_PER_OFFERED_RATE * offeredPerSecond
              ? unusedIntervals + 1
              : 0;
      if (unusedIntervals >= UNUSED_INTERVALS_TO_LIFT) {
        limitPerSecond = Double.POSITIVE_INFINITY;
        unusedIntervals = 0;
      }
    }
    previousDelaySeconds = delaySeconds;
    capacityPerSecond *= CAPACITY_DECAY_RATIO;
    warmupIntervalsLeft = Math.max(0, warmupIntervalsLeft - 1);
    return limitPerSecond;
  }

  private double minLimitPerSecond() {
    return Math.max(MIN_LIMIT_PER_SECOND, MIN_CAPACITY_RATIO * capacityPerSecond);
  }

  /** The limit in requests per second; infinite if there is none. */
  double limitPerSecond() {
    return limitPerSecond;
  }

  /** Whether there is a limit. */
  boolean isLimiting() {
    return limitPerSecond < Double.POSITIVE_INFINITY;
  }
}
