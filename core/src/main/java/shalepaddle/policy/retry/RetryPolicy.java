package shalepaddle.policy.retry;

import shalepaddle.model.Outcome;

/**
 * Whether a request whose last attempt failed gets another one. Attempts that found no connection
 * are retried without limit but the request's own; others as far as the {@link RetryBudget} and the
 * origin permit, since a retry of a failed fetch is one more fetch.
 *
 * <p>Whether one more attempt is safe, by the request's idempotency, is not decided here. Not
 * thread-safe: owned by one router.
 */
public final class RetryPolicy {
  private final RetryBudget budget = new RetryBudget();

  /** What to do next with a request. */
  public enum Decision {
    /** No further attempt. */
    GIVE_UP,
    /** An attempt by the ordinary path. */
    RETRY,
    /** An attempt at the origin, as the cache does not have the value. */
    FETCH_FROM_ORIGIN
  }

  /** An attempt succeeded. */
  public void onSuccess() {
    budget.deposit();
  }

  /**
   * Decides on a further attempt; a retry that counts is taken out of the budget.
   *
   * @param result how the last attempt ended
   * @param hasTimeLeft whether the request's deadline is still ahead
   * @param originDegraded whether more fetches fail than is usual
   */
  public Decision decide(Outcome.Result result, boolean hasTimeLeft, boolean originDegraded) {
    if (!hasTimeLeft) {
      return Decision.GIVE_UP;
    }
    if (result == Outcome.Result.CACHE_MISS) {
      return Decision.FETCH_FROM_ORIGIN;
    }
    if (!permits(result, originDegraded)) {
      return Decision.GIVE_UP;
    }
    if (!result.provesNotRun() && !result.isConnectionFailure()) {
      budget.withdraw();
    }
    return Decision.RETRY;
  }

  private boolean permits(Outcome.Result result, boolean originDegraded) {
    if (result.isConnectionUnavailable()) {
      return true;
    }
    if (result == Outcome.Result.SERVER_BUSY && !originDegraded) {
      return true;
    }
    return budget.hasCapacity() && (result == Outcome.Result.MALFORMED_RESPONSE || !originDegraded);
  }
}
