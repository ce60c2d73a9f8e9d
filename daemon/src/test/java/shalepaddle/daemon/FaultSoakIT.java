package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Injects random faults into real processes. The build runs three seeds with few processes; for
 * longer runs see CONTRIBUTING: {@code -Dsoak.first=1 -Dsoak.seeds=20 -Dsoak.nodes=20
 * -Dsoak.seconds=40}.
 */
class FaultSoakIT {
  private static final long FIRST_SEED = Long.getLong("soak.first", 105);
  private static final int SEEDS = Integer.getInteger("soak.seeds", 3);
  private static final int NODES = Integer.getInteger("soak.nodes", 10);
  private static final int SECONDS = Integer.getInteger("soak.seconds", 10);

  @TempDir private Path folder;

  @Test
  void nodesReportNoViolationUnderOverlappingFaults() throws Exception {
    List<String> violations = new ArrayList<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Path seedFolder = Files.createDirectory(folder.resolve("seed-" + seed));
      try (FaultSoak soak = new FaultSoak(seed, NODES, seedFolder)) {
        List<String> seedViolations = soak.run(SECONDS);
        System.out.println(soak.summary() + ", violations " + seedViolations.size());
        for (String violation : seedViolations) {
          violations.add("seed " + seed + ": " + violation);
        }
      }
    }
    assertEquals(List.of(), violations);
  }
}
