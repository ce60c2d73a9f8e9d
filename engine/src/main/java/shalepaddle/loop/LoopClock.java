package shalepaddle.loop;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects stalls of the event loop, and delays decisions that must not be made before the backlog
 * of a stall is read.
 *
 * <p>A process that is stopped or not scheduled reads nothing, while the kernel continues to
 * receive bytes for it. A time-out measured by the wall clock would then attribute the loop's stall
 * to the peer. The loop therefore runs a turn at least every {@link #MAX_SLEEP_NANOS}, and a gap of
 * more than {@link #STALL_THRESHOLD_NANOS} between two reads of the clock is a stall, with two
 * consequences. First, {@link #activeNanos} does not advance during a stall; the silence of peers
 * is measured by it. Second, the loop {@linkplain #hasBacklog has a backlog} until it has read the
 * bytes that arrived meanwhile; time-outs of peers and of requests are delayed until then, see
 * {@link #runWhenBacklogRead}. Clients' deadlines are not measured in active time.
 *
 * <p>Prevents connections with requests from being closed, and servers from being ejected, because
 * of a stall of this process. Cost: if every turn is as long as a stall, silence is detected some
 * turns later.
 *
 * <p>Owned by the event loop's thread. All times are nanoseconds of the loop's {@link Ticker}.
 */
public final class LoopClock {
  /** Maximum time that the loop sleeps while there are no events. */
  static final long MAX_SLEEP_NANOS = 10_000_000L;

  /** A longer gap between two reads of the clock is a stall, also if a long turn causes it. */
  public static final long STALL_THRESHOLD_NANOS = 30_000_000L;

  /**
   * Maximum number of turns for the backlog of a stall: one turn accepts waiting connections, the
   * next reads the bytes sent on them. Bounds the delay if stalls follow one another, or if more
   * bytes arrive than can be read.
   */
  private static final int MAX_BACKLOG_TURNS = 8;

  /**
   * The backlog ends with the first turn that ends later than this after the stall. Under overload,
   * {@link #MAX_BACKLOG_TURNS} turns would take longer.
   */
  static final long MAX_BACKLOG_NANOS = 60_000_000L;

  /** A listener for stalls and turns, which is called on the event loop's thread. */
  public interface Listener {
    /** Called at the end of a stall of the loop, with its length. */
    void onStall(long stallNanos);

    /** Called when a task that was delayed by this clock has thrown an exception. */
    void onTaskFailure(RuntimeException cause);

    /**
     * Called at the end of a turn.
     *
     * @param startedAtNanos when the turn began to handle events; {@code now} if there were none
     * @param now when the loop polls again
     */
    default void onTurnEnd(long startedAtNanos, long now) {}
  }

  private final Ticker ticker;
  private final Listener listener;
  private final PollTimes pollTimes;
  private final StallHistory stallHistory = new StallHistory();
  private final List<Runnable> tasksWhenBacklogRead = new ArrayList<>();
  private final List<Runnable> tasksAfterNextPoll = new ArrayList<>();
  private final List<Runnable> tasksAfterThisPoll = new ArrayList<>();
  private long refreshedAtNanos;
  private long stalledNanos;
  private long turn;
  private long turnBeganNanos;
  private long handledTurn;
  private long handledPollNanos;

  /** Number of turns in which the backlog may still be read, 0 if there is no backlog. */
  private int backlogTurnsLeft;

  private long backlogSinceNanos;
  private boolean hasStalledInTurn;

  /** When the first event of this turn was handled; valid only if {@link #isBusy}. */
  private long busySinceNanos;

  private boolean isBusy;

  /** Creates the clock of a loop that starts now. */
  public LoopClock(Ticker ticker, Listener listener) {
    this(ticker, ticker.nanoTime(), listener);
  }

  LoopClock(long now, Listener listener) {
    this(Ticker.systemTicker(), now, listener);
  }

  private LoopClock(Ticker ticker, long now, Listener listener) {
    this.ticker = ticker;
    this.refreshedAtNanos = now;
    this.turnBeganNanos = now;
    this.handledPollNanos = now;
    this.pollTimes = new PollTimes(now);
    this.listener = listener;
  }

  /** The present time, without a check for a stall. */
  public long now() {
    return ticker.nanoTime();
  }

  /** Reads the clock and detects a stall that has just ended. */
  public long refresh() {
    return refresh(ticker.nanoTime());
  }

  /** Same as {@link #refresh()}, with a time that was already read; returns that time. */
  public long refresh(long now) {
    long gapNanos = now - refreshedAtNanos;
    refreshedAtNanos = now;
    pollTimes.eventHandled(now);
    if (!isBusy) {
      isBusy = true;
      busySinceNanos = now;
    }
    if (gapNanos > STALL_THRESHOLD_NANOS) {
      recordStall(gapNanos - MAX_SLEEP_NANOS, now);
    }
    return now;
  }

  private void recordStall(long stallNanos, long now) {
    stalledNanos += stallNanos;
    hasStalledInTurn = true;
    if (backlogTurnsLeft == 0) {
      backlogTurnsLeft = MAX_BACKLOG_TURNS;
      backlogSinceNanos = now;
    }
    stallHistory.add(stallNanos, now);
    listener.onStall(stallNanos);
  }

  /**
   * The earliest time at which bytes that are read in this turn can have arrived, on a connection
   * that was included in all recent polls and was empty when it was last read.
   */
  public long earliestArrivalNanos() {
    return pollTimes.earliestArrivalNanos();
  }

  /** When the poll of the previous turn returned. */
  public long previousPollAtNanos() {
    return pollTimes.previousPollAtNanos();
  }

  /** The length of the stall to expect, by recent stalls; 0 for none. */
  public long expectedStallNanos() {
    return stallHistory.expectedStallNanos(refreshedAtNanos);
  }

  /** Forgets all stalls: stalls at the start of a process do not predict later stalls. */
  public void forgetStalls() {
    stallHistory.clear();
  }

  /** The number of the present turn. */
  public long turn() {
    return turn;
  }

  /** The number of the latest turn all of whose events were handled. */
  public long handledTurn() {
    return handledTurn;
  }

  /** When the poll of {@link #handledTurn} began: all that arrived before it was handled. */
  public long handledPollNanos() {
    return handledPollNanos;
  }

  /** Time in nanoseconds during which the loop was able to read, from an arbitrary origin. */
  public long activeNanos() {
    return refreshedAtNanos - stalledNanos;
  }

  /** The total length of all stalls, in nanoseconds. */
  public long stalledNanos() {
    return stalledNanos;
  }

  /** Whether bytes that arrived during a stall may still be unread. */
  public boolean hasBacklog() {
    return backlogTurnsLeft > 0;
  }

  /** Runs a task once the backlog of a stall is read, or immediately if there is no backlog. */
  public void runWhenBacklogRead(Runnable task) {
    if (hasBacklog()) {
      tasksWhenBacklogRead.add(task);
    } else {
      task.run();
    }
  }

  /** Runs a task at the end of the next turn, after all sockets have been polled again. */
  public void runAfterNextPoll(Runnable task) {
    tasksAfterNextPoll.add(task);
  }

  /** Whether the next poll must not sleep. */
  boolean mustNotSleep() {
    return hasBacklog() || !tasksAfterThisPoll.isEmpty();
  }

  /** Called at the start of a turn, before its poll. */
  void turnBegins(long now) {
    refresh(now);
    tasksAfterThisPoll.addAll(tasksAfterNextPoll);
    tasksAfterNextPoll.clear();
    pollTimes.pollBegins(now);
    listener.onTurnEnd(busySinceNanos, now);
    // Events that were handled before this call belong to the previous turn.
    isBusy = false;
    turn++;
    turnBeganNanos = now;
    hasStalledInTurn = false;
  }

  /** Called if the poll of this turn may sleep until an event occurs. */
  void pollMayBlock() {
    pollTimes.pollMayBlock();
  }

  /**
   * Called when the poll has returned, before its events are handled. The first refresh of the
   * clock by an event would be too late: the time to accept connections before that refresh would
   * count as sleep.
   */
  void pollEnds(long now) {
    refresh(now);
  }

  /**
   * Called after the events of this turn were handled. Runs the delayed tasks that are due.
   *
   * @param handledChannels the number of channels that had events
   */
  void turnEnds(long now, int handledChannels) {
    refresh(now);
    handledTurn = turn;
    handledPollNanos = turnBeganNanos;
    if (hasBacklog()) {
      boolean hasWaitedLongEnough = now - backlogSinceNanos > MAX_BACKLOG_NANOS;
      boolean isAllRead = handledChannels == 0 && !hasStalledInTurn;
      backlogTurnsLeft = isAllRead || hasWaitedLongEnough ? 0 : backlogTurnsLeft - 1;
      if (!hasBacklog()) {
        runAll(tasksWhenBacklogRead);
      }
    }
    runAll(tasksAfterThisPoll);
  }

  private void runAll(List<Runnable> tasks) {
    if (!tasks.isEmpty()) {
      List<Runnable> dueTasks = List.copyOf(tasks);
      tasks.clear();
      dueTasks.forEach(this::run);
    }
  }

  /** Reports an exception of a task; if it were rethrown, it would appear as an I/O failure. */
  private void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      listener.onTaskFailure(e);
    }
  }
}
