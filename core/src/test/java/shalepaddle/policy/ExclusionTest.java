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

/** Tests servers that an operator excludes, and changes of the settings. */
class ExclusionTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 4, true);

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router = new RequestRouter(SETTINGS, 1, actions);

  /** The server of the last attempt, which must be the last recorded action. */
  private long lastServer() {
    return actions.recorded.get(actions.recorded.size() - 1).numericArgument();
  }

  /** Sends a request; returns whether the router sent an attempt at once. */
  private boolean onRequestSendsAttempt(double now, String id, String key) {
    int sendsBefore = actions.named("send").size();
    router.onRequest(now, PolicyFixture.request(id, key, "safe", 1));
    return actions.named("send").size() > sendsBefore;
  }

  @Test
  void sendsNothingToExcludedServer() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(6));
    router.setExcluded(100, 3, true);
    router.setExcluded(100, 3, true);
    Random random = new Random(5);
    int attemptCount = 0;
    for (int i = 0; i < 3000; i++) {
      double now = 100 + i * 0.01;
      if (i % 50 == 0) {
        // The excluded server drains, is removed, is listed again with its id, or restarts.
        ServerEntry.State state = List.of(ServerEntry.State.values()).get(random.nextInt(3));
        ServerEntry entry = PolicyFixture.server(3, state, random.nextBoolean() ? now - 1 : 0);
        router.onMembershipUpdate(
            now, PolicyFixture.membershipUpdate(MembershipUpdate.Kind.DELTA, List.of(entry)));
      }
      if (onRequestSendsAttempt(now, "r" + i, "k" + i % 200)) {
        long server = lastServer();
        assertFalse(server == 3, "attempt at the excluded server at " + now + " s");
        attemptCount++;
        // All other servers fail together at times: panic mode must not use the excluded server.
        Outcome.Result result = i % 1000 > 800 ? Outcome.Result.CONNECT_FAILED : Outcome.Result.OK;
        router.onOutcome(now, PolicyFixture.outcome("r" + i, 0, server, result));
      }
    }
    assertTrue(
        actions.named("send").stream().noneMatch(act -> act.numericArgument() == 3),
        "the excluded server gets no retries");
    assertTrue(attemptCount > 1000, attemptCount + " attempts at the other servers");
  }

  @Test
  void rejectsRequestsWhenAllServersAreExcluded() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(2));
    router.setExcluded(100, 1, true);
    router.setExcluded(100, 2, true);
    assertFalse(onRequestSendsAttempt(100.1, "r1", "k"));
    assertEquals(1, actions.named("reject").size());
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
    // Server 2 restarted at 101 s, so that it is warm at 125 s, and its start is listed.
    router.onMembershipUpdate(
        105,
        PolicyFixture.membershipUpdate(
            MembershipUpdate.Kind.DELTA,
            List.of(PolicyFixture.server(2, ServerEntry.State.READY, 101))));
    router.setExcluded(125, 1, false);
    router.setExcluded(125, 2, false);
    int slowStartAttempts = 0;
    int warmAttempts = 0;
    for (int i = 0; i < 200; i++) {
      double now = 125 + i * 0.01;
      if (onRequestSendsAttempt(now, "r" + i, "k" + i)) {
        slowStartAttempts += lastServer() == 1 ? 1 : 0;
        warmAttempts += lastServer() == 2 ? 1 : 0;
        router.onOutcome(now, PolicyFixture.outcome("r" + i, 0, lastServer(), Outcome.Result.OK));
      }
    }
    assertTrue(warmAttempts > 150, warmAttempts + " attempts at the warm server");
    assertTrue(
        slowStartAttempts < 0.25 * warmAttempts,
        slowStartAttempts
            + " attempts at the server in slow start, "
            + warmAttempts
            + " at the warm server");
  }

  @Test
  void keepsSettingsOfPendingRequestsWhenSettingsChange() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(6));
    router.onRequest(100, PolicyFixture.request("old", "k", "unsafe", 1));
    router.onRequest(100, PolicyFixture.request("many", "k", "safe", 1));
    List<Settings.ServiceClass> idempotentClasses =
        SETTINGS.services().stream()
            .map(
                serviceClass ->
                    PolicyFixture.service(
                        serviceClass.name(),
                        Settings.Idempotency.IDEMPOTENT,
                        serviceClass.deduplicationScope()))
            .toList();
    router.updateSettings(PolicyFixture.settings(0, 4, false, 1, true, idempotentClasses));
    // Request "old" may have run and was accepted as not idempotent: it must fail and not be
    // rejected, since a rejection states that the request has not run.
    router.onOutcome(100.1, PolicyFixture.outcome("old", 0, 0, Outcome.Result.ERROR));
    assertEquals(
        List.of("old"),
        actions.named("fail").stream().map(PolicyFixture.RecordedAction::requestId).toList());
    long sendsBefore = actions.named("send").size();
    router.onOutcome(100.1, PolicyFixture.outcome("many", 0, 0, Outcome.Result.RESET));
    assertEquals(
        sendsBefore + 1,
        actions.named("send").size(),
        "request \"many\" was accepted with four attempts and is retried");
    // Request "new", which arrives after the change, has one attempt, and its class is idempotent.
    router.onRequest(100.2, PolicyFixture.request("new", "k", "unsafe", 1));
    router.onOutcome(100.3, PolicyFixture.outcome("new", 0, 0, Outcome.Result.ERROR));
    assertEquals(
        List.of("new"),
        actions.named("reject").stream().map(PolicyFixture.RecordedAction::requestId).toList());
  }
}
