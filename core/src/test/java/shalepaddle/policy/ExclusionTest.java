package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** Servers that an operator excludes, and settings that change. */
class ExclusionTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 4, true);

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router = new RequestRouter(SETTINGS, 1, actions);

  private long sent() {
    return actions.acts.get(actions.acts.size() - 1).number();
  }

  private boolean sends(double now, String id, String key) {
    int before = actions.of("send").size();
    router.onRequest(now, PolicyFixture.request(id, key, "safe", 1));
    return actions.of("send").size() > before;
  }

  @Test
  void sendsNothingToExcludedServer() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(6));
    router.setExcluded(100, 3, true);
    router.setExcluded(100, 3, true);
    Random random = new Random(5);
    int got = 0;
    for (int i = 0; i < 3000; i++) {
      double now = 100 + i * 0.01;
      if (i % 50 == 0) {
        // It drains, is removed, comes back under its id, and restarts.
        ServerEntry.State state = List.of(ServerEntry.State.values()).get(random.nextInt(3));
        ServerEntry entry = PolicyFixture.server(3, state, random.nextBoolean() ? now - 1 : 0);
        router.onMembershipUpdate(
            now, PolicyFixture.list(MembershipUpdate.Kind.DELTA, List.of(entry)));
      }
      if (sends(now, "r" + i, "k" + i % 200)) {
        long server = sent();
        assertFalse(server == 3, "excluded server was sent to at " + now);
        got++;
        // Now and then all others fail together: no panic may bring it back.
        Outcome.Result result = i % 1000 > 800 ? Outcome.Result.CONNECT_FAILED : Outcome.Result.OK;
        router.onOutcome(now, PolicyFixture.outcome("r" + i, 0, server, result));
      }
    }
    assertTrue(actions.of("send").stream().noneMatch(act -> act.number() == 3), "nor any retry");
    assertTrue(got > 1000, got + " sent");
  }

  @Test
  void rejectsRequestsWhenAllServersAreExcluded() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(2));
    router.setExcluded(100, 1, true);
    router.setExcluded(100, 2, true);
    assertFalse(sends(100.1, "r1", "k"));
    assertEquals(1, actions.of("reject").size());
    assertEquals(2, router.serverCount(false));
    assertEquals(2, router.serverCount(true));
    router.setExcluded(101, 1, false);
    assertEquals(1, router.serverCount(true));
  }

  @Test
  void slowStartsIncludedServerUnlessItsStartWasListed() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(2));
    router.setExcluded(100, 1, true);
    router.setExcluded(100, 2, true);
    // The second restarted long enough ago to be warm, and its start was listed.
    router.onMembershipUpdate(
        105,
        PolicyFixture.list(
            MembershipUpdate.Kind.DELTA,
            List.of(PolicyFixture.server(2, ServerEntry.State.READY, 101))));
    router.setExcluded(125, 1, false);
    router.setExcluded(125, 2, false);
    int cold = 0;
    int warm = 0;
    for (int i = 0; i < 200; i++) {
      double now = 125 + i * 0.01;
      if (sends(now, "r" + i, "k" + i)) {
        cold += sent() == 1 ? 1 : 0;
        warm += sent() == 2 ? 1 : 0;
        router.onOutcome(now, PolicyFixture.outcome("r" + i, 0, sent(), Outcome.Result.OK));
      }
    }
    assertTrue(warm > 150, warm + " to the warm one");
    assertTrue(cold < 0.25 * warm, cold + " to the warming one, " + warm + " to the warm one");
  }

  @Test
  void openRequestKeepsItsSettings() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(6));
    router.onRequest(100, PolicyFixture.request("old", "k", "unsafe", 1));
    router.onRequest(100, PolicyFixture.request("many", "k", "safe", 1));
    List<Settings.ServiceClass> repeatable =
        SETTINGS.services().stream()
            .map(
                type ->
                    PolicyFixture.service(
                        type.name(), Settings.Idempotency.IDEMPOTENT, type.deduplicationScope()))
            .toList();
    router.updateSettings(PolicyFixture.settings(0, 4, false, 1, true, repeatable));
    // It may have run, and was accepted as not idempotent.
    router.onOutcome(100.1, PolicyFixture.outcome("old", 0, 0, Outcome.Result.ERROR));
    assertEquals(List.of("old"), actions.of("fail").stream().map(PolicyFixture.Act::id).toList());
    long before = actions.of("send").size();
    router.onOutcome(100.1, PolicyFixture.outcome("many", 0, 0, Outcome.Result.RESET));
    assertEquals(before + 1, actions.of("send").size(), "it was accepted with four attempts");
    // What comes now has one attempt, and its class is idempotent.
    router.onRequest(100.2, PolicyFixture.request("new", "k", "unsafe", 1));
    router.onOutcome(100.3, PolicyFixture.outcome("new", 0, 0, Outcome.Result.ERROR));
    assertEquals(List.of("new"), actions.of("reject").stream().map(PolicyFixture.Act::id).toList());
  }
}
