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

/** Tests outlier detection, slow start and load score of one server. */
class ServerHealthTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 4, true);

  private static ServerHealth server(long id) {
    return new ServerHealth(PolicyFixture.server(id), 100, SETTINGS);
  }

  /** Sends an attempt that ends at once; returns the result of {@code onAttemptEnded}. */
  private static boolean endAttempt(ServerHealth server, double now, Outcome.Result result) {
    server.onSent();
    return server.onAttemptEnded(now, PolicyFixture.outcome("a", 0, server.id(), result), 60, true);
  }

  @Test
  void offersFewerKeysToSlowServerUntilItRecovers() {
    ServerHealth slowServer = server(1);
    for (int i = 0; i < 20; i++) {
      slowServer.recordLoad(100 + i * 0.1, 3, 1);
    }
    assertTrue(
        slowServer.keyFraction(102) < 0.2,
        "key fraction of the slow server: " + slowServer.keyFraction(102));
    int acceptedKeys = 0;
    for (long key = 0; key < 1000; key++) {
      acceptedKeys += slowServer.acceptsKey(102, Hashing.mix(key), 1) ? 1 : 0;
    }
    assertTrue(acceptedKeys < 250, "keys accepted of 1000: " + acceptedKeys);
    assertEquals(1, slowServer.keyFraction(160));
  }

  @Test
  void offersAllKeysWhenAllServersAreEquallyLoaded() {
    ServerHealth server = server(1);
    for (int i = 0; i < 20; i++) {
      server.recordLoad(100 + i * 0.1, 1.4, 1.5);
    }
    assertEquals(1, server.keyFraction(102));
  }

  @Test
  void decaysLoadScoreWithoutRequests() {
    ServerHealth server = server(1);
    for (int i = 0; i < 20; i++) {
      server.recordLoad(100, 4, 1);
    }
    assertTrue(server.loadScore(100) > 3);
    assertTrue(server.loadScore(110) < 0.5);
  }

  @Test
  void weighsSampleMoreAfterLongPause() {
    ServerHealth afterShortPause = server(1);
    ServerHealth afterLongPause = server(2);
    afterShortPause.recordLoad(100.01, 3, 1);
    afterLongPause.recordLoad(102, 3, 1);
    assertTrue(afterLongPause.keyFraction(102) < afterShortPause.keyFraction(100.01) - 0.2);
  }

  @Test
  void slowStartsServerThatRefusedConnectionsAndRespondsAgain() {
    ServerHealth server = server(1);
    endAttempt(server, 99, Outcome.Result.OK);
    assertFalse(endAttempt(server, 100, Outcome.Result.CONNECT_FAILED));
    assertFalse(endAttempt(server, 100, Outcome.Result.CONNECT_FAILED));
    assertFalse(
        server.isEjected(),
        "attempts sent before the first failure was observed count as one failure");
    assertFalse(endAttempt(server, 100.1, Outcome.Result.CONNECT_FAILED));
    assertTrue(server.isEjected());
    assertFalse(server.isTrialDue(100.2));
    assertTrue(server.isTrialDue(101));
    endAttempt(server, 101, Outcome.Result.OK);
    assertFalse(server.isEjected());
    assertEquals(SETTINGS.contract().slowStartMinRatio(), server.capacityRatio(101), 1e-9);
    assertEquals(1, server.capacityRatio(101 + SETTINGS.contract().slowStartSeconds()));
  }

  @Test
  void doesNotSlowStartServerAtItsConnectionLimit() {
    ServerHealth server = server(1);
    assertTrue(endAttempt(server, 100, Outcome.Result.CONNECT_FAILED));
    assertTrue(endAttempt(server, 100.1, Outcome.Result.CONNECT_FAILED));
    endAttempt(server, 101, Outcome.Result.OK);
    assertFalse(server.isEjected());
    assertEquals(1, server.capacityRatio(101));
  }

  @Test
  void doesNotSlowStartServerThatAnswersEarlierAttempt() {
    ServerHealth server = server(1);
    endAttempt(server, 99, Outcome.Result.OK);
    server.onSent();
    endAttempt(server, 100.2, Outcome.Result.CONNECT_FAILED);
    endAttempt(server, 100.3, Outcome.Result.CONNECT_FAILED);
    assertTrue(server.isEjected());
    Outcome lateOutcome =
        new Outcome("a", 0, 1, Outcome.Result.OK, 0.4, true, Outcome.CacheStatus.HIT, null);
    server.onAttemptEnded(100.4, lateOutcome, 60, true);
    assertFalse(server.isEjected());
    assertEquals(1, server.capacityRatio(100.4));
  }

  @Test
  void doesNotSlowStartServerAfterResetsAlone() {
    ServerHealth server = server(1);
    endAttempt(server, 99, Outcome.Result.OK);
    for (int i = 0; i < 6; i++) {
      endAttempt(server, 100 + i * 0.1, Outcome.Result.RESET);
    }
    endAttempt(server, 101, Outcome.Result.CONNECT_FAILED);
    assertTrue(server.isEjected());
    endAttempt(server, 102, Outcome.Result.OK);
    assertFalse(server.isEjected());
    assertEquals(1, server.capacityRatio(102));
  }

  @Test
  void ejectsFailingServerUnlessManyServersFail() {
    List<Outcome.Result> results =
        List.of(Outcome.Result.TIMEOUT, Outcome.Result.SERVER_BUSY, Outcome.Result.ERROR);
    for (Outcome.Result result : results) {
      for (boolean mostServersHealthy : new boolean[] {true, false}) {
        ServerHealth server = server(1);
        // A busy reply counts as half a failure, since the server may lack capacity for fetches
        // only.
        int failures =
            OutlierDetector.MAX_CONSECUTIVE_FAILURES
                * (result == Outcome.Result.SERVER_BUSY ? 2 : 1);
        for (int i = 0; i < failures; i++) {
          assertFalse(server.isEjected());
          server.onSent();
          server.onAttemptEnded(
              100 + 3.0 * i / failures,
              PolicyFixture.outcome("a", 0, 1, result),
              60,
              mostServersHealthy);
        }
        assertEquals(mostServersHealthy, server.isEjected(), result + ", " + mostServersHealthy);
        assertFalse(mostServersHealthy && server.isTrialDue(102.1));
        endAttempt(server, 103, Outcome.Result.OK);
        assertFalse(server.isEjected());
        assertEquals(1, server.capacityRatio(103), "no slow start without a restart");
      }
    }
  }

  @Test
  void ejectsServerAfterConsecutiveResets() {
    ServerHealth server = server(1);
    for (int i = 0; i < 2 * OutlierDetector.MAX_CONSECUTIVE_FAILURES; i++) {
      assertFalse(server.isEjected(), "after " + 2 * i + " resets");
      endAttempt(server, 99 + i * 0.1, Outcome.Result.RESET);
      endAttempt(server, 99 + i * 0.1, Outcome.Result.RESET);
    }
    assertTrue(server.isEjected());
    for (int trial = 1; trial < 5; trial++) {
      endAttempt(server, 100 + trial, Outcome.Result.RESET);
      assertTrue(
          server.isTrialDue(100.6 + trial), "a trial that was reset does not increase the backoff");
    }
  }
}
