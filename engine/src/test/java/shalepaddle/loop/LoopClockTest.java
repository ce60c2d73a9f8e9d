package shalepaddle.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Detection of event loop stalls, in virtual time. */
class LoopClockTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Records the notifications of a clock. */
  static final class Recorder implements LoopClock.Listener {
    final List<Long> stallNanos = new ArrayList<>();
    final List<RuntimeException> failures = new ArrayList<>();

    @Override
    public void onStall(long lengthNanos) {
      stallNanos.add(lengthNanos);
    }

    @Override
    public void onTaskFailure(RuntimeException cause) {
      failures.add(cause);
    }
  }

  private final Recorder recorder = new Recorder();
  private final LoopClock clock = new LoopClock(0, recorder);
  private long now;

  /** Runs a turn that sleeps first and then handles events of some connections. */
  private void runTurn(long sleepNanos, int handledConnections, long handlingNanos) {
    clock.turnBegins(now);
    now += sleepNanos;
    clock.refresh(now);
    now += handlingNanos;
    clock.turnEnds(now, handledConnections);
  }

  /**
   * The bytes that a turn reads can have arrived at any time since the previous poll; if the loop
   * slept until they woke it up, only in the last millisecond.
   */
  @Test
  void earliestArrivalIsPreviousPollOrWakeUpFromSleep() {
    runTurn(0, 1, 0);
    now = 7 * NANOS_PER_MILLI;
    runTurn(0, 1, 20 * NANOS_PER_MILLI);
    long firstPollNanos = 7 * NANOS_PER_MILLI;
    clock.turnBegins(now);
    clock.refresh(now);
    assertEquals(
        firstPollNanos,
        clock.earliestArrivalNanos(),
        "the loop was busy since the poll of the previous turn");
    clock.turnEnds(now, 1);
    clock.turnBegins(now);
    clock.pollMayBlock();
    now += 5 * NANOS_PER_MILLI;
    clock.refresh(now);
    assertEquals(
        now - NANOS_PER_MILLI,
        clock.earliestArrivalNanos(),
        "the loop slept until the bytes arrived");
    clock.turnEnds(now, 1);
    long thirdPollNanos = now;
    clock.turnBegins(now);
    now += 5 * NANOS_PER_MILLI;
    clock.refresh(now);
    assertEquals(
        thirdPollNanos,
        clock.earliestArrivalNanos(),
        "the process was stopped in a poll that cannot sleep");
  }

  /**
   * Between the poll and the turn's first call of {@code refresh}, the loop may have accepted many
   * connections.
   */
  @Test
  void earliestArrivalIsPreviousPollWhenFirstRefreshIsLongAfterPoll() {
    runTurn(0, 1, 0);
    long previousPollNanos = now;
    now += 20 * NANOS_PER_MILLI;
    clock.turnBegins(now);
    clock.pollEnds(now);
    now += 5 * NANOS_PER_MILLI;
    clock.refresh(now);
    assertEquals(previousPollNanos, clock.earliestArrivalNanos());
  }

  @Test
  void earliestArrivalAfterStallIsBeforeStall() {
    runTurn(0, 0, 0);
    long stallStartNanos = now;
    clock.turnBegins(now);
    now += 300 * NANOS_PER_MILLI;
    clock.refresh(now);
    assertEquals(stallStartNanos, clock.earliestArrivalNanos());
    clock.turnEnds(now, 1);
    // A second turn reads the remaining bytes, which can be as old as the first turn's poll.
    runTurn(0, 1, 0);
    assertTrue(clock.earliestArrivalNanos() <= stallStartNanos + 300 * NANOS_PER_MILLI);
  }

  /** A disconnect is read in a separate turn, after the bytes that arrived before it. */
  @Test
  void afterNextPollRunsTaskAtEndOfNextTurn() {
    List<String> ranTasks = new ArrayList<>();
    clock.turnBegins(now);
    clock.runAfterNextPoll(() -> ranTasks.add("late request"));
    clock.turnEnds(now, 1);
    assertEquals(List.of(), ranTasks);
    assertFalse(clock.mustNotSleep());
    clock.turnBegins(now);
    assertTrue(clock.mustNotSleep());
    assertEquals(List.of(), ranTasks);
    clock.turnEnds(now, 1);
    assertEquals(List.of("late request"), ranTasks);
    runTurn(0, 0, 0);
    assertEquals(1, ranTasks.size());
  }

  @Test
  void delaysTasksForBoundedTimeUnderLastingOverload() {
    runTurn(0, 1, 0);
    List<Long> ranAtNanos = new ArrayList<>();
    long longestDelayNanos = 0;
    for (int i = 0; i < 50; i++) {
      long delayedSinceNanos = now;
      int ranBefore = ranAtNanos.size();
      clock.runWhenBacklogRead(() -> ranAtNanos.add(now));
      while (ranAtNanos.size() == ranBefore) {
        runTurn(0, 5, 50 * NANOS_PER_MILLI);
      }
      longestDelayNanos = Math.max(longestDelayNanos, now - delayedSinceNanos);
    }
    // The delay is at most MAX_BACKLOG_NANOS, after which a backlog ends, plus two 50 ms turns.
    assertTrue(
        longestDelayNanos <= LoopClock.MAX_BACKLOG_NANOS + 100 * NANOS_PER_MILLI,
        "a task was delayed by " + longestDelayNanos + " ns");
  }

  @Test
  void refreshReportsNoStallAfterLongestSleep() {
    for (int i = 0; i < 1000; i++) {
      runTurn(LoopClock.MAX_SLEEP_NANOS, i % 3, NANOS_PER_MILLI);
    }
    assertEquals(0, recorder.stallNanos.size());
    assertEquals(now, clock.activeNanos());
    assertFalse(clock.hasBacklog());
  }

  @ParameterizedTest
  @ValueSource(ints = {50, 300, 1000, 3000})
  void activeNanosDoesNotAdvanceDuringStall(int stallMillis) {
    runTurn(NANOS_PER_MILLI, 1, NANOS_PER_MILLI);
    long activeBeforeNanos = clock.activeNanos();
    now += stallMillis * NANOS_PER_MILLI;
    runTurn(0, 5, NANOS_PER_MILLI);
    assertEquals(1, recorder.stallNanos.size());
    assertEquals(
        List.of(stallMillis * NANOS_PER_MILLI - LoopClock.MAX_SLEEP_NANOS), recorder.stallNanos);
    assertEquals(stallMillis * NANOS_PER_MILLI - LoopClock.MAX_SLEEP_NANOS, clock.stalledNanos());
    assertTrue(
        clock.activeNanos() - activeBeforeNanos <= LoopClock.MAX_SLEEP_NANOS + NANOS_PER_MILLI);
  }

  @Test
  void runsTasksOnceTurnFindsNothingMoreToRead() {
    List<String> ranTasks = new ArrayList<>();
    now += 300 * NANOS_PER_MILLI;
    clock.turnBegins(now);
    clock.runWhenBacklogRead(() -> ranTasks.add("first"));
    clock.turnEnds(now, 7);
    assertTrue(clock.hasBacklog());
    clock.runWhenBacklogRead(() -> ranTasks.add("second"));
    runTurn(0, 2, NANOS_PER_MILLI);
    assertEquals(List.of(), ranTasks);
    runTurn(0, 0, NANOS_PER_MILLI);
    assertEquals(List.of("first", "second"), ranTasks);
    assertFalse(clock.hasBacklog());
    clock.runWhenBacklogRead(() -> ranTasks.add("third"));
    assertEquals(3, ranTasks.size());
  }

  @Test
  void detectsStallWithinTurnBeforeRunningTasks() {
    List<String> ranTasks = new ArrayList<>();
    // The process is stopped after the poll, so that the poll does not show the stall.
    clock.turnBegins(now);
    now += 500 * NANOS_PER_MILLI;
    clock.turnEnds(now, 0);
    clock.runWhenBacklogRead(() -> ranTasks.add("ran"));
    assertTrue(clock.hasBacklog());
    runTurn(0, 0, NANOS_PER_MILLI);
    assertEquals(List.of("ran"), ranTasks);
  }

  @Test
  void runsTasksDespiteContinuousStalls() {
    SplittableRandom random = new SplittableRandom(7);
    int[] runCount = {0};
    int turns = 2000;
    for (int i = 0; i < turns; i++) {
      clock.runWhenBacklogRead(() -> runCount[0]++);
      // The process runs for 10 ms and is stopped for 90 ms, between turns or in a poll.
      if (random.nextBoolean()) {
        now += 90 * NANOS_PER_MILLI;
        runTurn(0, 1 + random.nextInt(50), 10 * NANOS_PER_MILLI);
      } else {
        runTurn(90 * NANOS_PER_MILLI, 1 + random.nextInt(50), 10 * NANOS_PER_MILLI);
      }
    }
    assertTrue(runCount[0] > turns - 10, runCount[0] + " of " + turns + " tasks ran");
    assertTrue(
        clock.stalledNanos() > 0.7 * now, clock.stalledNanos() + " of " + now + " ns stalled");
  }

  @Test
  void runsRemainingTasksAfterTaskFails() {
    List<String> ranTasks = new ArrayList<>();
    now += 300 * NANOS_PER_MILLI;
    clock.refresh(now);
    clock.runWhenBacklogRead(
        () -> {
          throw new IllegalStateException("expected by the test");
        });
    clock.runWhenBacklogRead(() -> ranTasks.add("next"));
    runTurn(0, 0, 0);
    assertEquals(List.of("next"), ranTasks);
    assertEquals(1, recorder.failures.size());
  }
}
