package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings;
import shalepaddle.policy.health.ServerHealth;

/** Checks that a stall of the event loop counts neither against servers nor in throughput rates. */
class EventLoopStallDecisionTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 1, true);

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router = new RequestRouter(SETTINGS, 1, actions);

  private static Outcome outcome(
      Outcome.Result result, double elapsedSeconds, double stalledSeconds) {
    return new Outcome(
        "a", 0, 1, result, elapsedSeconds, stalledSeconds, false, Outcome.CacheStatus.NONE, null);
  }

  @ParameterizedTest
  @EnumSource(names = {"TIMEOUT", "CONNECT_FAILED"})
  void doesNotEjectServerForTimeoutsDuringStall(Outcome.Result result) {
    for (double stalledSeconds : new double[] {0, 0.98}) {
      ServerHealth server = new ServerHealth(PolicyFixture.server(1), 100, SETTINGS);
      for (int i = 0; i < 10; i++) {
        server.onSent();
        server.onAttemptEnded(102 + 2 * i, outcome(result, 1, stalledSeconds), 60, true);
      }
      assertEquals(
          stalledSeconds == 0,
          server.isEjected(),
          "ejection when the event loop stalled for " + stalledSeconds + " s of a timeout of 1 s");
    }
  }

  @Test
  void ejectsHangingServerWhenLoopIsMostlyStalled() {
    ServerHealth server = new ServerHealth(PolicyFixture.server(1), 100, SETTINGS);
    int timeoutCount = 0;
    while (!server.isEjected() && timeoutCount < 100) {
      server.onSent();
      server.onAttemptEnded(
          102 + timeoutCount++, outcome(Outcome.Result.TIMEOUT, 1, 0.9), 60, true);
    }
    assertTrue(
        timeoutCount >= 10 && timeoutCount <= 40, timeoutCount + " timeouts until the ejection");
  }

  /**
   * Sends 20 requests per second for 10 s, which are answered at once, and then two requests every
   * 1.5 s, which stay unanswered.
   *
   * @param isNotified whether the router is notified of a stall of 1.5 s before each pair
   * @return the number of rejected requests
   */
  private long countRejectionsAfterStalls(boolean isNotified) {
    router.onMembershipUpdate(100, PolicyFixture.fleet(3));
    int requestNumber = 0;
    for (; requestNumber < 200; requestNumber++) {
      double now = 100 + requestNumber * 0.05;
      String id = "q" + requestNumber;
      router.onRequest(now, PolicyFixture.request(id, "key" + requestNumber % 7, "safe", 2));
      PolicyFixture.RecordedAction lastSend = actions.recorded.get(actions.recorded.size() - 1);
      router.onOutcome(
          now, PolicyFixture.outcome(id, 0, lastSend.numericArgument(), Outcome.Result.OK));
    }
    for (int stall = 0; stall < 5; stall++) {
      double now = 111.5 + stall * 1.5;
      if (isNotified) {
        router.onEventLoopStall(1.5);
      }
      for (int i = 0; i < 2; i++) {
        router.onRequest(now, PolicyFixture.request("p" + requestNumber++, "key" + i, "unsafe", 9));
      }
    }
    return actions.named("reject").size();
  }

  @Test
  void admitsRequestsWhenRouterIsNotifiedOfStall() {
    assertEquals(0, countRejectionsAfterStalls(true));
  }

  @Test
  void rejectsRequestsWhenServersDoNotAnswer() {
    assertFalse(countRejectionsAfterStalls(false) == 0);
  }
}
