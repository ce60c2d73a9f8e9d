package shalepaddle.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class SharedResponseCheckTest {
  private static final long MILLI = 1_000_000;
  private static final SharedResponseCheck.Paused NEVER = (begin, end) -> 0;

  private final SharedResponseCheck answers = new SharedResponseCheck();

  private void read(String id, String target, String key, long millis) {
    answers.read(id, target, key, "read", millis * MILLI);
  }

  @Test
  void aLikeReadsValueIsRight() {
    read("a", "n0", "k", 0);
    read("b", "n0", "k", 10);
    assertNull(answers.wrong("b", "k|a....", NEVER));
    assertNull(answers.wrong("b", "k|b", NEVER));
    assertNull(answers.wrong("a", "k|b", NEVER), "made in the name of one that came later");
  }

  @Test
  void anotherKeysOrTargetsOrClassesValueIsWrong() {
    read("a", "n0", "other", 0);
    read("b", "n1", "k", 0);
    answers.read("c", "n0", "k", "scan", 0);
    read("r", "n0", "k", 10);
    assertEquals("served with another key's value", answers.wrong("r", "other|a", NEVER));
    for (String maker : new String[] {"a", "b", "c", "unknown"}) {
      assertEquals(
          "served with the value of " + maker + ", which is no like read",
          answers.wrong("r", "k|" + maker, NEVER));
    }
    assertEquals("served with another key's value", answers.wrong("r", "noise", NEVER));
  }

  @Test
  void whatWasAskedForBeforeAWriteIsWrongAfterIt() {
    read("a", "n0", "k", 0);
    answers.wrote("w0", "n0", "k", 5 * MILLI);
    answers.wrote("w1", "n0", "other", 15 * MILLI);
    answers.wrote("w2", "n0", "k", 15 * MILLI);
    answers.wrote("w2", "n1", "k", 15 * MILLI);
    read("b", "n0", "k", 10);
    read("c", "n0", "k", 20);
    assertEquals(
        "served with the value of a, asked for before a write that came first",
        answers.wrong("b", "k|a", NEVER));
    assertNull(answers.wrong("c", "k|b", NEVER));
    assertNull(answers.wrong("b", "k|a", (begin, end) -> 1), "their order is not known");
  }
}
