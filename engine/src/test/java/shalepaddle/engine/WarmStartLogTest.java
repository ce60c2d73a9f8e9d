package shalepaddle.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.model.Observation;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;

/** What one process passes on is taken in the time of the next, whatever their wall clocks say. */
class WarmStartLogTest {
  private static final double NOW = 10_000;

  private static Observation endedAt(double time) {
    Request request = new Request("", "key", "read", null, 1, 0, 0, false, false);
    Outcome outcome =
        new Outcome("", 0, 1, Outcome.Result.OK, 0.5, 0, true, Outcome.CacheStatus.NONE, null);
    return new Observation(time, request, outcome);
  }

  private static List<Double> taken(double... times) {
    List<Observation> seen = Arrays.stream(times).mapToObj(WarmStartLogTest::endedAt).toList();
    return WarmStartLog.inTime(NOW, seen).stream().map(Observation::endedAt).toList();
  }

  @Test
  void whatEndedLatelyKeepsItsTimes() {
    assertEquals(List.of(NOW - 9, NOW - 3), taken(NOW - 9, NOW - 3));
    assertEquals(List.of(), taken());
  }

  @ParameterizedTest
  @ValueSource(doubles = {3600, -3600, 5, -30})
  void whatAnotherClockTellsEndedJustNow(double offset) {
    assertEquals(List.of(NOW - 6, NOW), taken(NOW - 6 + offset, NOW + offset));
  }
}
