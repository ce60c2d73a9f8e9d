package shalepaddle.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Groups under random faults in virtual time. {@code -Dgroup.days=10000} runs more seeds, {@code
 * -Dgroup.first=17} starts with another one.
 */
@Execution(ExecutionMode.CONCURRENT)
class RaftGroupSimulationTest {
  private static final int SEEDS = Integer.getInteger("group.days", 150);
  private static final int FIRST_SEED = Integer.getInteger("group.first", 1);

  @ParameterizedTest
  @EnumSource(names = {"NONE", "FAILING_DISKS"})
  void losesNoAcknowledgedEntry(InjectedDefect defect) throws Exception {
    long acknowledged = 0;
    long reads = 0;
    for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      RaftGroupSimulation.Report report = new RaftGroupSimulation(seed, defect).run();
      assertEquals(List.of(), report.violations(), "seed " + seed);
      acknowledged += report.acknowledged();
      reads += report.reads();
    }
    System.out.printf(
        "%s, %d seeds: %d acknowledged, %d reads%n", defect, SEEDS, acknowledged, reads);
    assertTrue(acknowledged > 50L * SEEDS, acknowledged + " acknowledged with " + SEEDS + " seeds");
  }

  @Test
  void isReproducibleBySeed() throws Exception {
    assertEquals(
        new RaftGroupSimulation(5, InjectedDefect.NONE).run(),
        new RaftGroupSimulation(5, InjectedDefect.NONE).run());
  }

  @ParameterizedTest
  @EnumSource(
      names = {
        "IGNORED_SYNC",
        "HIDDEN_DISK_FAILURES",
        "REUSED_NAME",
        "EARLY_ACKNOWLEDGEMENT",
        "STALE_READ"
      })
  void findsInjectedDefects(InjectedDefect defect) throws Exception {
    for (int seed = 1; seed <= 200; seed++) {
      try {
        if (!new RaftGroupSimulation(seed, defect).run().violations().isEmpty()) {
          System.out.println(defect + " found at seed " + seed);
          return;
        }
      } catch (AssertionError | IOException e) {
        System.out.println(defect + " found at seed " + seed + ": " + e.getMessage());
        return;
      }
    }
    throw new AssertionError(defect + " is not found with 200 seeds");
  }
}
