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

/** Stalls of the event loop, in virtual time. */
class LoopClockTest {
  private static final long MILLI = 1_000_000;

  /** Records its notifications. */
  static final class Recorder implements LoopClock.Listener {
    final List<Long> stalls = new ArrayList<>();
    final List<RuntimeException> failures = new ArrayList<>();

    @Override
    public void onStall(long nanos) {
      stalls.add(nanos);
    }

    @Override
    public void onTaskFailure(RuntimeException cause) {
      failures.add(cause);
    }
  }

  private final Recorder recorder = new Recorder();
  private final LoopClock clock = new LoopClock(0, recorder);
  private long now;

  /** A turn that sleeps first, and then reads from so many connections for so long. */
  private void turn(long asleep, int handled, long reading) {
    clock.turnBegins(now);
    now += asleep;
    clock.refresh(now);
    now += reading;
    clock.turnEnds(now, handled);
  }

  /** What a turn reads came after the poll before it, or as the loop woke up from a sleep. */
  @Test
  void bytesAreNoOlderThanThePollThatDidNotReportThem() {
    turn(0, 1, 0);
    now = 7 * MILLI;
    turn(0, 1, 20 * MILLI);
    long firstPoll = 7 * MILLI;
    clock.turnBegins(now);
    clock.refresh(now);
    assertEquals(firstPoll, clock.earliestArrival(), "busy: since the poll of the turn before");
    clock.turnEnds(now, 1);
    clock.turnBegins(now);
    clock.pollMayBlock();
    now += 5 * MILLI;
    clock.refresh(now);
    assertEquals(now - MILLI, clock.earliestArrival(), "it slept until they came");
    clock.turnEnds(now, 1);
    long thirdPoll = now;
    clock.turnBegins(now);
    now += 5 * MILLI;
    clock.refresh(now);
    assertEquals(
        thirdPoll, clock.earliestArrival(), "it was held up in a poll that must not sleep");
  }

  /** Accepting many connections takes longer than a short sleep. */
  @Test
  void workBeforeFirstRefreshIsNoSleep() {
    turn(0, 1, 0);
    long before = now;
    now += 20 * MILLI;
    clock.turnBegins(now);
    clock.pollEnds(now);
    now += 5 * MILLI;
    clock.refresh(now);
    assertEquals(before, clock.earliestArrival());
  }

  @Test
  void bytesReadAfterStallMayBeAsOldAsIt() {
    turn(0, 0, 0);
    long before = now;
    clock.turnBegins(now);
    now += 300 * MILLI;
    clock.refresh(now);
    assertEquals(before, clock.earliestArrival());
    clock.turnEnds(now, 1);
    // A second turn reads what the first had no room for: not older than the first one's poll.
    turn(0, 1, 0);
    assertTrue(clock.earliestArrival() <= before + 300 * MILLI);
  }

  /** The end of a connection is read in a turn of its own, after what came before it. */
  @Test
  void taskAfterNextPollRunsAtEndOfNextTurn() {
    List<String> ran = new ArrayList<>();
    clock.turnBegins(now);
    clock.afterNextPoll(() -> ran.add("late request"));
    clock.turnEnds(now, 1);
    assertEquals(List.of(), ran);
    assertFalse(clock.pollsAtOnce());
    clock.turnBegins(now);
    assertTrue(clock.pollsAtOnce());
    assertEquals(List.of(), ran);
    clock.turnEnds(now, 1);
    assertEquals(List.of("late request"), ran);
    turn(0, 0, 0);
    assertEquals(1, ran.size());
  }

  @Test
  void delaysTasksForBoundedTimeUnderLastingOverload() {
    turn(0, 1, 0);
    List<Long> ran = new ArrayList<>();
    long longest = 0;
    for (int i = 0; i < 50; i++) {
      long asked = now;
      int before = ran.size();
      clock.whenBacklogRead(() -> ran.add(now));
      while (ran.size() == before) {
        turn(0, 5, 50 * MILLI);
      }
      longest = Math.max(longest, now - asked);
    }
    // The bound and two turns.
    assertTrue(longest <= LoopClock.MAX_BACKLOG_NANOS + 100 * MILLI, "put off for " + longest);
  }

