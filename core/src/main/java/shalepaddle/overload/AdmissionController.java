package shalepaddle.overload;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Which requests are admitted while the processor is short, decided from a request's tier alone.
 *
 * <p>Ten times a second the limit of {@link AimdRateLimit} is distributed over the tiers by their
 * recent rates, from the highest priority down: tiers above the admission threshold are admitted
 * completely, the tier at it in part and at random, and of those below only a small part, which
 * shows what they would cost and starves no tier. Retries are limited, besides, to a ratio of the
 * first attempts that were admitted, as in a retry storm they multiply the load.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: owned by one event loop.
 */
public final class AdmissionController {
  /** Weight of the last interval in the rates, since retry storms rise within some of them. */
  private static final double RATE_GAIN_RATIO = 0.5;

  /** Retries that may be saved up. */
  private static final double MAX_RETRY_TOKENS = 20;

  /** Retries for which the unused limit of an interval may be granted. */
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
  private boolean hasBegun;
  private boolean areRatesKnown;
  private int admittedInInterval;
  private double retryTokens = MAX_RETRY_TOKENS;
  private long rejectedRetryCount;

  /** Admits all, until the event loop is overloaded. */
  public AdmissionController(OverloadConfig config, PriorityTiers tiers, long seed) {
    this(config, seed);
    resetTiers(tiers.count());
  }

  AdmissionController(OverloadConfig config, long seed) {
    this.config = config;
    rateLimit = new AimdRateLimit(config.targetDelaySeconds());
    random = new SplittableRandom(seed);
  }

  /** Replaces the tiers, with unknown rates and counts of 0; the limit on all together is kept. */
  void resetTiers(int count) {
    offeredPerSecond = new double[count];
    admittedRatio = new double[count];
    offeredCount = new int[count];
    offeredTotals = new long[count];
    rejectedTotals = new long[count];
    areRatesKnown = false;
    Arrays.fill(admittedRatio, 1);
  }

  /** Whether requests may be rejected now: while not, all are admitted. */
  public boolean isLimiting() {
    return rateLimit.isLimiting();
  }

  /**
   * Decides on a request; one that is not admitted must be rejected, and never forwarded.
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
        // The outer maximum keeps tokens above the bound, which an unused limit may have granted.
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
      admittedInInterval++;
    } else {
      rejectedTotals[tier]++;
    }
    return isAdmitted;
  }

  /**
   * Seconds for which a rejected client should stay away: the configured minimum times the ratio of
   * offered to admitted requests, with jitter of a half so that clients that were rejected together
   * do not come back together.
   */
  public double retryAfterSeconds() {
    double excess =
        isLimiting() ? Math.max(1, sum(offeredPerSecond) / rateLimit.limitPerSecond()) : 1;
    double spread = 0.5 + random.nextDouble();
    return Math.min(MAX_RETRY_AFTER_SECONDS, config.minRetryAfterSeconds() * excess * spread);
  }

  /**
   * An interval has ended. The first call only begins the measurement of rates.
   *
   * @param delaySeconds the least delay of the event loop in the interval
   */
  public void onIntervalEnd(double delaySeconds, long now) {
    double seconds = hasBegun ? Math.max(1e-3, (now - intervalBeganAtNanos) / 1e9) : 0;
    intervalBeganAtNanos = now;
    if (!hasBegun) {
      hasBegun = true;
    } else {
      for (int tier = 0; tier < offeredCount.length; tier++) {
        double rate = offeredCount[tier] / seconds;
        // The first interval counts in full, as overload may begin with the first request.
        offeredPerSecond[tier] +=
            (areRatesKnown ? RATE_GAIN_RATIO : 1) * (rate - offeredPerSecond[tier]);
      }
      areRatesKnown = true;
      if (config.isSheddingEnabled()) {
        rateLimit.update(delaySeconds, admittedInInterval / seconds, sum(offeredPerSecond));
        updateAdmittedRatios();
        grantUnusedLimitToRetries(seconds);
      }
    }
    Arrays.fill(offeredCount, 0);
    admittedInInterval = 0;
  }

  /**
   * Grants half of the limit that was not used to retries. Else none would be admitted where all
   * clients send retries, as they are admitted in proportion to first attempts.
   */
  private void grantUnusedLimitToRetries(double seconds) {
    if (isLimiting()) {
      double unused = (rateLimit.limitPerSecond() * seconds - admittedInInterval) / 2;
      retryTokens = Math.max(retryTokens, Math.min(unused, MAX_UNUSED_TOKENS));
    }
  }

  private void updateAdmittedRatios() {
    double remaining = rateLimit.limitPerSecond();
    for (int tier = 0; tier < admittedRatio.length; tier++) {
      double rate = offeredPerSecond[tier];
      double ratio = rate <= remaining ? 1 : remaining / rate;
      admittedRatio[tier] = Math.max(config.minAdmittedRatio(), ratio);
      remaining = Math.max(0, remaining - ratio * rate);
    }
  }

  private static double sum(double[] rates) {
    double sum = 0;
    for (double rate : rates) {
      sum += rate;
    }
    return sum;
  }

  /** The part of a tier that is admitted now, from 0 to 1. */
  public double admittedRatio(int tier) {
    return admittedRatio[tier];
  }

  /** Requests a second that may be admitted, infinite where there is no limit. */
  public double limitPerSecond() {
    return rateLimit.limitPerSecond();
  }

  /** Requests of a tier that came, since the start. */
  public long offeredCount(int tier) {
    return offeredTotals[tier];
  }

  /** Requests of a tier that were rejected, since the start. */
  public long rejectedCount(int tier) {
    return rejectedTotals[tier];
  }

  /** Retries that were rejected for their ratio to first attempts, since the start. */
  public long rejectedRetryCount() {
    return rejectedRetryCount;
  }
}
