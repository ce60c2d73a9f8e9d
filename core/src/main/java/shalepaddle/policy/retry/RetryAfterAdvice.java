package shalepaddle.policy.retry;

import java.util.SplittableRandom;
import shalepaddle.model.Settings;

/**
 * Computes how long a rejected client should wait before a retry (HTTP's Retry-After): the time in
 * which the pending requests will be answered by Little's law, with jitter of ±25% so that clients
 * rejected together do not retry together. Stateless.
 */
public final class RetryAfterAdvice {
  private static final double MIN_RESPONSES_PER_SECOND = 1e-3;

  private RetryAfterAdvice() {}

  /**
   * The number of seconds until the client should retry; 0 for no advice, if the deployment sends
   * none or the response rate is not known yet.
   *
   * @param pendingRequests requests without a final answer
   * @param responsesPerSecond rate at which servers respond, infinite while unknown
   * @param random source of the jitter; drawn from once if there is advice, otherwise not at all
   */
  public static double computeSeconds(
      Settings.Limits limits,
      int pendingRequests,
      double responsesPerSecond,
      SplittableRandom random) {
    if (!limits.sendsRetryAfter() || Double.isInfinite(responsesPerSecond)) {
      return 0;
    }
    double drainSeconds = pendingRequests / Math.max(MIN_RESPONSES_PER_SECOND, responsesPerSecond);
    double jitter = 0.75 + random.nextDouble() / 2;
    return Math.min(limits.maxRetryAfterSeconds(), drainSeconds * jitter);
  }
}
