package shalepaddle.overload;

/**
 * Who is refused while most of the connections that clients may hold for requests wait for answers.
 *
 * <p>The idea: where clients may hold but so many connections, a request that finds none left fails
 * with its client, whatever it is worth and however able the node is. So places are kept for what
 * is worth more: the least tier is refused from {@value #LEAST_FROM} of the places on, the first
 * one never, those between evenly in between (trunk reservation, as in telephone networks; Key,
 * "Optimal control and trunk reservation in loss networks", 1990). A refusal gives its place back
 * at once.
 *
 * <p>Guards against requests that wait long at slow servers and hold all places meanwhile, and
 * against the moment in which two processes of a node share them. Could do harm where clients may
 * hold more connections than is thought: requests are then refused that had room.
 */
final class ConnectionSlotReservation {
  static final double LEAST_FROM = 0.8;

  private ConnectionSlotReservation() {}

  /**
   * Whether a request is refused.
   *
   * @param tier as {@link PriorityTiers} has it, 0 is worth most
   * @param tiers how many there are
   * @param taken the part of the places that wait for answers
   */
  static boolean rejects(int tier, int tiers, double taken) {
    return tier > 0 && taken >= 1 - (1 - LEAST_FROM) * tier / (tiers - 1);
  }
}
