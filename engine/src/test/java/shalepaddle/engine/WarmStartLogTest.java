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

/** Observations of one process in the time of the next, whose wall clock may differ. */
class WarmStartLogTest {
  private static final double NOW = 10_000;

  private static Observation endedAt(double time) {
    Request request = new Request("", "key", "read", null, 1, 0, 0, false, false);
    Outcome outcome =
        new Outcome("", 0, 1, Outcome.Result.OK, 0.5, 0, true, Outcome.CacheStatus.NONE, null);
    return new Observation(time, request, outcome);
  }

  private static List<Double> endsInTime(double... times) {
    List<Observation> observations =
        Arrays.stream(times).mapToObj(WarmStartLogTest::endedAt).toList();
    return WarmStartLog.inTime(NOW, observations).stream().map(Observation::endedAt).toList();
  }

  @Test
  void keepsTimesOfRecentObservations() {
    assertEquals(List.of(NOW - 9, NOW - 3), endsInTime(NOW - 9, NOW - 3));
    assertEquals(List.of(), endsInTime());
  }

  @ParameterizedTest
  @ValueSource(doubles = {3600, -3600, 5, -30})
  void movesObservationsOfADifferentClockToNow(double offset) {
    assertEquals(List.of(NOW - 6, NOW), endsInTime(NOW - 6 + offset, NOW + offset));
  }
}
