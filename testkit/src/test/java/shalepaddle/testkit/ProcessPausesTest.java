package shalepaddle.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Overlapping pauses must count as a single pause. Otherwise checks blame a load balancer for
 * delays that the second pause causes.
 */
class ProcessPausesTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  @Test
  void addMergesOverlappingPauses() {
    ProcessPauses pauses = new ProcessPauses();
    pauses.add(100 * NANOS_PER_MILLI, 100);
    pauses.add(150 * NANOS_PER_MILLI, 100);
    pauses.add(160 * NANOS_PER_MILLI, 10);
    pauses.add(300 * NANOS_PER_MILLI, 10);
    assertEquals(250 * NANOS_PER_MILLI, pauses.resumeNanos(120 * NANOS_PER_MILLI));
    assertEquals(250 * NANOS_PER_MILLI, pauses.resumeNanos(199 * NANOS_PER_MILLI));
    assertEquals(150 * NANOS_PER_MILLI, pauses.pausedNanos(0, 290 * NANOS_PER_MILLI));
    assertEquals(155 * NANOS_PER_MILLI, pauses.pausedNanos(0, 305 * NANOS_PER_MILLI));
    assertEquals(99 * NANOS_PER_MILLI, pauses.resumeNanos(99 * NANOS_PER_MILLI));
  }
}
