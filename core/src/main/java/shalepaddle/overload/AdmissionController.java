package shalepaddle.overload;

import java.util.Arrays;
import java.util.SplittableRandom;

/**
 * Which requests are admitted while the processor is short, decided from a request's tier alone.
 *
 * <p>Ten times a second the {@link AimdRateLimit} is dealt out over the tiers by what came of each
 * lately, from the one that is worth most down: tiers above the brink pass whole, the one on it in
 * part, and of those below only a small part, which keeps telling what they would cost and lets no
 * tier be locked out for good. The brink moves smoothly, since the tier on it is admitted by chance
 * and not by turns. Repeats keep, besides, within a share of the first tries that were admitted:
 * where all is refused, repeats multiply the load that makes it so.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: it belongs to one event loop.
 */
public final class AdmissionController {
  /** Weight of the last interval in what is thought to come: storms rise within some of them. */
  private static final double FRESH = 0.5;

  /** Repeats that may be saved up. */
  private static final double REPEAT_BURST = 20;

  /** Repeats that an interval's spare admits at most: some hundred times what a loop does then. */
  private static final double MOST_SPARE = 100_000;

  private static final double LONGEST_ADVICE = 5;

  private final OverloadConfig tuning;
  private final AimdRateLimit limitPerSecond;
  private final SplittableRandom random;
  private double[] offeredRates;
  private double[] admittedRatio;
  private int[] offeredCount;
  private long[] offeredInAll;
  private long[] refusedInAll;
  private long begunAt;
  private boolean begun;
  private boolean known;
  private int admitted;
  private double repeatTokens = REPEAT_BURST;
  private long rejectedRetryCount;

  /** Admits all, until the event loop falls behind. */
  public AdmissionController(OverloadConfig tuning, PriorityTiers tiers, long seed) {
    this(tuning, seed);
    resetTiers(tiers.count());
  }

  AdmissionController(OverloadConfig tuning, long seed) {
    this.tuning = tuning;
    limitPerSecond = new AimdRateLimit(tuning.targetDelaySeconds());
    random = new SplittableRandom(seed);
  }

  /** Begins with so many tiers, none of which is known; the limit on all together is kept. */
  void resetTiers(int count) {
    offeredRates = new double[count];
    admittedRatio = new double[count];
    offeredCount = new int[count];
    offeredInAll = new long[count];
    refusedInAll = new long[count];
    known = false;
    Arrays.fill(admittedRatio, 1);
  }

  /** Whether requests may be refused now: while not, none needs to be asked about. */
  public boolean isLimiting() {
    return limitPerSecond.limited();
  }

  /**
   * A request has come; whether it is admitted. What is not must be refused, and never sent on.
   *
   * @param tier as {@link PriorityTiers} has it
   * @param repeat whether its client has tried before
   */
  public boolean admit(int tier, boolean repeat) {
    offeredCount[tier]++;
    offeredInAll[tier]++;
    boolean pass = admittedRatio[tier] >= 1 || random.nextDouble() < admittedRatio[tier];
    if (pass && isLimiting()) {
      if (!repeat) {
        repeatTokens =
            Math.max(repeatTokens, Math.min(REPEAT_BURST, repeatTokens + tuning.retryRatio()));
      } else if (repeatTokens >= 1) {
        repeatTokens--;
      } else {
        rejectedRetryCount++;
        pass = false;
      }
    }
    if (pass) {
      admitted++;
    } else {
      refusedInAll[tier]++;
    }
    return pass;
  }

  /**
   * How long a refused client should stay away, in seconds: as many times the least as there are
   * more requests than are admitted, and by up to half more or less, so that those who were refused
   * together don't come back together.
   */
  public double retryAfterSeconds() {
    double excess = isLimiting() ? Math.max(1, sum(offeredRates) / limitPerSecond.limit()) : 1;
    double spread = 0.5 + random.nextDouble();
    return Math.min(LONGEST_ADVICE, tuning.minRetryAfterSeconds() * excess * spread);
  }

  /** An interval ends in which so many seconds of delay stood in the event loop. */
  public void onIntervalEnd(double stood, long now) {
    double seconds = begun ? Math.max(1e-3, (now - begunAt) / 1e9) : 0;
    begunAt = now;
    if (!begun) {
      begun = true;
    } else {
      for (int tier = 0; tier < offeredCount.length; tier++) {
        double rate = offeredCount[tier] / seconds;
        // The first interval is all that is known: overload may begin with the first request.
        offeredRates[tier] += (known ? FRESH : 1) * (rate - offeredRates[tier]);
      }
      known = true;
      if (tuning.isSheddingEnabled()) {
        limitPerSecond.next(stood, admitted / seconds, sum(offeredRates));
        dealOut();
        spare(seconds);
      }
    }
    Arrays.fill(offeredCount, 0);
    admitted = 0;
  }

  /**
   * What the limit left over may go to repeats. Guards against a standstill in which all clients
   * repeat: with no first tries there is no share of them.
   */
  private void spare(double seconds) {
    if (isLimiting()) {
      double spare = (limitPerSecond.limit() * seconds - admitted) / 2;
      repeatTokens = Math.max(repeatTokens, Math.min(spare, MOST_SPARE));
    }
  }

  private void dealOut() {
    double left = limitPerSecond.limit();
    for (int tier = 0; tier < admittedRatio.length; tier++) {
      double rate = offeredRates[tier];
      double pass = rate <= left ? 1 : left / rate;
      admittedRatio[tier] = Math.max(tuning.minAdmittedRatio(), pass);
      left = Math.max(0, left - pass * rate);
    }
  }

  private static double sum(double[] rates) {
    double sum = 0;
    for (double rate : rates) {
      sum += rate;
    }
    return sum;
  }

  /** The part of a tier that is admitted, from 0 to 1. */
  public double admittedRatio(int tier) {
    return admittedRatio[tier];
  }

  /** Requests a second that may be admitted, infinite where there is no limit. */
  public double limitPerSecond() {
    return limitPerSecond.limit();
  }

  /** Requests of a tier that came, since the start. */
  public long offeredCount(int tier) {
    return offeredInAll[tier];
  }

  /** Requests of a tier that were refused, since the start. */
  public long rejectedCount(int tier) {
    return refusedInAll[tier];
  }

  /** Repeats that were refused for want of first tries, since the start. */
  public long rejectedRetryCount() {
    return rejectedRetryCount;
  }
}
