package shalepaddle.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.MembershipUpdate.Kind;
import shalepaddle.model.ServerEntry;
import shalepaddle.policy.PolicyFixture;

/** Tests start times when the list author's clock is right, an hour ahead or an hour behind. */
class ServerStartTimesTest {
  private static final double SLOW_START_SECONDS = 10;
  private static final double NOW = 100_000;

  private final ServerStartTimes starts = new ServerStartTimes(SLOW_START_SECONDS);
  private long version = 1;

  /** Applies an update with these listed start times, for servers with ids counted from 1. */
  private void learn(double now, Kind kind, double... listedSeconds) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < listedSeconds.length; i++) {
      entries.add(PolicyFixture.server(i + 1, ServerEntry.State.READY, listedSeconds[i]));
    }
    starts.learn(now, new MembershipUpdate(kind, version++, entries));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 3600, -3600})
  void countsServersOfFirstListAsWarmWhenNoneIsNew(double skewSeconds) {
    double startSeconds = NOW + skewSeconds - 600;
    learn(NOW, Kind.CACHED, startSeconds, startSeconds + 1, startSeconds + 2, 0);
    for (int id = 1; id <= 4; id++) {
      assertEquals(ServerStartTimes.LONG_AGO, starts.startedAtSeconds(id));
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 3600, -3600})
  void countsNewestServersOfFirstListAsJustStarted(double skewSeconds) {
    double listNowSeconds = NOW + skewSeconds;
    learn(
        NOW,
        Kind.CACHED,
        listNowSeconds - 600,
        listNowSeconds - 500,
        listNowSeconds - 4,
        listNowSeconds - 1,
        listNowSeconds - 12);
    assertEquals(ServerStartTimes.LONG_AGO, starts.startedAtSeconds(1));
    assertEquals(NOW - 3, starts.startedAtSeconds(3), "the server started 3 s before the newest");
    assertEquals(NOW, starts.startedAtSeconds(4));
    assertEquals(
        ServerStartTimes.LONG_AGO,
        starts.startedAtSeconds(5),
        "a server that started 11 s before the newest is warm");
  }

  @Test
  void countsServersStartedTogetherAsWarmingUpWhenClocksAgree() {
    learn(NOW, Kind.FULL, NOW - 2, NOW - 1, NOW - 1);
    assertEquals(NOW - 1, starts.startedAtSeconds(1));
    assertEquals(NOW, starts.startedAtSeconds(2));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 3600, -3600})
  void usesArrivalTimeForStartListedInLaterUpdate(double stepSeconds) {
    learn(NOW, Kind.FULL, NOW - 600, NOW - 900);
    learn(NOW + 50, Kind.DELTA, NOW + 49 + stepSeconds);
    assertEquals(NOW + 50, starts.startedAtSeconds(1));
    assertEquals(ServerStartTimes.LONG_AGO, starts.startedAtSeconds(2));
    learn(NOW + 90, Kind.FULL, NOW + 49 + stepSeconds, NOW - 900);
    assertEquals(
        NOW + 50, starts.startedAtSeconds(1), "the same listed start is not counted again");
  }

  @Test
  void usesArrivalTimeOfDeltaForStartListedBeforeFullList() {
    learn(NOW, Kind.CACHED, NOW - 600, NOW - 700, NOW - 800);
    learn(NOW + 1, Kind.DELTA, NOW - 2);
    assertEquals(NOW + 1, starts.startedAtSeconds(1));
  }

  @Test
  void ignoresEarlierStartInOlderList() {
    version = 5;
    learn(NOW, Kind.FULL, NOW - 60, NOW - 600);
    version = 4;
    learn(NOW + 1, Kind.FULL, NOW - 900, NOW - 600);
    assertEquals(ServerStartTimes.LONG_AGO, starts.startedAtSeconds(2));
    version = 6;
    learn(NOW + 2, Kind.FULL, NOW - 60, NOW - 600);
    assertEquals(NOW, starts.startedAtSeconds(1), "the start in the first list");
  }

  @Test
  void keepsStartOfServerListedAgainWithSameStartTime() {
    learn(NOW, Kind.FULL, NOW - 600, NOW - 900);
    learn(NOW + 10, Kind.FULL);
    learn(NOW + 20, Kind.FULL, NOW - 600, NOW - 900);
    assertEquals(ServerStartTimes.LONG_AGO, starts.startedAtSeconds(2));
  }

  @Test
  void countsRestartedServerAsStartedUntilAnotherStartIsListed() {
    learn(NOW, Kind.FULL, NOW - 600);
    starts.markRestarted(NOW + 5, 1);
    learn(NOW + 6, Kind.FULL, NOW - 600);
    assertEquals(NOW + 5, starts.startedAtSeconds(1));
    learn(NOW + 7, Kind.FULL, NOW + 4);
    assertEquals(NOW + 7, starts.startedAtSeconds(1));
  }
}
