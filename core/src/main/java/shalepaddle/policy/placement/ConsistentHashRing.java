package shalepaddle.policy.placement;

import java.util.Arrays;
import java.util.List;
import shalepaddle.policy.hash.Hashing;
import shalepaddle.policy.health.ServerHealth;

/**
 * The ring of Random Jump Consistent Hashing (Chen, Coleman, Shrivastava, 2021): an array of slots,
 * each owned by the server whose point follows it clockwise. Depends on server ids and weights
 * alone, so load balancers with the same endpoint list agree.
 *
 * <p>Not thread-safe: owned by one router.
 */
public final class ConsistentHashRing {
  /** Slots (m of the paper): ten times the points of 100 servers, so that few points collide. */
  static final int SLOTS = 1 << 17;

  /** Points of a server of unit weight: servers' parts of the ring differ by about 1/sqrt(128). */
  static final int POINTS_PER_UNIT_WEIGHT = 128;

  private static final int MIN_POINTS = 4;

  private static final int SLOT_MASK = SLOTS - 1;

  private final ServerHealth[] owners = new ServerHealth[SLOTS];

  /**
   * Builds the ring anew. The result does not depend on the order of the servers.
   *
   * @param weighted whether a server's points follow its weight
   */
  public void rebuild(List<ServerHealth> servers, boolean weighted) {
    Arrays.fill(owners, null);
    double unitWeight = weighted ? unitWeight(servers) : 1;
    for (ServerHealth server : servers) {
      int points = weighted ? points(server.entry().weight() / unitWeight) : POINTS_PER_UNIT_WEIGHT;
      for (int point = 0; point < points; point++) {
        int slot = (int) Hashing.mix(Hashing.mix(server.id()) + point) & SLOT_MASK;
        if (owners[slot] == null || server.id() < owners[slot].id()) {
          owners[slot] = server;
        }
      }
    }
    fillSlotsWithoutPoint();
  }

  private void fillSlotsWithoutPoint() {
    // Twice around: the first round only finds the owner of the last slots.
    ServerHealth successor = null;
    for (int i = 2 * SLOTS - 1; i >= 0; i--) {
      if (owners[i & SLOT_MASK] != null) {
        successor = owners[i & SLOT_MASK];
      } else if (i < SLOTS) {
        owners[i] = successor;
      }
    }
  }

  /** A power of four near the greatest weight: it rarely changes when servers come and go. */
  private static double unitWeight(List<ServerHealth> servers) {
    double greatest =
        servers.stream()
            .mapToDouble(server -> BoundedLoad.usableWeight(server.entry().weight()))
            .max()
            .orElse(0);
    return greatest > 0 ? Math.pow(4, Math.rint(Math.log(greatest) / Math.log(4))) : 1;
  }

  /** Points of a weight in units, bounded so that an odd weight neither vanishes nor dominates. */
  private static int points(double weight) {
    return (int)
        Math.max(
            MIN_POINTS,
            Math.min(
                2 * POINTS_PER_UNIT_WEIGHT,
                Math.rint(POINTS_PER_UNIT_WEIGHT * BoundedLoad.usableWeight(weight))));
  }

  /** The owner of the slot of a key's nth attempt; null if there are no servers. */
  public ServerHealth owner(long keyHash, int attempt) {
    return owners[(int) Hashing.ofAttempt(keyHash, attempt) & SLOT_MASK];
  }
}
