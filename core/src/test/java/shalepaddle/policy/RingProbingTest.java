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

/** Tests the selection: the key's owner, ring jumps past servers at their cap, and the fallback. */
class RingProbingTest {
  private static List<Long> serversSentTo(PolicyFixture.Recorder actions) {
    return actions.named("send").stream()
        .map(PolicyFixture.RecordedAction::numericArgument)
        .toList();
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
    long keyHash = Hashing.ofText("k");
    List<Long> expectedServers = new ArrayList<>();
    // The requests are writes, which are never held for a fetch. With four load balancers the
    // minimum cap is 3, which exceeds (1 + 0.5) * 6 / 10.
    for (int attempt = 0; expectedServers.size() < 6; attempt++) {
      long owner = ring.owner(keyHash, attempt).id();
      if (!expectedServers.contains(owner)) {
        expectedServers.addAll(List.of(owner, owner, owner));
      }
    }
    for (int i = 0; i < 6; i++) {
      router.onRequest(100, PolicyFixture.request("w" + i, "k", "unsafe", 1));
    }
    assertEquals(expectedServers, serversSentTo(actions));
  }

  @Test
  void selectsServerWhenAllAreAtTheirCap() {
    PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
    RequestRouter router = router(actions, 1);
    router.onMembershipUpdate(100, PolicyFixture.fleet(2));
    for (int i = 0; i < 500; i++) {
      router.onRequest(100, PolicyFixture.request("w" + i, "k" + i, "unsafe", 1));
    }
    assertEquals(500, serversSentTo(actions).size());
    long sendsToFirst = serversSentTo(actions).stream().filter(id -> id == 1).count();
    assertTrue(
        sendsToFirst > 150 && sendsToFirst < 350,
        "sends to the first of two servers, of 500: " + sendsToFirst);
  }

  @Test
  void selectsSameOwnersForSameListFromDifferentUpdates() {
    PolicyFixture.Recorder actionsOfFull = new PolicyFixture.Recorder();
    RequestRouter fullListRouter = router(actionsOfFull, 1);
    fullListRouter.onMembershipUpdate(100, PolicyFixture.fleet(9));
    PolicyFixture.Recorder actionsOfIncremental = new PolicyFixture.Recorder();
    RequestRouter incrementalRouter = router(actionsOfIncremental, 2);
    incrementalRouter.onMembershipUpdate(100, PolicyFixture.fleet(4));
    for (long id = 12; id >= 5; id--) {
      incrementalRouter.onMembershipUpdate(
          100,
          PolicyFixture.membershipUpdate(
              MembershipUpdate.Kind.DELTA, List.of(PolicyFixture.server(id))));
    }
    for (long id = 10; id <= 12; id++) {
      incrementalRouter.onMembershipUpdate(
          100,
          PolicyFixture.membershipUpdate(
              MembershipUpdate.Kind.DELTA,
              List.of(PolicyFixture.server(id, ServerEntry.State.REMOVED, 0))));
    }
    for (int i = 0; i < 20; i++) {
      fullListRouter.onRequest(100, PolicyFixture.request("w" + i, "k" + i, "unsafe", 1));
      incrementalRouter.onRequest(100, PolicyFixture.request("w" + i, "k" + i, "unsafe", 1));
    }
    assertEquals(serversSentTo(actionsOfFull), serversSentTo(actionsOfIncremental));
  }
}
