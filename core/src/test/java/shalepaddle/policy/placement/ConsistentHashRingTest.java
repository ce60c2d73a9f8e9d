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
  void changeMovesOnlySlotsOfChangedServer() {
    Random random = new Random(7);
    List<ServerHealth> servers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      servers.add(server(random.nextInt(1 << 30)));
    }
    long[] before = owners(servers);
    for (int change = 0; change < 30; change++) {
      long id;
      boolean added = random.nextBoolean() || servers.size() < 5;
      if (added) {
        id = random.nextInt(1 << 30);
        servers.add(server(id));
      } else {
        id = servers.remove(random.nextInt(servers.size())).id();
      }
      long[] after = owners(servers);
      int moved = 0;
      for (int i = 0; i < before.length; i++) {
        if (before[i] != after[i]) {
          moved++;
          assertEquals(id, added ? after[i] : before[i]);
        }
      }
      int size = added ? servers.size() : servers.size() + 1;
      assertTrue(moved <= 1.6 * before.length / size, moved + " keys moved");
      before = after;
    }
  }

  @Test
  void ringDoesNotDependOnServerOrder() {
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 30; id++) {
      servers.add(server(id * 7919));
    }
    long[] one = owners(servers);
    Collections.shuffle(servers, new Random(3));
    long[] other = owners(servers);
    for (int i = 0; i < one.length; i++) {
      assertEquals(one[i], other[i]);
    }
  }

  @Test
  void spreadsOwnersEvenly() {
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 25; id++) {
      servers.add(server(id * 104729));
    }
    int[] count = new int[26];
    long[] owners = owners(servers);
    for (long owner : owners) {
      count[(int) (owner / 104729)]++;
    }
    for (int i = 1; i <= 25; i++) {
      double ratio = count[i] * 25.0 / owners.length;
      assertTrue(ratio > 0.65 && ratio < 1.4, "ratio to an equal part: " + ratio);
    }
  }

  @Test
  void hasNoOwnerWithoutServers() {
    ConsistentHashRing ring = new ConsistentHashRing();
    ring.rebuild(List.of(), true);
    assertNull(ring.owner(5, 0));
  }
}