  @Test
  void longestSleepIsNoStall() {
    for (int i = 0; i < 1000; i++) {
      turn(LoopClock.MAX_SLEEP_NANOS, i % 3, MILLI);
    }
    assertEquals(0, recorder.stalls.size());
    assertEquals(now, clock.activeNanos());
    assertFalse(clock.hasBacklog());
  }

  @ParameterizedTest
  @ValueSource(ints = {50, 300, 1000, 3000})
  void activeTimeDoesNotAdvanceInStall(int millis) {
    turn(MILLI, 1, MILLI);
    long before = clock.activeNanos();
    now += millis * MILLI;
    turn(0, 5, MILLI);
    assertEquals(1, recorder.stalls.size());
    assertEquals(List.of(millis * MILLI - LoopClock.MAX_SLEEP_NANOS), recorder.stalls);
    assertEquals(millis * MILLI - LoopClock.MAX_SLEEP_NANOS, clock.stalledNanos());
    assertTrue(clock.activeNanos() - before <= LoopClock.MAX_SLEEP_NANOS + MILLI);
  }

  @Test
  void runsTasksOnceTurnFindsNothingMoreToRead() {
    List<String> done = new ArrayList<>();
    now += 300 * MILLI;
    clock.turnBegins(now);
    clock.whenBacklogRead(() -> done.add("first"));
    clock.turnEnds(now, 7);
    assertTrue(clock.hasBacklog());
    clock.whenBacklogRead(() -> done.add("second"));
    turn(0, 2, MILLI);
    assertEquals(List.of(), done);
    turn(0, 0, MILLI);
    assertEquals(List.of("first", "second"), done);
    assertFalse(clock.hasBacklog());
    clock.whenBacklogRead(() -> done.add("at once"));
    assertEquals(3, done.size());
  }

  @Test
  void noticesStallWithinTurnBeforeTasksRun() {
    List<String> done = new ArrayList<>();
    // Stopped after it looked for what had come: nothing found then says nothing of the pause.
    clock.turnBegins(now);
    now += 500 * MILLI;
    clock.turnEnds(now, 0);
    clock.whenBacklogRead(() -> done.add("ran"));
    assertTrue(clock.hasBacklog());
    turn(0, 0, MILLI);
    assertEquals(List.of("ran"), done);
  }

  @Test
  void runsTasksThoughStallsNeverEnd() {
    SplittableRandom random = new SplittableRandom(7);
    int[] runs = {0};
    int turns = 2000;
    for (int i = 0; i < turns; i++) {
      clock.whenBacklogRead(() -> runs[0]++);
      // Run for 10 ms, stopped for 90, wherever that falls.
      if (random.nextBoolean()) {
        now += 90 * MILLI;
        turn(0, 1 + random.nextInt(50), 10 * MILLI);
      } else {
        turn(90 * MILLI, 1 + random.nextInt(50), 10 * MILLI);
      }
    }
    assertTrue(runs[0] > turns - 10, runs[0] + " of " + turns);
    assertTrue(clock.stalledNanos() > 0.7 * now, clock.stalledNanos() + " of " + now);
  }

  @Test
  void failingTaskKeepsNoOtherFromRunning() {
    List<String> done = new ArrayList<>();
    now += 300 * MILLI;
    clock.refresh(now);
    clock.whenBacklogRead(
        () -> {
          throw new IllegalStateException("on purpose");
        });
    clock.whenBacklogRead(() -> done.add("next"));
    turn(0, 0, 0);
    assertEquals(List.of("next"), done);
    assertEquals(1, recorder.failures.size());
  }
}
