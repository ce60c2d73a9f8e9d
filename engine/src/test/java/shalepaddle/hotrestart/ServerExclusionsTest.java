package shalepaddle.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Two processes have the same exclusions in the end, in whatever order and how often they merge.
 */
class ServerExclusionsTest {
  @Test
  void mergeIsCommutativeAndIdempotent() {
    Random random = new Random(7);
    for (int round = 0; round < 500; round++) {
      List<ServerExclusion> recorded = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        recorded.add(
            new ServerExclusion(random.nextInt(4), random.nextBoolean(), random.nextInt(6)));
      }
      ServerExclusions one = new ServerExclusions();
      recorded.forEach(one::record);
      Collections.shuffle(recorded, random);
      ServerExclusions other = new ServerExclusions();
      other.merge(recorded);
      other.merge(one.all());
      one.merge(other.all());
      assertEquals(new HashSet<>(one.all()), new HashSet<>(other.all()));
      assertTrue(one.merge(other.all()).isEmpty(), "nothing is news twice");
    }
  }

  @Test
  void latestIsInForceAndReportsChanges() {
    ServerExclusions exclusions = new ServerExclusions();
    assertTrue(exclusions.record(new ServerExclusion(1, true, 10)));
    assertEquals(false, exclusions.record(new ServerExclusion(1, true, 20)), "twice out");
    assertEquals(
        false, exclusions.record(new ServerExclusion(1, false, 15)), "older than the last");
    assertTrue(exclusions.record(new ServerExclusion(1, false, 30)), "one call back undoes both");
    assertEquals(false, exclusions.record(new ServerExclusion(2, false, 30)), "it was never out");
  }

  @Test
  void neverRemovesExclusion() {
    ServerExclusions exclusions = new ServerExclusions();
    exclusions.record(new ServerExclusion(-1, true, 1));
    for (int i = 0; i < 10_000; i++) {
      exclusions.record(new ServerExclusion(i, true, 2));
      exclusions.record(new ServerExclusion(i, false, 3));
    }
    assertTrue(exclusions.all().size() <= 4096);
    assertTrue(exclusions.all().contains(new ServerExclusion(-1, true, 1)));
  }
}
