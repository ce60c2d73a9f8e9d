package shalepaddle.coalescing;

import shalepaddle.model.ProtocolLimits;

/**
 * The figures of joining that an operator may set.
 *
 * @param enabled whether like reads share one answer at all
 * @param acrossTenants whether tenants see the same values, so that their reads are alike
 * @param maxWaiters reads that may wait for one flight, 2 to 100,000
 * @param maxAgeSeconds seconds after its beginning up to which a flight is joined, 0.001 to 60
 * @param maxFlights flights that may be open at once, 1 to 1,000,000; reads past that go alone
 * @param retriesPerJoin new tries that a flight may make after broken ones for each read that
 *     joined one, 0 to 1
 */
public record CoalescingConfig(
    boolean enabled,
    boolean acrossTenants,
    int maxWaiters,
    double maxAgeSeconds,
    int maxFlights,
    double retriesPerJoin) {
  /**
   * Off: where an answer counts only if a server made it for that very request, nothing may be
   * shared.
   */
  public static final CoalescingConfig OFF =
      new CoalescingConfig(false, false, 1000, 0.25, 10_000, 0.1);

  /**
   * On, with the usual figures: a quarter of a second covers most fetches from an origin, and who
   * joins later would rather have a fresh try at another server; a tenth of those who joined in new
   * tries mends single failures and feeds no storm.
   */
  public static final CoalescingConfig DEFAULTS =
      new CoalescingConfig(true, false, 1000, 0.25, 10_000, 0.1);

  /**
   * Checks the figures.
   *
   * @throws IllegalArgumentException if one is out of its range; the message names it and the range
   */
  public CoalescingConfig {
    ProtocolLimits.checkRange("callers", maxWaiters, 2, 100_000);
    ProtocolLimits.checkRange("age_ms", maxAgeSeconds * 1e3, 1, 60_000);
    ProtocolLimits.checkRange("flights", maxFlights, 1, 1_000_000);
    ProtocolLimits.checkRange("retries", retriesPerJoin, 0, 1);
  }
}
