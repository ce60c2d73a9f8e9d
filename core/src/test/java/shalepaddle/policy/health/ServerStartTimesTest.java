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

/** Starts by the stamps of a clock that is off by an hour, either way, or by nothing. */
class ServerStartTimesTest {
  private static final double SLOW_START_SECONDS = 10;
  private static final double NOW = 100_000;

  private final ServerStartTimes starts = new ServerStartTimes(SLOW_START_SECONDS);
  private long version = 1;

  /** An update whose servers, by id from 1 on, have these stamps. */
  private void learn(double now, Kind kind, double... stamps) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < stamps.length; i++) {
      entries.add(PolicyFixture.server(i + 1, ServerEntry.State.READY, stamps[i]));
    }
    starts.learn(now, new MembershipUpdate(kind, version++, entries));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 3600, -3600})
  void firstListOfOldServersIsWarm(double skew) {
    double then = NOW + skew - 600;
    learn(NOW, Kind.CACHED, then, then + 1, then + 2, 0);
    for (int id = 1; id <= 4; id++) {
      assertEquals(ServerStartTimes.LONG_AGO, starts.of(id));
    }
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 3600, -3600})
  void newestOfFirstListMayHaveStartedJustNow(double skew) {
    double then = NOW + skew;
    learn(NOW, Kind.CACHED, then - 600, then - 500, then - 4, then - 1, then - 12);
    assertEquals(ServerStartTimes.LONG_AGO, starts.of(1));
    assertEquals(NOW - 3, starts.of(3), "three seconds older than the newest");
    assertEquals(NOW, starts.of(4));
    assertEquals(ServerStartTimes.LONG_AGO, starts.of(5), "older than the newest by the warm-up");
  }

  @Test
  void firstListOfServersStartedTogetherIsWarmingUpIfBothClocksAgree() {
    learn(NOW, Kind.FULL, NOW - 2, NOW - 1, NOW - 1);
    assertEquals(NOW - 1, starts.of(1));
    assertEquals(NOW, starts.of(2));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 3600, -3600})
  void laterListedStartCountsFromItsReceipt(double step) {
    learn(NOW, Kind.FULL, NOW - 600, NOW - 900);
    learn(NOW + 50, Kind.DELTA, NOW + 49 + step);
    assertEquals(NOW + 50, starts.of(1));
    assertEquals(ServerStartTimes.LONG_AGO, starts.of(2));
    learn(NOW + 90, Kind.FULL, NOW + 49 + step, NOW - 900);
    assertEquals(NOW + 50, starts.of(1), "the same start");
  }

  @Test
  void deltaBeforeAnyFullListCountsFromItsReceipt() {
    learn(NOW, Kind.CACHED, NOW - 600, NOW - 700, NOW - 800);
    learn(NOW + 1, Kind.DELTA, NOW - 2);
    assertEquals(NOW + 1, starts.of(1));
  }

  @Test
  void olderListHasNoNewStart() {
    version = 5;
    learn(NOW, Kind.FULL, NOW - 60, NOW - 600);
    version = 4;
    learn(NOW + 1, Kind.FULL, NOW - 900, NOW - 600);
    assertEquals(ServerStartTimes.LONG_AGO, starts.of(2));
    version = 6;
    learn(NOW + 2, Kind.FULL, NOW - 60, NOW - 600);
    assertEquals(NOW, starts.of(1), "as the first list had it");
  }

  @Test
  void serverThatComesBackUnchangedHasNotRestarted() {
    learn(NOW, Kind.FULL, NOW - 600, NOW - 900);
    learn(NOW + 10, Kind.FULL);
    learn(NOW + 20, Kind.FULL, NOW - 600, NOW - 900);
    assertEquals(ServerStartTimes.LONG_AGO, starts.of(2));
  }

  @Test
  void includedServerCountsAsStartedUntilAnotherStartIsListed() {
    learn(NOW, Kind.FULL, NOW - 600);
    starts.restarted(NOW + 5, 1);
    learn(NOW + 6, Kind.FULL, NOW - 600);
    assertEquals(NOW + 5, starts.of(1));
    learn(NOW + 7, Kind.FULL, NOW + 4);
    assertEquals(NOW + 7, starts.of(1));
  }
}
