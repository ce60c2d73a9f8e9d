package shalepaddle.coalescing;

import shalepaddle.model.Outcome;

/** How a flight's attempt ended, as far as it matters to the waiters. */
public enum FlightResult {
  /** The attempt returned the value, which all waiters get. */
  SERVED,

  /**
   * The attempt was rejected by servers or by the policy, or failed at the origin. Another attempt
   * would end the same way and add to the load.
   */
  REJECTED,

  /** The connection broke or the response was malformed. Another attempt may succeed. */
  BROKEN,

  /** The deadline has passed or the load balancer shuts down. The flight is not retried. */
  FINAL;

  /**
   * The result of an exchange that was rejected.
   *
   * @param lastResult the result of the exchange's last attempt, null if it had none
   */
  public static FlightResult ofRejection(Outcome.Result lastResult) {
    return lastResult != null
            && (lastResult.isConnectionFailure() || lastResult == Outcome.Result.MALFORMED_RESPONSE)
        ? BROKEN
        : REJECTED;
  }
}
