package shalepaddle.coalescing;

import shalepaddle.model.Outcome;

/** How a flight's attempt has ended, as far as its waiters are concerned. */
public enum FlightResult {
  /** With the value, which all waiters get. */
  SERVED,

  /**
   * It was rejected, by servers or by the policy, or failed at the origin: another attempt would
   * end alike and add to the load.
   */
  REJECTED,

  /** Its connection broke, or its response was malformed: another attempt may succeed. */
  BROKEN,

  /** Its deadline has passed, or the load balancer shuts down: it is not retried. */
  FINAL;

  /**
   * The result of an exchange that was rejected.
   *
   * @param last the result of its last attempt, null if it had none
   */
  public static FlightResult ofRejection(Outcome.Result last) {
    return last != null && (last.isConnectionFailure() || last == Outcome.Result.MALFORMED_RESPONSE)
        ? BROKEN
        : REJECTED;
  }
}
