package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings;

/** What the module makes of time in which its node stood still. */
class EventLoopStallDecisionTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 1, true);

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter balancer = new RequestRouter(SETTINGS, 1, actions);

  private static Outcome ended(Outcome.Result result, double elapsed, double unheard) {
    return new Outcome("a", 0, 1, result, elapsed, unheard, false, Outcome.CacheStatus.NONE, null);
  }

  @ParameterizedTest
  @EnumSource(names = {"TIMEOUT", "CONNECT_FAILED"})
  void aServerIsNotSuspectForSilenceThatNobodyListenedTo(Outcome.Result result) {
    for (double unheard : new double[] {0, 0.98}) {
      ServerHealth server = new ServerHealth(PolicyFixture.server(1), 100, SETTINGS);
      for (int i = 0; i < 10; i++) {
        server.sent();
        server.ended(102 + 2 * i, ended(result, 1, unheard), 60, true);
      }
      assertEquals(unheard == 0, server.suspect(), "unheard for " + unheard + " s of 1 s");
    }
  }

  @Test
  void aHungServerIsStillFoundWhereTheNodeRunsForATenthOfTheTime() {
    ServerHealth server = new ServerHealth(PolicyFixture.server(1), 100, SETTINGS);
    int timeOuts = 0;
    while (!server.suspect() && timeOuts < 100) {
      server.sent();
      server.ended(102 + timeOuts++, ended(Outcome.Result.TIMEOUT, 1, 0.9), 60, true);
    }
    assertTrue(timeOuts >= 10 && timeOuts <= 40, timeOuts + " time-outs");
  }

  /** Answers 20 requests a second for 10 s, and then two more every 1.5 s that stay open. */
  private long refusedAfter(boolean told) {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(3));
    int next = 0;
    for (; next < 200; next++) {
      double now = 100 + next * 0.05;
      balancer.onRequest(now, PolicyFixture.request("q" + next, "key" + next % 7, "safe", 2));
      PolicyFixture.Act sent = actions.acts.get(actions.acts.size() - 1);
      balancer.onOutcome(
          now, PolicyFixture.outcome("q" + next, 0, sent.number(), Outcome.Result.OK));
    }
    for (int pause = 0; pause < 5; pause++) {
      double now = 111.5 + pause * 1.5;
      if (told) {
        balancer.onEventLoopStall(1.5);
      }
      for (int i = 0; i < 2; i++) {
        balancer.onRequest(now, PolicyFixture.request("p" + next++, "key" + i, "unsafe", 9));
      }
    }
    return actions.of("refuse").size();
  }

  @Test
  void requestsAreNotTakenForHopelessBecauseNothingWasAnsweredInAPause() {
    assertEquals(0, refusedAfter(true));
  }

  @Test
  void theyAreWhereNothingIsAnsweredWhileTheNodeRuns() {
    assertFalse(refusedAfter(false) == 0);
  }
}
