package shalepaddle.coalescing;

import shalepaddle.model.ProtocolLimits;

/**
 * The settings of request coalescing that an operator may change. Immutable.
 *
 * @param enabled whether reads are coalesced
 * @param acrossTenants whether tenants see the same values, so that their reads share flights
 * @param maxWaiters reads that may join one flight, 2 to 100,000
 * @param maxAgeSeconds seconds after its beginning in which a flight may be joined, 0.001 to 60
 * @param maxFlights flights that may be open at once, 1 to 1,000,000; further reads are not
 *     coalesced
 * @param retriesPerJoin retries of flights with broken connections that each join allows, 0 to 1
 */
public record CoalescingConfig(
    boolean enabled,
    boolean acrossTenants,
    int maxWaiters,
    double maxAgeSeconds,
    int maxFlights,
    double retriesPerJoin) {
  /** Off: each answer is one that a server gave to that very request. */
  public static final CoalescingConfig OFF =
      new CoalescingConfig(false, false, 1000, 0.25, 10_000, 0.1);

  /**
   * On, with the default limits. A quarter of a second covers most fetches from an origin; a read
   * that arrives later is better served by another server. One retry for ten joins recovers from
   * single failures without a retry storm.
   */
  public static final CoalescingConfig DEFAULTS =
      new CoalescingConfig(true, false, 1000, 0.25, 10_000, 0.1);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of its range; the message has the name of
   *     its setting and the range
   */
  public CoalescingConfig {
    ProtocolLimits.checkRange("callers", maxWaiters, 2, 100_000);
    ProtocolLimits.checkRange("age_ms", maxAgeSeconds * 1e3, 1, 60_000);
    ProtocolLimits.checkRange("flights", maxFlights, 1, 1_000_000);
    ProtocolLimits.checkRange("retries", retriesPerJoin, 0, 1);
  }
}
