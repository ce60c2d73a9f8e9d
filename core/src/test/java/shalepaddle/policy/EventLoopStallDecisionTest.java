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

/** Time in which the event loop was stalled counts against no server and in no rate. */
class EventLoopStallDecisionTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 1, true);

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router = new RequestRouter(SETTINGS, 1, actions);

  private static Outcome ended(
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
        server.onAttemptEnded(102 + 2 * i, ended(result, 1, stalledSeconds), 60, true);
      }
      assertEquals(
          stalledSeconds == 0, server.isEjected(), "stalled for " + stalledSeconds + " s of 1 s");
    }
  }

  @Test
  void ejectsHangingServerThoughLoopIsMostlyStalled() {
    ServerHealth server = new ServerHealth(PolicyFixture.server(1), 100, SETTINGS);
    int timeOuts = 0;
    while (!server.isEjected() && timeOuts < 100) {
      server.onSent();
      server.onAttemptEnded(102 + timeOuts++, ended(Outcome.Result.TIMEOUT, 1, 0.9), 60, true);
    }
    assertTrue(timeOuts >= 10 && timeOuts <= 40, timeOuts + " time-outs");
  }

  /** Answers 20 requests a second for 10 s, and then two more every 1.5 s that stay open. */
  private long rejectedAfterStalls(boolean notified) {
    router.onMembershipUpdate(100, PolicyFixture.fleet(3));
    int next = 0;
    for (; next < 200; next++) {
      double now = 100 + next * 0.05;
      router.onRequest(now, PolicyFixture.request("q" + next, "key" + next % 7, "safe", 2));
      PolicyFixture.Act sent = actions.acts.get(actions.acts.size() - 1);
      router.onOutcome(now, PolicyFixture.outcome("q" + next, 0, sent.number(), Outcome.Result.OK));
    }
    for (int stall = 0; stall < 5; stall++) {
      double now = 111.5 + stall * 1.5;
      if (notified) {
        router.onEventLoopStall(1.5);
      }
      for (int i = 0; i < 2; i++) {
        router.onRequest(now, PolicyFixture.request("p" + next++, "key" + i, "unsafe", 9));
      }
    }
    return actions.of("reject").size();
  }

  @Test
  void admitsRequestsAfterStall() {
    assertEquals(0, rejectedAfterStalls(true));
  }

  @Test
  void rejectsRequestsWhenNothingIsAnsweredWithoutStall() {
    assertFalse(rejectedAfterStalls(false) == 0);
  }
}
