package shalepaddle.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Two pauses that overlap are one: checks by them would otherwise blame what came in the second.
 */
class ProcessPausesTest {
  private static final long MILLI = 1_000_000;

  @Test
  void overlappingPausesAreOne() {
    ProcessPauses pauses = new ProcessPauses();
    pauses.add(100 * MILLI, 100);
    pauses.add(150 * MILLI, 100);
    pauses.add(160 * MILLI, 10);
    pauses.add(300 * MILLI, 10);
    assertEquals(250 * MILLI, pauses.runs(120 * MILLI));
    assertEquals(250 * MILLI, pauses.runs(199 * MILLI));
    assertEquals(150 * MILLI, pauses.within(0, 290 * MILLI));
    assertEquals(155 * MILLI, pauses.within(0, 305 * MILLI));
    assertEquals(99 * MILLI, pauses.runs(99 * MILLI));
  }
}
