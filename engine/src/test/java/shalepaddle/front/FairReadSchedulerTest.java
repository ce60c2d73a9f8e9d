package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import shalepaddle.overload.DegradationPolicy;
import shalepaddle.overload.PressureLevel;

/** Simulates one connection that sends half of all requests, in virtual time. */
class FairReadSchedulerTest {
  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final int OTHER_CONNECTIONS = 50;

  private DegradationPolicy policy = DegradationPolicy.CALM;
  private final FairReadScheduler scheduler = new FairReadScheduler(() -> policy);
  private final FairReadScheduler.RequestCount heavySenderCount =
      new FairReadScheduler.RequestCount();
  private final FairReadScheduler.RequestCount[] otherCounts =
      new FairReadScheduler.RequestCount[OTHER_CONNECTIONS];
  private long otherConnectionsPauseNanos;
  private int requestsReadFromHeavySender;

  FairReadSchedulerTest() {
    for (int i = 0; i < OTHER_CONNECTIONS; i++) {
      otherCounts[i] = new FairReadScheduler.RequestCount();
    }
  }

  /**
   * Simulates a second in which one connection sends as many requests as fifty other connections
   * together.
   */
  private void simulateSecond(long startNanos) {
    long pausedUntilNanos = 0;
    requestsReadFromHeavySender = 0;
    for (long now = startNanos; now < startNanos + 1000 * NANOS_PER_MILLI; now += NANOS_PER_MILLI) {
      for (int i = 0; i < 5; i++) {
        otherConnectionsPauseNanos +=
            scheduler.pauseNanos(
                otherCounts[(int) (now / NANOS_PER_MILLI * 5 + i) % OTHER_CONNECTIONS], 1, now);
        if (now >= pausedUntilNanos) {
          requestsReadFromHeavySender++;
          pausedUntilNanos = now + scheduler.pauseNanos(heavySenderCount, 1, now);
        }
      }
    }
  }

  @Test
  void pausesNoConnectionWhileProcessorIsNotOverloaded() {
    simulateSecond(0);
    assertEquals(5000, requestsReadFromHeavySender);
    assertEquals(0, otherConnectionsPauseNanos);
  }

  @Test
  void pausesHeavySenderWhileProcessorIsOverloaded() {
    policy = DegradationPolicy.of(PressureLevel.BUSY, PressureLevel.CALM, PressureLevel.CALM);
    simulateSecond(0);
    assertTrue(
        requestsReadFromHeavySender >= 400 && requestsReadFromHeavySender <= 1500,
        "requests read from the heavy sender of 5000 sent: " + requestsReadFromHeavySender);
    assertEquals(
        0,
        otherConnectionsPauseNanos,
        "no other connection is paused: each sends 1% of the requests");
    policy = DegradationPolicy.CALM;
    simulateSecond(1000 * NANOS_PER_MILLI);
    assertEquals(
        5000, requestsReadFromHeavySender, "the heavy sender is not paused after the overload");
  }

  @Test
  void pauseNanosEndsPauseAtEndOfInterval() {
    policy = DegradationPolicy.of(PressureLevel.FULL, PressureLevel.CALM, PressureLevel.CALM);
    long now = 30 * NANOS_PER_MILLI;
    long pauseNanos = 0;
    for (int i = 0; i < 100 && pauseNanos == 0; i++) {
      pauseNanos = scheduler.pauseNanos(heavySenderCount, 1, now);
    }
    assertEquals(70 * NANOS_PER_MILLI, pauseNanos);
    assertEquals(0, scheduler.pauseNanos(heavySenderCount, 1, now + pauseNanos));
  }

  @Test
  void lowersMaxPendingResponsesUnderMemoryPressure() {
    assertEquals(64, scheduler.maxPendingResponses());
    policy = DegradationPolicy.of(PressureLevel.CALM, PressureLevel.BUSY, PressureLevel.CALM);
    assertEquals(16, scheduler.maxPendingResponses());
    policy = DegradationPolicy.of(PressureLevel.CALM, PressureLevel.FULL, PressureLevel.CALM);
    assertEquals(4, scheduler.maxPendingResponses());
  }
}
