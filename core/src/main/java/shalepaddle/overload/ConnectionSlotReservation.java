package shalepaddle.overload;

/**
 * Decides which requests are rejected while most of the connections that clients may open are in
 * use.
 *
 * <p>If the number of client connections is limited, a request that finds no free connection fails
 * regardless of its priority. Slots are therefore reserved for higher tiers: the lowest tier is
 * rejected once {@value #MIN_REJECTING_USE_RATIO} of the slots are in use, the highest never, and
 * the tiers between at equally spaced thresholds (trunk reservation; Key, "Optimal control and
 * trunk reservation in loss networks", 1990).
 *
 * <p>Prevents requests that wait at slow servers from using all slots. Cost: if clients may open
 * more connections than assumed, requests are rejected although they have a slot. Stateless.
 */
final class ConnectionSlotReservation {
  static final double MIN_REJECTING_USE_RATIO = 0.8;

  private ConnectionSlotReservation() {}

  /**
   * Whether a request must be rejected.
   *
   * @param tier its tier by {@link PriorityTiers}, 0 is the highest
   * @param tierCount the number of tiers
   * @param useRatio the fraction of the connection slots that is in use
   */
  static boolean rejects(int tier, int tierCount, double useRatio) {
    return tier > 0 && useRatio >= 1 - (1 - MIN_REJECTING_USE_RATIO) * tier / (tierCount - 1);
  }
}
