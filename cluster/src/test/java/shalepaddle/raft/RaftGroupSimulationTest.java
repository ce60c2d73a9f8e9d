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
 * Runs groups under random faults in virtual time, one for each seed. The system property {@code
 * group.days} sets the number of seeds and {@code group.first} the first seed, for example {@code
 * -Dgroup.days=10000 -Dgroup.first=17}.
 */
@Execution(ExecutionMode.CONCURRENT)
class RaftGroupSimulationTest {
  private static final int SEED_COUNT = Integer.getInteger("group.days", 150);
  private static final int FIRST_SEED = Integer.getInteger("group.first", 1);

  @ParameterizedTest
  @EnumSource(names = {"NONE", "FAILING_DISKS"})
  void keepsAcknowledgedEntriesUnderRandomFaults(InjectedDefect defect) throws Exception {
    long acknowledgedCount = 0;
    long readCount = 0;
    for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
      RaftGroupSimulation.Report report = new RaftGroupSimulation(seed, defect).run();
      assertEquals(List.of(), report.violations(), "seed " + seed);
      acknowledgedCount += report.acknowledgedCount();
      readCount += report.readCount();
    }
    System.out.printf(
        "%s, %d seeds: %d acknowledged proposals, %d reads%n",
        defect, SEED_COUNT, acknowledgedCount, readCount);
    assertTrue(
        acknowledgedCount > 50L * SEED_COUNT,
        acknowledgedCount + " proposals were acknowledged with " + SEED_COUNT + " seeds");
  }

  @Test
  void runGivesSameReportForSameSeed() throws Exception {
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
  void detectsInjectedDefect(InjectedDefect defect) throws Exception {
    for (int seed = 1; seed <= 200; seed++) {
      try {
        if (!new RaftGroupSimulation(seed, defect).run().violations().isEmpty()) {
          System.out.println(defect + " detected at seed " + seed);
          return;
        }
      } catch (AssertionError | IOException e) {
        System.out.println(defect + " detected at seed " + seed + ": " + e.getMessage());
        return;
      }
    }
    throw new AssertionError(defect + " was not detected with 200 seeds");
  }
}
