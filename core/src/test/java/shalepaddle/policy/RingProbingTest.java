package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;
import shalepaddle.policy.hash.Hashing;
import shalepaddle.policy.health.ServerHealth;
import shalepaddle.policy.placement.ConsistentHashRing;

/** The ordinary path: the key's owner, jumps past servers at their cap, and its end. */
class RingProbingTest {
  private static List<Long> sends(PolicyFixture.Recorder actions) {
    return actions.of("send").stream().map(PolicyFixture.Act::number).toList();
  }

  private static RequestRouter router(PolicyFixture.Recorder actions, long seed) {
    return new RequestRouter(PolicyFixture.settings(false, 4, true), seed, actions);
  }

  @Test
  void sendsKeyToNextOwnerWhenOwnerIsAtItsCap() {
    PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
    RequestRouter router = router(actions, 1);
    router.onMembershipUpdate(100, PolicyFixture.fleet(10));
    ConsistentHashRing ring = new ConsistentHashRing();
    List<ServerHealth> servers = new ArrayList<>();
    for (long id = 1; id <= 10; id++) {
      servers.add(
          new ServerHealth(PolicyFixture.server(id), 100, PolicyFixture.settings(false, 4, true)));
    }
    ring.rebuild(servers, false);
    long hash = Hashing.ofText("k");
    List<Long> want = new ArrayList<>();
    // Writes are never held for a fetch. Four load balancers: a least cap of 3, and 1.25 * 10 / 10
    // < 3.
    for (int attempt = 0; want.size() < 6; attempt++) {
      long owner = ring.owner(hash, attempt).id();
      if (!want.contains(owner)) {
        want.addAll(List.of(owner, owner, owner));
      }
    }
    for (int i = 0; i < 6; i++) {
      router.onRequest(100, PolicyFixture.request("w" + i, "k", "unsafe", 1));
    }
    assertEquals(want, sends(actions));
  }

  @Test
  void selectsServerWhenAllAreAtTheirCap() {
    PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
    RequestRouter router = router(actions, 1);
    router.onMembershipUpdate(100, PolicyFixture.fleet(2));
    for (int i = 0; i < 500; i++) {
      router.onRequest(100, PolicyFixture.request("w" + i, "k" + i, "unsafe", 1));
    }
    assertEquals(500, sends(actions).size());
    long first = sends(actions).stream().filter(id -> id == 1).count();
    assertTrue(first > 150 && first < 350, "sends to one of two: " + first);
  }

  @Test
  void sameListByDifferentUpdatesGivesSameOwners() {
    PolicyFixture.Recorder one = new PolicyFixture.Recorder();
    RequestRouter whole = router(one, 1);
    whole.onMembershipUpdate(100, PolicyFixture.fleet(9));
    PolicyFixture.Recorder two = new PolicyFixture.Recorder();
    RequestRouter pieces = router(two, 2);
    pieces.onMembershipUpdate(100, PolicyFixture.fleet(4));
    for (long id = 12; id >= 5; id--) {
      pieces.onMembershipUpdate(
          100, PolicyFixture.list(MembershipUpdate.Kind.DELTA, List.of(PolicyFixture.server(id))));
    }
    for (long id = 10; id <= 12; id++) {
      pieces.onMembershipUpdate(
          100,
          PolicyFixture.list(
              MembershipUpdate.Kind.DELTA,
              List.of(PolicyFixture.server(id, ServerEntry.State.REMOVED, 0))));
    }
    for (int i = 0; i < 20; i++) {
      whole.onRequest(100, PolicyFixture.request("w" + i, "k" + i, "unsafe", 1));
      pieces.onRequest(100, PolicyFixture.request("w" + i, "k" + i, "unsafe", 1));
    }
    assertEquals(sends(one), sends(two));
  }
}
