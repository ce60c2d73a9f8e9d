package shalepaddle.overload;

/**
 * How many requests a second are admitted, from the delay that stands in the event loop.
 *
 * <p>The idea is that of congestion control, additive growth and multiplicative decrease, with
 * CoDel's standing delay in the place of losses. With a target {@code T} and a delay {@code d} that
 * stood through an interval in which {@code a} requests a second were admitted, the limit becomes
 *
 * <pre>
 *   min(limit, a) · (1 − min({@value #MOST_CUT}, {@value #CUT} · d / T))   where d harms, unless it falls
 *   limit · (1 + {@value #REGAIN})   elsewhere, up to {@value #KNOWN} of what was admitted at the last cut
 *   limit · (1 + {@value #GROWTH})   elsewhere, above that
 * </pre>
 *
 * <p>A delay harms where it is above T and grows, or stands at {@value #HARMS} T and more. One that
 * stands a little above T is that of clients who wait for their answers: each turn serves each of
 * them once, and is as long as they are many. Refusing them shortens turns and serves nobody: who
 * is refused asks again at once, refusals take the time of answers, and a limit that was held there
 * stayed for good once anything had set it off (a metastable failure; Bronson et al., "Metastable
 * Failures in Distributed Systems", HotOS 2021). So the limit rises again wherever the delay does
 * not harm, and goodput comes back with it.
 *
 * <p>A delay that falls is a queue that drains: cutting on would cut for the same queue again and
 * again. What was admitted when the loop was last behind is about what it can do, so the limit
 * comes back to there fast and feels its way slowly from there on, as CUBIC does (RFC 9438). For
 * the first {@value #YOUNG} intervals it always comes back fast: what a start could do while its
 * code was compiled says nothing of what it can do now. It is lifted once it has exceeded what is
 * offered for a second.
 *
 * <p>Guards against a queue before the event loop in which every request waits until its answer is
 * useless. A limit on the rate, rather than on a share of what comes, holds also while a storm of
 * repeats multiplies what comes. Could do harm where the delay has another cause than requests: the
 * limit then falls to {@value #LEAST_PART} of what the loop has lately done, and fades with it.
 *
 * <p>Not thread-safe.
 */
final class AimdRateLimit {
  private static final double CUT = 0.1;
  private static final double MOST_CUT = 0.3;
  private static final double GROWTH = 0.03;
  private static final double REGAIN = 0.15;
  private static final double KNOWN = 0.9;

  /** A delay below this part of the one before falls. */
  private static final double FALLING = 0.8;

  /** A delay of so many targets harms, whether it grows or not. */
  private static final double HARMS = 1.5;

  /** A delay of so many times the one before, or the target if that is more, grows. */
  private static final double GROWS = 1.1;

  /** Requests a second that any processor does. */
  private static final double LEAST = 10;

  /**
   * The part of what the loop has lately done that it may always do: what is left of its time after
   * that is for refusing. Below it, the delay comes from refusals, and cutting on would serve
   * nobody.
   */
  private static final double LEAST_PART = 0.3;

  /** What the loop did counts a tenth less after a second: the processor may be shared. */
  private static final double FADES = 0.99;

  /**
   * The limit is lifted after so many intervals in which this part above what is offered passes.
   */
  private static final int LIFT_AFTER = 10;

  private static final double AMPLE = 1.2;

  /**
   * For so many intervals what the process can do is not known: its code is being compiled, and
   * does several times as much a moment later as when it was last behind.
   */
  private static final int YOUNG = 100;

  private final double target;
  private double limit = Double.POSITIVE_INFINITY;
  private double able;
  private double before;
  private int ample;
  private int young = YOUNG;

  AimdRateLimit(double target) {
    this.target = target;
  }

  /**
   * An interval has ended.
   *
   * @param standing seconds of delay that stood through it
   * @param admitted requests a second that were admitted
   * @param offered requests a second that came
   * @return requests a second that may be admitted from now on, infinite where there is no limit
   */
  double next(double standing, double admitted, double offered) {
    boolean harms = standing >= HARMS * target || standing > GROWS * Math.max(before, target);
    if (harms) {
      if (!limited() || standing > FALLING * before) {
        double cut = Math.min(MOST_CUT, CUT * standing / target);
        able = Math.max(admitted, able);
        limit = Math.max(least(), Math.min(limit, admitted) * (1 - cut));
      }
      ample = 0;
    } else if (limited()) {
      limit *= 1 + (limit < KNOWN * able || young > 0 ? REGAIN : GROWTH);
      ample = limit >= AMPLE * offered ? ample + 1 : 0;
      if (ample >= LIFT_AFTER) {
        limit = Double.POSITIVE_INFINITY;
        ample = 0;
      }
    }
    before = standing;
    able *= FADES;
    young = Math.max(0, young - 1);
    return limit;
  }

  private double least() {
    return Math.max(LEAST, LEAST_PART * able);
  }

  /** Requests a second; infinite where there is no limit. */
  double limit() {
    return limit;
  }

  /** Whether there is a limit. */
  boolean limited() {
    return limit < Double.POSITIVE_INFINITY;
  }
}
