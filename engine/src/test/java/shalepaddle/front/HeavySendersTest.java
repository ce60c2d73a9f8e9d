package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import shalepaddle.overload.Level;
import shalepaddle.overload.Posture;

/** Half of all traffic from one connection, by the time that is handed in. */
class HeavySendersTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int OTHERS = 50;

  private Posture posture = Posture.CALM;
  private final Turns turns = new Turns(() -> posture);
  private final Turns.Count heavy = new Turns.Count();
  private final Turns.Count[] others = new Turns.Count[OTHERS];
  private long othersPaused;
  private int read;

  HeavySendersTest() {
    for (int i = 0; i < OTHERS; i++) {
      others[i] = new Turns.Count();
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
    posture = Posture.of(Level.BUSY, Level.CALM, Level.CALM);
    second(0);
    assertTrue(read >= 400 && read <= 1500, "read of 5000: " + read);
    assertEquals(0, othersPaused, "the others send a hundredth each");
    posture = Posture.CALM;
    second(1000 * MILLI);
    assertEquals(5000, read, "and at once again as it would");
  }

  @Test
  void aPauseEndsWithItsInterval() {
    posture = Posture.of(Level.FULL, Level.CALM, Level.CALM);
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
    posture = Posture.of(Level.CALM, Level.BUSY, Level.CALM);
    assertEquals(16, turns.owed());
    posture = Posture.of(Level.CALM, Level.FULL, Level.CALM);
    assertEquals(4, turns.owed());
  }
}
