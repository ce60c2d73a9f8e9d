package shalepaddle.overload;

/**
 * Which requests are rejected while most of the connections that clients may hold are in use.
 *
 * <p>Where the number of client connections is limited, a request that finds none left fails
 * whatever its priority. So slots are reserved for higher tiers: the lowest tier is rejected from
 * {@value #MIN_REJECTING_USE_RATIO} of the slots on, the highest never, those between at equal
 * steps (trunk reservation; Key, "Optimal control and trunk reservation in loss networks", 1990).
 *
 * <p>Prevents requests that wait at slow servers from using all slots. Cost: where clients may hold
 * more connections than assumed, requests are rejected that had a slot. Stateless.
 */
final class ConnectionSlotReservation {
  static final double MIN_REJECTING_USE_RATIO = 0.8;

  private ConnectionSlotReservation() {}

  /**
   * Whether a request is rejected.
   *
   * @param tier its tier by {@link PriorityTiers}, 0 is the highest
   * @param tiers how many there are
   * @param useRatio the part of the connection slots in use
   */
  static boolean rejects(int tier, int tiers, double useRatio) {
    return tier > 0 && useRatio >= 1 - (1 - MIN_REJECTING_USE_RATIO) * tier / (tiers - 1);
  }
}
