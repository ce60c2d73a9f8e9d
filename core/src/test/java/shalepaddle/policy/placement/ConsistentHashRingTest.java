package shalepaddle.policy.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import shalepaddle.policy.PolicyFixture;
import shalepaddle.policy.hash.Hashing;
import shalepaddle.policy.health.ServerHealth;

class ConsistentHashRingTest {
  private static ServerHealth server(long id) {
    return new ServerHealth(PolicyFixture.server(id), 0, PolicyFixture.settings(false, 4, true));
  }

  private static long[] owners(List<ServerHealth> servers) {
    ConsistentHashRing ring = new ConsistentHashRing();
    ring.rebuild(servers, false);
    long[] owners = new long[20_000];
    for (int i = 0; i < owners.length; i++) {
      owners[i] = ring.owner(Hashing.ofText("key" + i), 0).id();
    }
    return owners;
  }

  @Test
  void movesOnlyKeysOfAddedOrRemovedServer() {
    Random random = new Random(7);
    List<ServerHealth> servers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      servers.add(server(random.nextInt(1 << 30)));
    }
    long[] ownersBefore = owners(servers);
    for (int round = 0; round < 30; round++) {
      long id;
      boolean isAdded = random.nextBoolean() || servers.size() < 5;
      if (isAdded) {
        id = random.nextInt(1 << 30);
        servers.add(server(id));
      } else {
        id = servers.remove(random.nextInt(servers.size())).id();
      }
      long[] ownersAfter = owners(servers);
      int movedKeys = 0;
      for (int i = 0; i < ownersBefore.length; i++) {
        if (ownersBefore[i] != ownersAfter[i]) {
          movedKeys++;
          assertEquals(id, isAdded ? ownersAfter[i] : ownersBefore[i]);
        }
      }
      int serverCount = isAdded ? servers.size() : servers.size() + 1;
      assertTrue(movedKeys <= 1.6 * ownersBefore.length / serverCount, movedKeys + " keys moved");
      ownersBefore = ownersAfter;
    }
  }

  @Test
  void assignsSameOwnersForAnyServerOrder() {
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 30; id++) {
      servers.add(server(id * 7919));
    }
    long[] ownersBefore = owners(servers);
    Collections.shuffle(servers, new Random(3));
    long[] ownersOfShuffled = owners(servers);
    for (int i = 0; i < ownersBefore.length; i++) {
      assertEquals(ownersBefore[i], ownersOfShuffled[i]);
    }
  }

  @Test
  void assignsKeysEvenlyToServers() {
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 25; id++) {
      servers.add(server(id * 104729));
    }
    int[] keysByServer = new int[26];
    long[] owners = owners(servers);
    for (long owner : owners) {
      keysByServer[(int) (owner / 104729)]++;
    }
    for (int i = 1; i <= 25; i++) {
      double portionRatio = keysByServer[i] * 25.0 / owners.length;
      assertTrue(
          portionRatio > 0.65 && portionRatio < 1.4,
          "ratio of the server's keys to an equal portion: " + portionRatio);
    }
  }

  @Test
  void hasNoOwnerWithoutServers() {
    ConsistentHashRing ring = new ConsistentHashRing();
    ring.rebuild(List.of(), true);
    assertNull(ring.owner(5, 0));
  }
}
