package shalepaddle.coalescing;

import shalepaddle.model.Outcome;

/** How a flight's try has ended, as far as it matters to those who wait for it. */
public enum FlightResult {
  /** With the value: everybody gets it. */
  SERVED,

  /**
   * It was turned away, by servers or by a decision, or an origin failed it: whoever asked next
   * would be told the same, and only add to the load.
   */
  REJECTED,

  /** Its connections broke, or what came could not be used: bad luck of one try. */
  BROKEN,

  /** Its time is up, or the load balancer ends: there is nothing left to try. */
  FINAL;

  /**
   * How a try has ended that was refused in the end.
   *
   * @param last the outcome of its last attempt, null if it had none
   */
  public static FlightResult ofRejection(Outcome.Result last) {
    return last != null && (last.isConnectionFailure() || last == Outcome.Result.MALFORMED_RESPONSE)
        ? BROKEN
        : REJECTED;
  }
}
