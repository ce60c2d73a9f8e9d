package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import shalepaddle.overload.DegradationPolicy;
import shalepaddle.overload.PressureLevel;

/** Half of all traffic comes from one connection; time is an argument. */
class ReadFairnessTest {
  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int OTHERS = 50;

  private DegradationPolicy policy = DegradationPolicy.CALM;
  private final FairReadScheduler scheduler = new FairReadScheduler(() -> policy);
  private final FairReadScheduler.RequestCount heavy = new FairReadScheduler.RequestCount();
  private final FairReadScheduler.RequestCount[] others =
      new FairReadScheduler.RequestCount[OTHERS];
  private long othersPaused;
  private int read;

  ReadFairnessTest() {
    for (int i = 0; i < OTHERS; i++) {
      others[i] = new FairReadScheduler.RequestCount();
    }
  }

  /** A second in which one connection would send as much as fifty others together. */
  private void second(long from) {
    long pausedUntil = 0;
    read = 0;
    for (long now = from; now < from + 1000 * MILLI; now += MILLI) {
      for (int i = 0; i < 5; i++) {
        othersPaused += scheduler.pauseNanos(others[(int) (now / MILLI * 5 + i) % OTHERS], 1, now);
        if (now >= pausedUntil) {
          read++;
          pausedUntil = now + scheduler.pauseNanos(heavy, 1, now);
        }
      }
    }
  }

  @Test
  void pausesNobodyWhileProcessorIsNotOverloaded() {
    second(0);
    assertEquals(5000, read);
    assertEquals(0, othersPaused);
  }

  @Test
  void pausesHeavySenderWhileProcessorIsOverloaded() {
    policy = DegradationPolicy.of(PressureLevel.BUSY, PressureLevel.CALM, PressureLevel.CALM);
    second(0);
    assertTrue(read >= 400 && read <= 1500, "read of 5000: " + read);
    assertEquals(0, othersPaused, "the others send a hundredth each");
    policy = DegradationPolicy.CALM;
    second(1000 * MILLI);
    assertEquals(5000, read, "no pause once the overload is over");
  }

  @Test
  void endsPauseWithItsInterval() {
    policy = DegradationPolicy.of(PressureLevel.FULL, PressureLevel.CALM, PressureLevel.CALM);
    long now = 30 * MILLI;
    long pause = 0;
    for (int i = 0; i < 100 && pause == 0; i++) {
      pause = scheduler.pauseNanos(heavy, 1, now);
    }
    assertEquals(70 * MILLI, pause);
    assertEquals(0, scheduler.pauseNanos(heavy, 1, now + pause));
  }

  @Test
  void lowersPendingResponsesWhenMemoryIsShort() {
    assertEquals(64, scheduler.maxPendingResponses());
    policy = DegradationPolicy.of(PressureLevel.CALM, PressureLevel.BUSY, PressureLevel.CALM);
    assertEquals(16, scheduler.maxPendingResponses());
    policy = DegradationPolicy.of(PressureLevel.CALM, PressureLevel.FULL, PressureLevel.CALM);
    assertEquals(4, scheduler.maxPendingResponses());
  }
}
