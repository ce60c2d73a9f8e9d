package shalepaddle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import shalepaddle.testkit.Fault;

/**
 * Runs the scenarios of fixed seeds. If the scenario of another seed fails, add a test for that
 * seed here.
 */
class ScenarioSimulationTest {
  static LongStream seeds() {
    return LongStream.rangeClosed(1, 60);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void playReportsNoViolationInDrawnScenario(long seed) {
    ScenarioReport report = ScenarioSimulation.play(ScenarioPlan.of(seed, 20_000));
    assertEquals(List.of(), report.violations(), report::toString);
  }

  static LongStream coalescingSeeds() {
    return LongStream.rangeClosed(1001, 1030);
  }

  @ParameterizedTest
  @MethodSource("coalescingSeeds")
  void playReportsNoViolationWithCoalescing(long seed) {
    ScenarioReport report = ScenarioSimulation.play(ScenarioPlan.of(seed, 20_000).withCoalescing());
    assertEquals(List.of(), report.violations(), report::toString);
    assertTrue(report.sharedReads() > 20, report::toString);
  }

  private static ScenarioPlan planWithEvents(ScenarioPlan.Event... events) {
    return new ScenarioPlan(
        3, 5, 2, false, 3, true, 4, 100, 1, 0, 100, 8000, List.of(events), false);
  }

  @Test
  void playReportsOnlyFailedRequestsWhenAllServersStallPastDeadlines() {
    ScenarioReport report =
        ScenarioSimulation.play(
            planWithEvents(
                new ScenarioPlan.Event(
                    2000, ScenarioPlan.Kind.FAULT_EVERYWHERE, 0, 4000, 1, Fault.STALL)));
    assertEquals(List.of(), report.violations(), report::toString);
    assertTrue(report.failedRequests() + report.refusedRequests() > 200, report::toString);
    assertTrue(report.servedRequests() > 200, report::toString);
  }

  @Test
  void playServesAlmostAllRequestsWhenNodePausesDuringRestart() {
    ScenarioReport report =
        ScenarioSimulation.play(
            planWithEvents(
                new ScenarioPlan.Event(2000, ScenarioPlan.Kind.RESTART, 0, 0, 1, null),
                new ScenarioPlan.Event(3900, ScenarioPlan.Kind.NODE_PAUSE, 0, 350, 1, null)));
    assertEquals(List.of(), report.violations(), report::toString);
    // Not all requests are served: those sent shortly before the drain ends have little time left,
    // and the pause uses up part of that time.
    assertTrue(report.servedRequests() > 0.98 * report.requests(), report::toString);
  }

  @Test
  void playReturnsSameReportInEveryRun() {
    ScenarioPlan plan = ScenarioPlan.of(11, 10_000);
    assertEquals(ScenarioSimulation.play(plan), ScenarioSimulation.play(plan));
  }
}
