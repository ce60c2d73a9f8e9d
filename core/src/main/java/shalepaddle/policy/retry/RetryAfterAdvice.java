package shalepaddle.policy.retry;

import java.util.SplittableRandom;
import shalepaddle.model.Settings;

/**
 * How long a rejected client should stay away (HTTP's Retry-After): the time in which the requests
 * that are pending now will have been answered, by Little's law, with jitter of a quarter so that
 * clients rejected together do not come back together. Stateless.
 */
public final class RetryAfterAdvice {
  private static final double MIN_RESPONSES_PER_SECOND = 1e-3;

  private RetryAfterAdvice() {}

  /**
   * Seconds until the client should retry; 0 for no advice, where the deployment sends none or no
   * rate of responses is known yet.
   *
   * @param pending requests without a final answer
   * @param responsesPerSecond rate at which servers respond, infinite while unknown
   * @param random source of the jitter; drawn from once if there is advice, else not at all
   */
  public static double seconds(
      Settings.Limits limits, int pending, double responsesPerSecond, SplittableRandom random) {
    if (!limits.sendsRetryAfter() || Double.isInfinite(responsesPerSecond)) {
      return 0;
    }
    double drainSeconds = pending / Math.max(MIN_RESPONSES_PER_SECOND, responsesPerSecond);
    double jitter = 0.75 + random.nextDouble() / 2;
    return Math.min(limits.maxRetryAfterSeconds(), drainSeconds * jitter);
  }
}
