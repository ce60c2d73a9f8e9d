package shalepaddle.policy;

import java.util.Arrays;
import java.util.List;

/**
 * The array of slots of Random Jump Consistent Hashing. Every slot belongs to the server hashed
 * nearest clockwise of it. Hashes use ids and keys alone, so balancers with the same list agree.
 */
final class ConsistentHashRing {
  /** Slots (m): ten times the points of a hundred servers, so that few points share a slot. */
  static final int SLOTS = 1 << 17;

  /** Points of a server of unit weight: shares of homes then differ by about 1/sqrt(128). */
  static final int POINTS = 128;

  private static final int MASK = SLOTS - 1;
  private final ServerHealth[] owners = new ServerHealth[SLOTS];

  /** Makes the table anew; a pure function of the servers, whatever order they came in. */
  void rebuild(List<ServerHealth> servers, boolean weighted) {
    Arrays.fill(owners, null);
    double unit = weighted ? unit(servers) : 1;
    for (ServerHealth server : servers) {
      int points = weighted ? points(server.entry.weight() / unit) : POINTS;
      for (int p = 0; p < points; p++) {
        int slot = (int) mix(mix(server.id) + p) & MASK;
        if (owners[slot] == null || server.id < owners[slot].id) {
          owners[slot] = server;
        }
      }
    }
    // Twice around: the first round only finds the owner of the last slots.
    ServerHealth next = null;
    for (int i = 2 * SLOTS - 1; i >= 0; i--) {
      if (owners[i & MASK] != null) {
        next = owners[i & MASK];
      } else if (i < SLOTS) {
        owners[i] = next;
      }
    }
  }

  /** A power of four near the greatest weight: it hardly ever changes when servers come and go. */
  private static double unit(List<ServerHealth> servers) {
    double greatest =
        servers.stream().mapToDouble(s -> BoundedLoad.usable(s.entry.weight())).max().orElse(0);
    return greatest > 0 ? Math.pow(4, Math.rint(Math.log(greatest) / Math.log(4))) : 1;
  }

  /** Points of a weight in units, bounded so that an odd weight neither vanishes nor floods. */
  private static int points(double weight) {
    return (int) Math.max(4, Math.min(2 * POINTS, Math.rint(POINTS * BoundedLoad.usable(weight))));
  }

  /** The owner of slot h(key, attempt); null if there are no servers. */
  ServerHealth owner(long keyHash, int attempt) {
    return owners[(int) mix(keyHash + attempt * 0x9E3779B97F4A7C15L) & MASK];
  }

  /** A 64-bit hash of a text: FNV-1a, then mixed. */
  static long hash(String text) {
    long h = 0xCBF29CE484222325L;
    for (int i = 0; i < text.length(); i++) {
      h = (h ^ text.charAt(i)) * 0x100000001B3L;
    }
    return mix(h);
  }

  /** The finalizer of SplitMix64. */
  static long mix(long z) {
    z += 0x9E3779B97F4A7C15L;
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }

  /** A hash as a number in [0, 1). */
  static double fraction(long hash) {
    return (mix(hash) >>> 11) * 0x1.0p-53;
  }
}
