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
 * Days of groups in virtual time. {@code -Dgroup.days=10000} plays more, {@code -Dgroup.first=17}
 * begins with another seed.
 */
@Execution(ExecutionMode.CONCURRENT)
class RaftGroupSimulationTest {
  private static final int DAYS = Integer.getInteger("group.days", 150);
  private static final int FIRST = Integer.getInteger("group.first", 1);

  @ParameterizedTest
  @EnumSource(names = {"SOUND", "FAILING_DISKS"})
  void nothingThatWasPromisedIsLost(RaftGroupSimulation.Variant variant) throws Exception {
    long yes = 0;
    long reads = 0;
    for (int seed = FIRST; seed < FIRST + DAYS; seed++) {
      RaftGroupSimulation.Report report = new RaftGroupSimulation(seed, variant).play();
      assertEquals(List.of(), report.broken(), "seed " + seed);
      yes += report.yes();
      reads += report.reads();
    }
    System.out.printf("%s, %d days: %d promises, %d reads%n", variant, DAYS, yes, reads);
    assertTrue(yes > 50L * DAYS, yes + " promises in " + DAYS + " days");
  }

  @Test
  void theSameSeedGivesTheSameDay() throws Exception {
    assertEquals(
        new RaftGroupSimulation(5, RaftGroupSimulation.Variant.SOUND).play(),
        new RaftGroupSimulation(5, RaftGroupSimulation.Variant.SOUND).play());
  }

  @ParameterizedTest
  @EnumSource(names = {"NO_FORCE", "UNTOLD_FAILURES", "OLD_NAME", "EARLY_YES", "STALE_READ"})
  void whatIsBrokenOnPurposeIsFoundOut(RaftGroupSimulation.Variant variant) throws Exception {
    for (int seed = 1; seed <= 200; seed++) {
      try {
        if (!new RaftGroupSimulation(seed, variant).play().broken().isEmpty()) {
          System.out.println(variant + " found at seed " + seed);
          return;
        }
      } catch (AssertionError | IOException e) {
        System.out.println(variant + " found at seed " + seed + ": " + e.getMessage());
        return;
      }
    }
    throw new AssertionError(variant + " is not found in 200 days");
  }
}
