package shalepaddle.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StallHistoryTest {
  private static final long MILLI = 1_000_000;
  private static final long SECOND = 1000 * MILLI;

  private final StallHistory history = new StallHistory();

  @Test
  void expectsNothingAfterSingleStall() {
    history.add(400 * MILLI, SECOND);
    assertEquals(0, history.expected(2 * SECOND));
  }

  @Test
  void expectsSecondLongestStall() {
    history.add(400 * MILLI, SECOND);
    history.add(50 * MILLI, 2 * SECOND);
    history.add(120 * MILLI, 3 * SECOND);
    assertEquals(120 * MILLI, history.expected(4 * SECOND));
  }

  @Test
  void retainsStallsAcrossWindowsAndForgetsThem() {
    history.add(400 * MILLI, 14 * SECOND);
    history.add(70 * MILLI, 16 * SECOND);
    assertEquals(70 * MILLI, history.expected(29 * SECOND));
    assertEquals(0, history.expected(31 * SECOND));
    history.add(90 * MILLI, 100 * SECOND);
    history.add(90 * MILLI, 101 * SECOND);
    history.clear();
    assertEquals(0, history.expected(101 * SECOND));
  }
}
