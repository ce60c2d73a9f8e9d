package shalepaddle.policy.retry;

/**
 * Limits retries to a ratio of successful responses, so that they can't multiply the load while
 * most attempts fail. A token bucket: each success deposits {@value #RETRIES_PER_SUCCESS_RATIO}
 * tokens, each retry withdraws one (the retry throttling of gRPC, proposal A6).
 *
 * <p>Not thread-safe: owned by one router.
 */
final class RetryBudget {
  private static final double RETRIES_PER_SUCCESS_RATIO = 0.1;

  private static final double MAX_TOKENS = 10;

  private double tokens = MAX_TOKENS;

  /** Adds tokens for a successful attempt. */
  void deposit() {
    tokens = Math.min(MAX_TOKENS, tokens + RETRIES_PER_SUCCESS_RATIO);
  }

  /** Whether there is a token for a retry. */
  boolean hasCapacity() {
    return tokens >= 1;
  }

  /** Removes the token of a retry. The balance becomes negative if there is no token. */
  void withdraw() {
    tokens -= 1;
  }
}
