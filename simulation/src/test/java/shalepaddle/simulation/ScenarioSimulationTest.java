package shalepaddle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import shalepaddle.testkit.Fault;

/** Days of fixed seeds: a failing one of any other seed belongs here as well. */
class ScenarioSimulationTest {
  static LongStream seeds() {
    return LongStream.rangeClosed(1, 60);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void nothingBreaks(long seed) {
    ScenarioReport report = ScenarioSimulation.play(ScenarioPlan.of(seed, 20_000));
    assertEquals(List.of(), report.breaches(), report::toString);
  }

  static LongStream joinedSeeds() {
    return LongStream.rangeClosed(1001, 1030);
  }

  @ParameterizedTest
  @MethodSource("joinedSeeds")
  void nothingBreaksWhereReadsAreJoined(long seed) {
    ScenarioReport report = ScenarioSimulation.play(ScenarioPlan.of(seed, 20_000).joined());
    assertEquals(List.of(), report.breaches(), report::toString);
    assertTrue(report.shared() > 20, report::toString);
  }

  private static ScenarioPlan plan(ScenarioPlan.Trouble... troubles) {
    return new ScenarioPlan(
        3, 5, 2, false, 3, true, 4, 100, 1, 0, 100, 8000, List.of(troubles), false);
  }

  @Test
  void aFleetThatStallsPastEveryDeadlineCostsFailuresAlone() {
    ScenarioReport report =
        ScenarioSimulation.play(
            plan(
                new ScenarioPlan.Trouble(
                    2000, ScenarioPlan.Kind.FAULT_EVERYWHERE, 0, 4000, 1, Fault.STALL)));
    assertEquals(List.of(), report.breaches(), report::toString);
    assertTrue(report.failed() + report.refused() > 200, report::toString);
    assertTrue(report.served() > 200, report::toString);
  }

  @Test
  void aRestartUnderAPauseLosesNothing() {
    ScenarioReport report =
        ScenarioSimulation.play(
            plan(
                new ScenarioPlan.Trouble(2000, ScenarioPlan.Kind.RESTART, 0, 0, 1, null),
                new ScenarioPlan.Trouble(3900, ScenarioPlan.Kind.NODE_PAUSE, 0, 350, 1, null)));
    assertEquals(List.of(), report.breaches(), report::toString);
    // What comes shortly before its end has little time, and the pause takes some of that.
    assertTrue(report.served() > 0.98 * report.asked(), report::toString);
  }

  @Test
  void aDayIsTheSameInEveryRun() {
    ScenarioPlan plan = ScenarioPlan.of(11, 10_000);
    assertEquals(ScenarioSimulation.play(plan), ScenarioSimulation.play(plan));
  }
}
