package shalepaddle.overload;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Decides which requests are admitted while processor time is short, based only on their tier.
 *
 * <p>Ten times a second the limit of {@link AimdRateLimit} is distributed over the tiers by their
 * recent rates, from the highest priority down: tiers above the admission threshold are admitted
 * completely, the tier at the threshold in part and at random, and of those below only a small
 * fraction, which starves no tier and shows what serving them would cost. Retries are also limited
 * to a ratio of the admitted first attempts, since they multiply the load in a retry storm.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: owned by one event loop.
 */
public final class AdmissionController {
  /**
   * Weight of the last interval in the average rates; large, since a retry storm builds up within a
   * few intervals.
   */
  private static final double RATE_GAIN_RATIO = 0.5;

  /** Maximum number of retry tokens that admitted first attempts accumulate. */
  private static final double MAX_RETRY_TOKENS = 20;

  /** Maximum number of retry tokens granted from the unused limit of an interval. */
  private static final double MAX_UNUSED_TOKENS = 100_000;

  private static final double MAX_RETRY_AFTER_SECONDS = 5;

  private final OverloadConfig config;
  private final AimdRateLimit rateLimit;
  private final SplittableRandom random;
  private double[] offeredPerSecond;
  private double[] admittedRatio;
  private int[] offeredCount;
  private long[] offeredTotals;
  private long[] rejectedTotals;
  private long intervalBeganAtNanos;
  private boolean hasIntervalBegun;
  private boolean areRatesKnown;
  private int admittedCountInInterval;
  private double retryTokens = MAX_RETRY_TOKENS;
  private long rejectedRetryCount;

  /** Creates a controller that admits all requests until the event loop is overloaded. */
  public AdmissionController(OverloadConfig config, PriorityTiers tiers, long seed) {
    this(config, seed);
    resetTiers(tiers.tierCount());
  }

  AdmissionController(OverloadConfig config, long seed) {
    this.config = config;
    rateLimit = new AimdRateLimit(config.targetDelaySeconds());
    random = new SplittableRandom(seed);
  }

  /** Replaces the tiers and resets their rates and counts; the limit on all tiers stays. */
  void resetTiers(int tierCount) {
    offeredPerSecond = new double[tierCount];
    admittedRatio = new double[tierCount];
    offeredCount = new int[tierCount];
    offeredTotals = new long[tierCount];
    rejectedTotals = new long[tierCount];
    areRatesKnown = false;
    Arrays.fill(admittedRatio, 1);
  }

  /** Whether requests may be rejected now; otherwise all are admitted. */
  public boolean isLimiting() {
    return rateLimit.isLimiting();
  }

  /**
   * Decides whether to admit a request. If not, the caller must reject it and not forward it.
   *
   * @param tier its tier by {@link PriorityTiers}
   * @param isRetry whether it is a retry
   */
  public boolean admit(int tier, boolean isRetry) {
    offeredCount[tier]++;
    offeredTotals[tier]++;
    boolean isAdmitted = admittedRatio[tier] >= 1 || random.nextDouble() < admittedRatio[tier];
    if (isAdmitted && isLimiting()) {
      if (!isRetry) {
        // The outer maximum preserves tokens above the bound, granted from an unused limit.
        retryTokens =
            Math.max(retryTokens, Math.min(MAX_RETRY_TOKENS, retryTokens + config.retryRatio()));
      } else if (retryTokens >= 1) {
        retryTokens--;
      } else {
        rejectedRetryCount++;
        isAdmitted = false;
      }
    }
    if (isAdmitted) {
      admittedCountInInterval++;
    } else {
      rejectedTotals[tier]++;
    }
    return isAdmitted;
  }

  /**
   * The number of seconds that a rejected client should wait before a retry: the configured minimum
   * times the ratio of offered to admitted requests, with jitter of ±50% so that clients that were
   * rejected together do not retry together.
   */
  public double retryAfterSeconds() {
    double offeredToLimitRatio =
        isLimiting() ? Math.max(1, sum(offeredPerSecond) / rateLimit.limitPerSecond()) : 1;
    double jitter = 0.5 + random.nextDouble();
    return Math.min(
        MAX_RETRY_AFTER_SECONDS, config.minRetryAfterSeconds() * offeredToLimitRatio * jitter);
  }

  /**
   * Updates rates and limit at the end of an interval. The first call only begins the measurement.
   *
   * @param delaySeconds the minimum delay of the event loop in the interval
   */
  public void onIntervalEnd(double delaySeconds, long now) {
    double intervalSeconds =
        hasIntervalBegun ? Math.max(1e-3, (now - intervalBeganAtNanos) / 1e9) : 0;
    intervalBeganAtNanos = now;
    if (!hasIntervalBegun) {
      hasIntervalBegun = true;
    } else {
      for (int tier = 0; tier < offeredCount.length; tier++) {
        double ratePerSecond = offeredCount[tier] / intervalSeconds;
        // The first interval has full weight, since overload may begin with the first request.
        offeredPerSecond[tier] +=
            (areRatesKnown ? RATE_GAIN_RATIO : 1) * (ratePerSecond - offeredPerSecond[tier]);
      }
      areRatesKnown = true;
      if (config.isSheddingEnabled()) {
        rateLimit.update(
            delaySeconds, admittedCountInInterval / intervalSeconds, sum(offeredPerSecond));
        updateAdmittedRatios();
        grantUnusedLimitToRetries(intervalSeconds);
      }
    }
    Arrays.fill(offeredCount, 0);
    admittedCountInInterval = 0;
  }

  /**
   * Grants half of the unused limit to retries. Otherwise, if all clients send retries, none would
   * be admitted, since retries are admitted in proportion to first attempts.
   */
  private void grantUnusedLimitToRetries(double intervalSeconds) {
    if (isLimiting()) {
      double unusedTokens =
          (rateLimit.limitPerSecond() * intervalSeconds - admittedCountInInterval) / 2;
      retryTokens = Math.max(retryTokens, Math.min(unusedTokens, MAX_UNUSED_TOKENS));
    }
  }

  private void updateAdmittedRatios() {
    double remainingPerSecond = rateLimit.limitPerSecond();
    for (int tier = 0; tier < admittedRatio.length; tier++) {
      double ratePerSecond = offeredPerSecond[tier];
      double admissibleRatio =
          ratePerSecond <= remainingPerSecond ? 1 : remainingPerSecond / ratePerSecond;
      admittedRatio[tier] = Math.max(config.minAdmittedRatio(), admissibleRatio);
      remainingPerSecond = Math.max(0, remainingPerSecond - admissibleRatio * ratePerSecond);
    }
  }

  private static double sum(double[] ratesPerSecond) {
    double sum = 0;
    for (double ratePerSecond : ratesPerSecond) {
      sum += ratePerSecond;
    }
    return sum;
  }

  /** The fraction of a tier's requests that is admitted now, from 0 to 1. */
  public double admittedRatio(int tier) {
    return admittedRatio[tier];
  }

  /** Requests per second that may be admitted; infinite if there is no limit. */
  public double limitPerSecond() {
    return rateLimit.limitPerSecond();
  }

  /** Requests of a tier that have arrived since the start. */
  public long offeredCount(int tier) {
    return offeredTotals[tier];
  }

  /** Requests of a tier that have been rejected since the start. */
  public long rejectedCount(int tier) {
    return rejectedTotals[tier];
  }

  /** Retries that have been rejected, since the start, for exceeding the retry ratio. */
  public long rejectedRetryCount() {
    return rejectedRetryCount;
  }
}
