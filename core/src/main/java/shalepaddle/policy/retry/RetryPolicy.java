package shalepaddle.policy.retry;

import shalepaddle.model.Outcome;

/**
 * Decides whether a request whose last attempt failed gets another attempt. Attempts that failed
 * for lack of a connection are limited only by the request's maximum number of attempts. Retries
 * after a busy reply require that the origin is not degraded, since a retry of a failed fetch is
 * another fetch. All other retries also need capacity in the {@link RetryBudget}; only those after
 * a malformed response do not depend on the origin.
 *
 * <p>Does not check whether another attempt is safe by the request's idempotency. Not thread-safe:
 * owned by one router.
 */
public final class RetryPolicy {
  private final RetryBudget budget = new RetryBudget();

  /** The next step for a request whose attempt failed. */
  public enum Decision {
    /** No further attempt. */
    GIVE_UP,
    /** An attempt at a server selected in the ordinary way. */
    RETRY,
    /** An attempt at the origin, as the cache does not have the value. */
    FETCH_FROM_ORIGIN
  }

  /** Records a successful attempt. */
  public void onSuccess() {
    budget.deposit();
  }

  /**
   * Decides on another attempt and withdraws a retry from the budget, unless the last attempt
   * provably did not run or lost its connection.
   *
   * @param result how the last attempt ended
   * @param hasTimeLeft whether there is time left until the request's deadline
   * @param isOriginDegraded whether more fetches than usual fail or are late
   */
  public Decision decide(Outcome.Result result, boolean hasTimeLeft, boolean isOriginDegraded) {
    if (!hasTimeLeft) {
      return Decision.GIVE_UP;
    }
    if (result == Outcome.Result.CACHE_MISS) {
      return Decision.FETCH_FROM_ORIGIN;
    }
    if (!permits(result, isOriginDegraded)) {
      return Decision.GIVE_UP;
    }
    if (!result.provesNotRun() && !result.isConnectionFailure()) {
      budget.withdraw();
    }
    return Decision.RETRY;
  }

  private boolean permits(Outcome.Result result, boolean isOriginDegraded) {
    if (result.isConnectionUnavailable()) {
      return true;
    }
    if (result == Outcome.Result.SERVER_BUSY && !isOriginDegraded) {
      return true;
    }
    return budget.hasCapacity()
        && (result == Outcome.Result.MALFORMED_RESPONSE || !isOriginDegraded);
  }
}
