package shalepaddle.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Two processes come to hold the same words, in whatever order and how often they hear them. */
class WordsTest {
  @Test
  void mergingInAnyOrderAndTwiceComesToTheSame() {
    Random random = new Random(7);
    for (int round = 0; round < 500; round++) {
      List<Word> said = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        said.add(new Word(random.nextInt(4), random.nextBoolean(), random.nextInt(6)));
      }
      Words one = new Words();
      said.forEach(one::say);
      Collections.shuffle(said, random);
      Words other = new Words();
      other.merge(said);
      other.merge(one.all());
      one.merge(other.all());
      assertEquals(new HashSet<>(one.all()), new HashSet<>(other.all()));
      assertTrue(one.merge(other.all()).isEmpty(), "nothing is news twice");
    }
  }

  @Test
  void theNewestWordHoldsAndTellsWhetherItChangesAnything() {
    Words words = new Words();
    assertTrue(words.say(new Word(1, true, 10)));
    assertEquals(false, words.say(new Word(1, true, 20)), "twice out");
    assertEquals(false, words.say(new Word(1, false, 15)), "older than the last");
    assertTrue(words.say(new Word(1, false, 30)), "one call back undoes both");
    assertEquals(false, words.say(new Word(2, false, 30)), "it was never out");
  }

  @Test
  void aServerThatIsOutIsNeverForgotten() {
    Words words = new Words();
    words.say(new Word(-1, true, 1));
    for (int i = 0; i < 10_000; i++) {
      words.say(new Word(i, true, 2));
      words.say(new Word(i, false, 3));
    }
    assertTrue(words.all().size() <= 4096);
    assertTrue(words.all().contains(new Word(-1, true, 1)));
  }
}
