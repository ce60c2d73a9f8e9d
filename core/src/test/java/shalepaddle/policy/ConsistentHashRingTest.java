package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ConsistentHashRingTest {
  private static ServerHealth server(long id) {
    return new ServerHealth(PolicyFixture.server(id), 0, PolicyFixture.settings(false, 4, true));
  }

  private static long[] homes(List<ServerHealth> servers) {
    ConsistentHashRing table = new ConsistentHashRing();
    table.rebuild(servers, false);
    long[] homes = new long[20_000];
    for (int i = 0; i < homes.length; i++) {
      homes[i] = table.owner(ConsistentHashRing.hash("key" + i), 0).id;
    }
    return homes;
  }

  @Test
  void changesMoveOnlyTheSlotsOfTheServersConcerned() {
    Random random = new Random(7);
    List<ServerHealth> servers = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      servers.add(server(random.nextInt(1 << 30)));
    }
    long[] before = homes(servers);
    for (int change = 0; change < 30; change++) {
      long id;
      boolean added = random.nextBoolean() || servers.size() < 5;
      if (added) {
        id = random.nextInt(1 << 30);
        servers.add(server(id));
      } else {
        id = servers.remove(random.nextInt(servers.size())).id;
      }
      long[] after = homes(servers);
      int moved = 0;
      for (int i = 0; i < before.length; i++) {
        if (before[i] != after[i]) {
          moved++;
          assertEquals(id, added ? after[i] : before[i]);
        }
      }
      int size = added ? servers.size() : servers.size() + 1;
      assertTrue(moved <= 1.6 * before.length / size, moved + " keys moved of a fair share");
      before = after;
    }
  }

  @Test
  void agreesWhateverOrderTheServersCameIn() {
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 30; id++) {
      servers.add(server(id * 7919));
    }
    long[] one = homes(servers);
    Collections.shuffle(servers, new Random(3));
    long[] other = homes(servers);
    for (int i = 0; i < one.length; i++) {
      assertEquals(one[i], other[i]);
    }
  }

  @Test
  void spreadsHomesEvenly() {
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 25; id++) {
      servers.add(server(id * 104729));
    }
    int[] count = new int[26];
    long[] homes = homes(servers);
    for (long home : homes) {
      count[(int) (home / 104729)]++;
    }
    for (int i = 1; i <= 25; i++) {
      double share = count[i] * 25.0 / homes.length;
      assertTrue(share > 0.65 && share < 1.4, "share of a fair one: " + share);
    }
  }

  @Test
  void ownsNothingWithoutServers() {
    ConsistentHashRing table = new ConsistentHashRing();
    table.rebuild(List.of(), true);
    assertNull(table.owner(5, 0));
  }
}
