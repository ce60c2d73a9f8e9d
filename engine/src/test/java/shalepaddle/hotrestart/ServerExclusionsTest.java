package shalepaddle.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Two processes come to hold the same words, in whatever order and how often they hear them. */
class ServerExclusionsTest {
  @Test
  void mergingInAnyOrderAndTwiceComesToTheSame() {
    Random random = new Random(7);
    for (int round = 0; round < 500; round++) {
      List<ServerExclusion> said = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        said.add(new ServerExclusion(random.nextInt(4), random.nextBoolean(), random.nextInt(6)));
      }
      ServerExclusions one = new ServerExclusions();
      said.forEach(one::record);
      Collections.shuffle(said, random);
      ServerExclusions other = new ServerExclusions();
      other.merge(said);
      other.merge(one.all());
      one.merge(other.all());
      assertEquals(new HashSet<>(one.all()), new HashSet<>(other.all()));
      assertTrue(one.merge(other.all()).isEmpty(), "nothing is news twice");
    }
  }

  @Test
  void theNewestWordHoldsAndTellsWhetherItChangesAnything() {
    ServerExclusions words = new ServerExclusions();
    assertTrue(words.record(new ServerExclusion(1, true, 10)));
    assertEquals(false, words.record(new ServerExclusion(1, true, 20)), "twice out");
    assertEquals(false, words.record(new ServerExclusion(1, false, 15)), "older than the last");
    assertTrue(words.record(new ServerExclusion(1, false, 30)), "one call back undoes both");
    assertEquals(false, words.record(new ServerExclusion(2, false, 30)), "it was never out");
  }

  @Test
  void aServerThatIsOutIsNeverForgotten() {
    ServerExclusions words = new ServerExclusions();
    words.record(new ServerExclusion(-1, true, 1));
    for (int i = 0; i < 10_000; i++) {
      words.record(new ServerExclusion(i, true, 2));
      words.record(new ServerExclusion(i, false, 3));
    }
    assertTrue(words.all().size() <= 4096);
    assertTrue(words.all().contains(new ServerExclusion(-1, true, 1)));
  }
}
