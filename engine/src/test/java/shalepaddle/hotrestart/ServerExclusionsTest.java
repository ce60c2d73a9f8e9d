package shalepaddle.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The exclusions of two processes converge, regardless of the order and the number of merges. */
class ServerExclusionsTest {
  @Test
  void mergeIsCommutativeAndIdempotent() {
    Random random = new Random(7);
    for (int round = 0; round < 500; round++) {
      List<ServerExclusion> recordedExclusions = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        recordedExclusions.add(
            new ServerExclusion(random.nextInt(4), random.nextBoolean(), random.nextInt(6)));
      }
      ServerExclusions firstExclusions = new ServerExclusions();
      recordedExclusions.forEach(firstExclusions::record);
      Collections.shuffle(recordedExclusions, random);
      ServerExclusions secondExclusions = new ServerExclusions();
      secondExclusions.merge(recordedExclusions);
      secondExclusions.merge(firstExclusions.latestRecords());
      firstExclusions.merge(secondExclusions.latestRecords());
      assertEquals(
          new HashSet<>(firstExclusions.latestRecords()),
          new HashSet<>(secondExclusions.latestRecords()));
      assertTrue(
          firstExclusions.merge(secondExclusions.latestRecords()).isEmpty(),
          "a repeated merge must report no changes");
    }
  }

  @Test
  void recordReturnsWhetherStateOfServerChanges() {
    ServerExclusions exclusions = new ServerExclusions();
    assertTrue(exclusions.record(new ServerExclusion(1, true, 10)));
    assertEquals(
        false, exclusions.record(new ServerExclusion(1, true, 20)), "server 1 is excluded already");
    assertEquals(
        false,
        exclusions.record(new ServerExclusion(1, false, 15)),
        "the inclusion is older than the latest exclusion");
    assertTrue(
        exclusions.record(new ServerExclusion(1, false, 30)),
        "one inclusion must revert both exclusions");
    assertEquals(
        false, exclusions.record(new ServerExclusion(2, false, 30)), "server 2 was never excluded");
  }

  @Test
  void keepsExclusionWhenLimitIsExceeded() {
    ServerExclusions exclusions = new ServerExclusions();
    exclusions.record(new ServerExclusion(-1, true, 1));
    for (int i = 0; i < 10_000; i++) {
      exclusions.record(new ServerExclusion(i, true, 2));
      exclusions.record(new ServerExclusion(i, false, 3));
    }
    assertTrue(exclusions.latestRecords().size() <= 4096);
    assertTrue(exclusions.latestRecords().contains(new ServerExclusion(-1, true, 1)));
  }
}
