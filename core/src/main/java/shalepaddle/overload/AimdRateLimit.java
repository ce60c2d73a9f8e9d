package shalepaddle.overload;

/**
 * How many requests a second are admitted, from the least delay of the event loop in each interval.
 *
 * <p>Congestion control with additive increase and multiplicative decrease, with CoDel's standing
 * delay in place of losses. With a target {@code T} and a delay {@code d} in an interval in which
 * {@code a} requests a second were admitted, the limit becomes
 *
 * <pre>
 *   min(limit, a) · (1 − min({@value #MAX_DECREASE_RATIO}, {@value #DECREASE_PER_TARGET_RATIO} · d / T))   on overload, unless d falls
 *   limit · (1 + {@value #RECOVERY_RATIO})   otherwise, up to {@value #RECOVERED_CAPACITY_RATIO} of the known capacity
 *   limit · (1 + {@value #INCREASE_RATIO})   otherwise, above that
 * </pre>
 *
 * <p>A delay is overload where it is above T and grows, or is {@value #OVERLOAD_DELAY_RATIO} T and
 * more. One that stays a little above T is that of clients which wait for their answers: each turn
 * of the loop serves each of them once. Rejecting them would shorten turns and serve nobody, as
 * they retry at once and rejections take the time of answers (a metastable failure; Bronson et al.,
 * "Metastable Failures in Distributed Systems", HotOS 2021).
 *
 * <p>A falling delay is a queue that drains, for which the limit was decreased already. What was
 * admitted at the last overload is about the capacity, so the limit returns there fast and grows
 * slowly from there on, as CUBIC's window does (RFC 9438). In the first {@value #WARMUP_INTERVALS}
 * intervals it always returns fast. It is lifted once it has exceeded the offered rate for a
 * second.
 *
 * <p>Prevents a queue before the event loop in which every request waits past its deadline. A limit
 * on the rate, rather than on a fraction of requests, also holds during a retry storm. Cost: where
 * the delay has another cause than requests, the limit falls to {@value #MIN_CAPACITY_RATIO} of the
 * recent capacity.
 *
 * <p>Delays are in seconds. Not thread-safe.
 */
final class AimdRateLimit {
  private static final double DECREASE_PER_TARGET_RATIO = 0.1;
  private static final double MAX_DECREASE_RATIO = 0.3;
  private static final double INCREASE_RATIO = 0.03;
  private static final double RECOVERY_RATIO = 0.15;
  private static final double RECOVERED_CAPACITY_RATIO = 0.9;

  /** A delay below this part of the previous one is falling. */
  private static final double FALLING_DELAY_RATIO = 0.8;

  /** A delay of at least this multiple of the target is overload, whether it grows or not. */
  private static final double OVERLOAD_DELAY_RATIO = 1.5;

  /** A delay above this multiple of the previous one, or of the target if greater, is growing. */
  private static final double GROWING_DELAY_RATIO = 1.1;

  /** Requests a second that any processor can serve. */
  private static final double MIN_LIMIT_PER_SECOND = 10;

  /**
   * The part of the recent capacity that is always admitted. Below it, the delay comes from
   * rejections, and a lower limit would serve nobody.
   */
  private static final double MIN_CAPACITY_RATIO = 0.3;

  /** Decay of the known capacity in each interval, as other processes may use the processor. */
  private static final double CAPACITY_DECAY_RATIO = 0.99;

  /** Consecutive intervals with an unused limit after which it is lifted. */
  private static final int UNUSED_INTERVALS_TO_LIFT = 10;

  /** A limit of at least this multiple of the offered rate is unused. */
  private static final double UNUSED_LIMIT_RATIO = 1.2;

  /** Intervals in which code is being compiled, so that the capacity grows quickly. */
  private static final int WARMUP_INTERVALS = 100;

  private final double targetDelaySeconds;
  private double limitPerSecond = Double.POSITIVE_INFINITY;
  private double capacityPerSecond;
  private double previousDelaySeconds;
  private int unusedIntervals;
  private int warmupIntervalsLeft = WARMUP_INTERVALS;

  AimdRateLimit(double target) {
    this.targetDelaySeconds = target;
  }

  /**
   * An interval has ended.
   *
   * @param delaySeconds the least delay of the event loop in it
   * @param admittedPerSecond requests a second that were admitted
   * @param offeredPerSecond requests a second that were offered
   * @return requests a second that may be admitted from now on, infinite where there is no limit
   */
  double update(double delaySeconds, double admittedPerSecond, double offeredPerSecond) {
    boolean isOverloaded =
        delaySeconds >= OVERLOAD_DELAY_RATIO * targetDelaySeconds
            || delaySeconds
                > GROWING_DELAY_RATIO * Math.max(previousDelaySeconds, targetDelaySeconds);
    if (isOverloaded) {
      if (!isLimiting() || delaySeconds > FALLING_DELAY_RATIO * previousDelaySeconds) {
        double decrease =
            Math.min(
                MAX_DECREASE_RATIO, DECREASE_PER_TARGET_RATIO * delaySeconds / targetDelaySeconds);
        capacityPerSecond = Math.max(admittedPerSecond, capacityPerSecond);
        limitPerSecond =
            Math.max(
                minLimitPerSecond(), Math.min(limitPerSecond, admittedPerSecond) * (1 - decrease));
      }
      unusedIntervals = 0;
    } else if (isLimiting()) {
      limitPerSecond *=
          1
              + (limitPerSecond < RECOVERED_CAPACITY_RATIO * capacityPerSecond
                      || warmupIntervalsLeft > 0
                  ? RECOVERY_RATIO
                  : INCREASE_RATIO);
      unusedIntervals =
          limitPerSecond >= UNUSED_LIMIT_RATIO * offeredPerSecond ? unusedIntervals + 1 : 0;
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

  /** Requests a second; infinite where there is no limit. */
  double limitPerSecond() {
    return limitPerSecond;
  }

  /** Whether there is a limit. */
  boolean isLimiting() {
    return limitPerSecond < Double.POSITIVE_INFINITY;
  }
}
