package shalepaddle.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings;
import shalepaddle.policy.PolicyFixture;
import shalepaddle.policy.hash.Hashing;

/** Outlier detection, slow start and load score of one server. */
class ServerHealthTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 4, true);

  private static ServerHealth server(long id) {
    return new ServerHealth(PolicyFixture.server(id), 100, SETTINGS);
  }

  private static boolean ended(ServerHealth server, double now, Outcome.Result result) {
    server.onSent();
    return server.onAttemptEnded(now, PolicyFixture.outcome("a", 0, server.id(), result), 60, true);
  }

  @Test
  void offersFewerKeysToSlowServerUntilItRecovers() {
    ServerHealth slow = server(1);
    for (int i = 0; i < 20; i++) {
      slow.recordLoad(100 + i * 0.1, 3, 1);
    }
    assertTrue(slow.keyFraction(102) < 0.2, "key fraction " + slow.keyFraction(102));
    int accepted = 0;
    for (long key = 0; key < 1000; key++) {
      accepted += slow.acceptsKey(102, Hashing.mix(key), 1) ? 1 : 0;
    }
    assertTrue(accepted < 250, "keys accepted: " + accepted);
    assertEquals(1, slow.keyFraction(160));
  }

  @Test
  void movesNoKeyWhenAllServersAreLoadedAlike() {
    ServerHealth one = server(1);
    for (int i = 0; i < 20; i++) {
      one.recordLoad(100 + i * 0.1, 1.4, 1.5);
    }
    assertEquals(1, one.keyFraction(102));
  }

  @Test
  void loadScoreFadesWithoutRequests() {
    ServerHealth one = server(1);
    for (int i = 0; i < 20; i++) {
      one.recordLoad(100, 4, 1);
    }
    assertTrue(one.loadScore(100) > 3);
    assertTrue(one.loadScore(110) < 0.5);
  }

  @Test
  void weighsSampleAfterLongPauseMore() {
    ServerHealth dense = server(1);
    ServerHealth rare = server(2);
    dense.recordLoad(100.01, 3, 1);
    rare.recordLoad(102, 3, 1);
    assertTrue(rare.keyFraction(102) < dense.keyFraction(100.01) - 0.2);
  }

  @Test
  void slowStartsServerThatRefusedConnectionsAndServesAgain() {
    ServerHealth one = server(1);
    ended(one, 99, Outcome.Result.OK);
    assertFalse(ended(one, 100, Outcome.Result.CONNECT_FAILED));
    assertFalse(ended(one, 100, Outcome.Result.CONNECT_FAILED));
    assertFalse(one.isEjected(), "two that waited for one connection");
    assertFalse(ended(one, 100.1, Outcome.Result.CONNECT_FAILED));
    assertTrue(one.isEjected());
    assertFalse(one.isTrialDue(100.2));
    assertTrue(one.isTrialDue(101));
    ended(one, 101, Outcome.Result.OK);
    assertFalse(one.isEjected());
    assertEquals(SETTINGS.contract().slowStartMinRatio(), one.capacityRatio(101), 1e-9);
    assertEquals(1, one.capacityRatio(101 + SETTINGS.contract().slowStartSeconds()));
  }

  @Test
  void doesNotSlowStartServerAtItsConnectionLimit() {
    ServerHealth one = server(1);
    assertTrue(ended(one, 100, Outcome.Result.CONNECT_FAILED));
    assertTrue(ended(one, 100.1, Outcome.Result.CONNECT_FAILED));
    ended(one, 101, Outcome.Result.OK);
    assertFalse(one.isEjected());
    assertEquals(1, one.capacityRatio(101));
  }

  @Test
  void doesNotSlowStartServerThatAnswersEarlierAttempt() {
    ServerHealth one = server(1);
    ended(one, 99, Outcome.Result.OK);
    one.onSent();
    ended(one, 100.2, Outcome.Result.CONNECT_FAILED);
    ended(one, 100.3, Outcome.Result.CONNECT_FAILED);
    assertTrue(one.isEjected());
    Outcome late =
        new Outcome("a", 0, 1, Outcome.Result.OK, 0.4, true, Outcome.CacheStatus.HIT, null);
    one.onAttemptEnded(100.4, late, 60, true);
    assertFalse(one.isEjected());
    assertEquals(1, one.capacityRatio(100.4));
  }

  @Test
  void doesNotSlowStartServerAfterResetsAlone() {
    ServerHealth one = server(1);
    ended(one, 99, Outcome.Result.OK);
    for (int i = 0; i < 6; i++) {
      ended(one, 100 + i * 0.1, Outcome.Result.RESET);
    }
    ended(one, 101, Outcome.Result.CONNECT_FAILED);
    assertTrue(one.isEjected());
    ended(one, 102, Outcome.Result.OK);
    assertFalse(one.isEjected());
    assertEquals(1, one.capacityRatio(102));
  }

  @Test
  void ejectsServerThatServesNothingUnlessManyFail() {
    List<Outcome.Result> results =
        List.of(Outcome.Result.TIMEOUT, Outcome.Result.SERVER_BUSY, Outcome.Result.ERROR);
    for (Outcome.Result result : results) {
      for (boolean few : new boolean[] {true, false}) {
        ServerHealth one = server(1);
        // A busy server may lack capacity for fetches alone: each of these counts for half.
        int failures =
            OutlierDetector.MAX_CONSECUTIVE_FAILURES
                * (result == Outcome.Result.SERVER_BUSY ? 2 : 1);
        for (int i = 0; i < failures; i++) {
          assertFalse(one.isEjected());
          one.onSent();
          one.onAttemptEnded(
              100 + 3.0 * i / failures, PolicyFixture.outcome("a", 0, 1, result), 60, few);
        }
        assertEquals(few, one.isEjected(), result + " " + few);
        assertFalse(few && one.isTrialDue(102.1));
        ended(one, 103, Outcome.Result.OK);
        assertFalse(one.isEjected());
        assertEquals(1, one.capacityRatio(103), "it has not restarted");
      }
    }
  }

  @Test
  void ejectsServerAfterConsecutiveResetsNotAfterSingleOnes() {
    ServerHealth one = server(1);
    for (int i = 0; i < 2 * OutlierDetector.MAX_CONSECUTIVE_FAILURES; i++) {
      assertFalse(one.isEjected(), "after " + i + " in a failures");
      ended(one, 99 + i * 0.1, Outcome.Result.RESET);
      ended(one, 99 + i * 0.1, Outcome.Result.RESET);
    }
    assertTrue(one.isEjected());
    for (int trial = 1; trial < 5; trial++) {
      ended(one, 100 + trial, Outcome.Result.RESET);
      assertTrue(one.isTrialDue(100.6 + trial), "a trial that was reset lengthens no pause");
    }
  }
}
