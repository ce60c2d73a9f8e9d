package shalepaddle.policy.placement;

import java.util.Arrays;
import java.util.List;
import shalepaddle.policy.hash.Hashing;
import shalepaddle.policy.health.ServerHealth;

/**
 * The ring of Random Jump Consistent Hashing (Chen, Coleman, Shrivastava, 2021): an array of slots,
 * each owned by the server with the next point clockwise. Depends only on server ids and weights,
 * so that load balancers with the same endpoint list have the same ring.
 *
 * <p>Not thread-safe: owned by one router.
 */
public final class ConsistentHashRing {
  /**
   * The number of slots (m of the paper): ten times the points of 100 servers, so that few points
   * collide.
   */
  static final int SLOT_COUNT = 1 << 17;

  /**
   * The number of ring points of a server of unit weight. The portions of the ring that servers own
   * differ by about 1/sqrt(128).
   */
  static final int POINTS_PER_UNIT_WEIGHT = 128;

  private static final int MIN_POINTS = 4;

  private static final int SLOT_MASK = SLOT_COUNT - 1;

  private final ServerHealth[] owners = new ServerHealth[SLOT_COUNT];

  /**
   * Rebuilds the ring. The result does not depend on the order of the servers.
   *
   * @param isWeighted whether a server's number of points is proportional to its weight
   */
  public void rebuild(List<ServerHealth> servers, boolean isWeighted) {
    Arrays.fill(owners, null);
    double unitWeight = isWeighted ? unitWeight(servers) : 1;
    for (ServerHealth server : servers) {
      int pointCount =
          isWeighted ? pointCount(server.entry().weight() / unitWeight) : POINTS_PER_UNIT_WEIGHT;
      for (int point = 0; point < pointCount; point++) {
        int slot = (int) Hashing.mix(Hashing.mix(server.id()) + point) & SLOT_MASK;
        if (owners[slot] == null || server.id() < owners[slot].id()) {
          owners[slot] = server;
        }
      }
    }
    fillSlotsWithoutPoint();
  }

  private void fillSlotsWithoutPoint() {
    // The loop goes around the ring twice: the first round only finds the owner of the last slots.
    ServerHealth successor = null;
    for (int i = 2 * SLOT_COUNT - 1; i >= 0; i--) {
      if (owners[i & SLOT_MASK] != null) {
        successor = owners[i & SLOT_MASK];
      } else if (i < SLOT_COUNT) {
        owners[i] = successor;
      }
    }
  }

  /**
   * A power of four near the greatest weight; it rarely changes when servers are added or removed.
   */
  private static double unitWeight(List<ServerHealth> servers) {
    double greatestWeight =
        servers.stream()
            .mapToDouble(server -> BoundedLoad.usableWeight(server.entry().weight()))
            .max()
            .orElse(0);
    return greatestWeight > 0 ? Math.pow(4, Math.rint(Math.log(greatestWeight) / Math.log(4))) : 1;
  }

  /**
   * The number of points for a relative weight, bounded so that a server with an unusual weight
   * neither vanishes nor dominates.
   */
  private static int pointCount(double weight) {
    return (int)
        Math.max(
            MIN_POINTS,
            Math.min(
                2 * POINTS_PER_UNIT_WEIGHT,
                Math.rint(POINTS_PER_UNIT_WEIGHT * BoundedLoad.usableWeight(weight))));
  }

  /** The owner of the slot that a key's nth attempt hashes to; null if there are no servers. */
  public ServerHealth owner(long keyHash, int attempt) {
    return owners[(int) Hashing.ofAttempt(keyHash, attempt) & SLOT_MASK];
  }
}
