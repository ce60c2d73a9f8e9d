package shalepaddle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Scenarios in which several events occur at almost the same time, in deployments that differ in
 * deadlines, connect delays and whether attempts may be cancelled, while many clients disconnect.
 * Each request must get exactly one response in time; attempts must be limited in number and
 * repeated only where that is safe; no server may get a request after the grace of its drain, or be
 * overloaded while it is warming up; and no attempt may be sent for a client that has disconnected.
 */
class RaceWindowTest {
  private static final int DURATION_MILLIS = 8000;

  static LongStream seeds() {
    return LongStream.rangeClosed(2001, 2150);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void playReportsNoViolationWhenEventsOverlap(long seed) {
    ScenarioReport report =
        ScenarioSimulation.play(ScenarioPlan.ofConcurrentEvents(seed, DURATION_MILLIS));
    assertEquals(List.of(), report.violations(), report::toString);
  }

  /** Guards against a draw that never yields some kind of event, or two kinds in some order. */
  @Test
  void ofConcurrentEventsDrawsEveryPairOfKindsInEitherOrder() {
    List<String> kindPairs = new ArrayList<>();
    for (long seed = 1; seed <= 2000; seed++) {
      ScenarioPlan basePlan = ScenarioPlan.of(seed, DURATION_MILLIS);
      List<ScenarioPlan.Event> addedEvents =
          new ArrayList<>(ScenarioPlan.ofConcurrentEvents(seed, DURATION_MILLIS).events());
      basePlan.events().forEach(addedEvents::remove);
      for (int i = 0; i < addedEvents.size(); i++) {
        for (int j = i + 1; j < addedEvents.size(); j++) {
          kindPairs.add(addedEvents.get(i).kind() + " " + addedEvents.get(j).kind());
        }
      }
    }
    assertEquals(
        12 * 12, Set.copyOf(kindPairs).size(), "number of distinct ordered pairs of event kinds");
    assertTrue(kindPairs.size() > 2000);
  }
}
