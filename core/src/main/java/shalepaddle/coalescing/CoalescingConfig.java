package shalepaddle.coalescing;

import shalepaddle.model.SettingChecks;

/**
 * The settings of request coalescing that an operator may change. Immutable.
 *
 * @param isEnabled whether reads are coalesced
 * @param sharesAcrossTenants whether reads of different tenants share flights, since tenants see
 *     the same values
 * @param maxWaiters maximum number of reads in one flight, 2 to 100,000
 * @param maxAgeSeconds seconds after its beginning in which a flight may be joined, 0.001 to 60
 * @param maxFlights maximum number of open flights, 1 to 1,000,000; further reads are not coalesced
 * @param retriesPerJoin retry tokens that each join adds; a flight whose connection broke needs one
 *     to retry; 0 to 1
 */
public record CoalescingConfig(
    boolean isEnabled,
    boolean sharesAcrossTenants,
    int maxWaiters,
    double maxAgeSeconds,
    int maxFlights,
    double retriesPerJoin) {
  /** The settings with which coalescing is off: each read has its own attempt. */
  public static final CoalescingConfig OFF =
      new CoalescingConfig(false, false, 1000, 0.25, 10_000, 0.1);

  /**
   * The settings with which coalescing is on, with the default limits. A quarter of a second covers
   * most fetches from an origin; a read that arrives later is better served by another server. One
   * retry per ten joins recovers from single failures without a retry storm.
   */
  public static final CoalescingConfig DEFAULTS =
      new CoalescingConfig(true, false, 1000, 0.25, 10_000, 0.1);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of its range; the message names its setting
   *     and the range
   */
  public CoalescingConfig {
    SettingChecks.checkRange("callers", maxWaiters, 2, 100_000);
    SettingChecks.checkRange("age_ms", maxAgeSeconds * 1e3, 1, 60_000);
    SettingChecks.checkRange("flights", maxFlights, 1, 1_000_000);
    SettingChecks.checkRange("retries", retriesPerJoin, 0, 1);
  }
}
