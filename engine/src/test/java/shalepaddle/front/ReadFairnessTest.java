package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import shalepaddle.overload.DegradationPolicy;
import shalepaddle.overload.PressureLevel;

/** Half of all traffic from one connection, by the time that is handed in. */
class ReadFairnessTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int OTHERS = 50;

  private DegradationPolicy posture = DegradationPolicy.CALM;
  private final FairReadScheduler turns = new FairReadScheduler(() -> posture);
  private final FairReadScheduler.Count heavy = new FairReadScheduler.Count();
  private final FairReadScheduler.Count[] others = new FairReadScheduler.Count[OTHERS];
  private long othersPaused;
  private int read;

  ReadFairnessTest() {
    for (int i = 0; i < OTHERS; i++) {
      others[i] = new FairReadScheduler.Count();
    }
  }

  /** A second in which one connection would send as much as fifty others together. */
  private void second(long from) {
    long pausedUntil = 0;
    read = 0;
    for (long now = from; now < from + 1000 * MILLI; now += MILLI) {
      for (int i = 0; i < 5; i++) {
        othersPaused += turns.pause(others[(int) (now / MILLI * 5 + i) % OTHERS], 1, now);
        if (now >= pausedUntil) {
          read++;
          pausedUntil = now + turns.pause(heavy, 1, now);
        }
      }
    }
  }

  @Test
  void nobodyWaitsWhileTheProcessorSuffices() {
    second(0);
    assertEquals(5000, read);
    assertEquals(0, othersPaused);
  }

  @Test
  void whoSendsTheMostIsReadByTurnsWhileTheProcessorIsShort() {
    posture = DegradationPolicy.of(PressureLevel.BUSY, PressureLevel.CALM, PressureLevel.CALM);
    second(0);
    assertTrue(read >= 400 && read <= 1500, "read of 5000: " + read);
    assertEquals(0, othersPaused, "the others send a hundredth each");
    posture = DegradationPolicy.CALM;
    second(1000 * MILLI);
    assertEquals(5000, read, "and at once again as it would");
  }

  @Test
  void aPauseEndsWithItsInterval() {
    posture = DegradationPolicy.of(PressureLevel.FULL, PressureLevel.CALM, PressureLevel.CALM);
    long now = 30 * MILLI;
    long pause = 0;
    for (int i = 0; i < 100 && pause == 0; i++) {
      pause = turns.pause(heavy, 1, now);
    }
    assertEquals(70 * MILLI, pause);
    assertEquals(0, turns.pause(heavy, 1, now + pause));
  }

  @Test
  void shortMemoryOwesLess() {
    assertEquals(64, turns.owed());
    posture = DegradationPolicy.of(PressureLevel.CALM, PressureLevel.BUSY, PressureLevel.CALM);
    assertEquals(16, turns.owed());
    posture = DegradationPolicy.of(PressureLevel.CALM, PressureLevel.FULL, PressureLevel.CALM);
    assertEquals(4, turns.owed());
  }
}
