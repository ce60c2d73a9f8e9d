package shalepaddle.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class StallHistoryTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

  private final StallHistory history = new StallHistory();

  @Test
  void expectsNoStallAfterSingleStall() {
    history.add(400 * NANOS_PER_MILLI, NANOS_PER_SECOND);
    assertEquals(0, history.expectedStallNanos(2 * NANOS_PER_SECOND));
  }

  @Test
  void expectsSecondLongestStall() {
    history.add(400 * NANOS_PER_MILLI, NANOS_PER_SECOND);
    history.add(50 * NANOS_PER_MILLI, 2 * NANOS_PER_SECOND);
    history.add(120 * NANOS_PER_MILLI, 3 * NANOS_PER_SECOND);
    assertEquals(120 * NANOS_PER_MILLI, history.expectedStallNanos(4 * NANOS_PER_SECOND));
  }

  @Test
  void forgetsStallsAfterTwoWindowsAndWhenCleared() {
    history.add(400 * NANOS_PER_MILLI, 14 * NANOS_PER_SECOND);
    history.add(70 * NANOS_PER_MILLI, 16 * NANOS_PER_SECOND);
    assertEquals(70 * NANOS_PER_MILLI, history.expectedStallNanos(29 * NANOS_PER_SECOND));
    assertEquals(0, history.expectedStallNanos(31 * NANOS_PER_SECOND));
    history.add(90 * NANOS_PER_MILLI, 100 * NANOS_PER_SECOND);
    history.add(90 * NANOS_PER_MILLI, 101 * NANOS_PER_SECOND);
    history.clear();
    assertEquals(0, history.expectedStallNanos(101 * NANOS_PER_SECOND));
  }
}
