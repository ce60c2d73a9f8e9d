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

/** Conversion of observations to the time of a process whose wall clock may differ. */
class WarmStartLogTest {
  private static final double NOW_SECONDS = 10_000;

  private static Observation endedAt(double timeSeconds) {
    Request request = new Request("", "key", "read", null, 1, 0, 0, false, false);
    Outcome outcome =
        new Outcome("", 0, 1, Outcome.Result.OK, 0.5, 0, true, Outcome.CacheStatus.NONE, null);
    return new Observation(timeSeconds, request, outcome);
  }

  private static List<Double> convertedEndTimes(double... endTimesSeconds) {
    List<Observation> observations =
        Arrays.stream(endTimesSeconds).mapToObj(WarmStartLogTest::endedAt).toList();
    return WarmStartLog.rebaseTimes(NOW_SECONDS, observations).stream()
        .map(Observation::endedAtSeconds)
        .toList();
  }

  @Test
  void keepsTimesOfRecentObservations() {
    assertEquals(
        List.of(NOW_SECONDS - 9, NOW_SECONDS - 3),
        convertedEndTimes(NOW_SECONDS - 9, NOW_SECONDS - 3));
    assertEquals(List.of(), convertedEndTimes());
  }

  @ParameterizedTest
  @ValueSource(doubles = {3600, -3600, 5, -30})
  void shiftsObservationsOfDifferentClockToNow(double offsetSeconds) {
    assertEquals(
        List.of(NOW_SECONDS - 6, NOW_SECONDS),
        convertedEndTimes(NOW_SECONDS - 6 + offsetSeconds, NOW_SECONDS + offsetSeconds));
  }
}
