package shalepaddle.loop;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;

/**
 * Detects stalls of the event loop, and postpones decisions that must not be made before the
 * backlog of a stall is read.
 *
 * <p>A process that is stopped, or gets no processor, reads nothing, while the kernel goes on
 * receiving for it. A time-out measured by the wall clock would then blame the peer for the loop's
 * own stall. So the loop runs a turn at least every {@link #MAX_SLEEP_NANOS}, and a longer gap
 * between two reads of the clock is a stall, with two consequences. {@link #activeNanos} does not
 * advance in a stall: silence is measured by it. And the loop {@linkplain #hasBacklog has a
 * backlog} until it has read what arrived meanwhile: time-outs of peers and of requests wait for
 * that, see {@link #whenBacklogRead}. Clients' deadlines are not measured in active time.
 *
 * <p>Prevents that connections with requests are closed, and servers ejected, for a stall of this
 * process. Cost: where every turn is as long as a stall, silence is found out some turns later.
 *
 * <p>Owned by the event loop's thread. All times are nanoseconds of the loop's {@link Ticker}.
 */
public final class LoopClock {
  /** How long the loop sleeps at most while nothing happens. */
  static final long MAX_SLEEP_NANOS = 10_000_000L;

  /** A longer gap between two reads of the clock is a stall; a long turn counts like one. */
  public static final long STALL_THRESHOLD_NANOS = 30_000_000L;

  /**
   * The most turns that the backlog of a stall takes: one turn accepts waiting connections, the
   * next reads what was sent on them. Bounds the delay where stalls follow one another, or more
   * arrives than can be read.
   */
  private static final int MAX_BACKLOG_TURNS = 8;

  /**
   * A backlog ends with the first turn that ends later than this after the stall: under overload
   * {@link #MAX_BACKLOG_TURNS} turns would take longer.
   */
  static final long MAX_BACKLOG_NANOS = 60_000_000L;

  /** Is notified of stalls and turns, on the event loop's thread. */
  public interface Listener {
    /** The loop has stalled for this many nanoseconds, until now. */
    void onStall(long nanos);

    /** A task that had waited for the backlog to be read has failed. */
    void onTaskFailure(RuntimeException cause);

    /**
     * A turn ends: it began to handle events at one time, and polls again at the other. The two are
     * equal where there were no events.
     */
    default void onTurnEnd(long begunAt, long now) {}
  }

  private final Ticker ticker;
  private final Listener listener;
  private final PollTimes polls;
  private final StallHistory stalls = new StallHistory();
  private final List<Runnable> whenBacklogRead = new ArrayList<>();
  private final List<Runnable> afterNextPoll = new ArrayList<>();
  private final List<Runnable> afterThisPoll = new ArrayList<>();
  private long refreshedAt;
  private long stalledNanos;
  private long turn;

  /** Turns in which the backlog may still be read, 0 where there is none. */
  private int backlogTurnsLeft;

  private long backlogSince;
  private boolean stalledInTurn;

  /** When the first event of this turn was handled, where one was. */
  private long busySince;

  private boolean busy;

  /** The clock of a loop that begins now. */
  public LoopClock(Ticker ticker, Listener listener) {
    this(ticker, ticker.nanoTime(), listener);
  }

  LoopClock(long now, Listener listener) {
    this(Ticker.systemTicker(), now, listener);
  }

  private LoopClock(Ticker ticker, long now, Listener listener) {
    this.ticker = ticker;
    this.refreshedAt = now;
    this.polls = new PollTimes(now);
    this.listener = listener;
  }

  /** The time, without a check for a stall. */
  public long now() {
    return ticker.nanoTime();
  }

  /** Reads the clock, and notices a stall that has just ended. */
  public long refresh() {
    return refresh(ticker.nanoTime());
  }

  /** The same at a time that was read before; returns that time. */
  public long refresh(long now) {
    long gap = now - refreshedAt;
    refreshedAt = now;
    polls.eventHandled(now);
    if (!busy) {
      busy = true;
      busySince = now;
    }
    if (gap > STALL_THRESHOLD_NANOS) {
      stalled(gap - MAX_SLEEP_NANOS, now);
    }
    return now;
  }

  private void stalled(long nanos, long now) {
    stalledNanos += nanos;
    stalledInTurn = true;
    if (backlogTurnsLeft == 0) {
      backlogTurnsLeft = MAX_BACKLOG_TURNS;
      backlogSince = now;
    }
    stalls.add(nanos, now);
    listener.onStall(nanos);
  }

  /**
   * The earliest time at which bytes that are read in this turn can have arrived, on a connection
   * that has been polled all along and was empty when it was read last.
   */
  public long earliestArrival() {
    return polls.earliestArrival();
  }

  /** When the poll of the turn before the present one had returned. */
  public long previousPollAt() {
    return polls.previousPollAt();
  }

  /** The length of a stall that is to be expected, from recent ones; 0 where there are none. */
  public long expectedStallNanos() {
    return stalls.expected(refreshedAt);
  }

  /** Forgets past stalls: those of a start say nothing of what follows. */
  public void forgetStalls() {
    stalls.clear();
  }

  /** The number of the present turn. */
  public long turn() {
    return turn;
  }

  /** Nanoseconds in which the loop was able to read, from an arbitrary start. */
  public long activeNanos() {
    return refreshedAt - stalledNanos;
  }

  /** Nanoseconds in all in which the loop was stalled. */
  public long stalledNanos() {
    return stalledNanos;
  }

  /** Whether there was a stall after which not all that waited has been read. */
  public boolean hasBacklog() {
    return backlogTurnsLeft > 0;
  }

  /** Runs a task once the backlog of a stall is read; at once where there is none. */
  public void whenBacklogRead(Runnable task) {
    if (hasBacklog()) {
      whenBacklogRead.add(task);
    } else {
      task.run();
    }
  }

  /** Runs a task at the end of the next turn, after all sockets have been polled again. */
  public void afterNextPoll(Runnable task) {
    afterNextPoll.add(task);
  }

  /** Whether the next poll must not sleep. */
  boolean pollsAtOnce() {
    return hasBacklog() || !afterThisPoll.isEmpty();
  }

  /** A turn begins with its poll. */
  void turnBegins(long now) {
    refresh(now);
    afterThisPoll.addAll(afterNextPoll);
    afterNextPoll.clear();
    polls.pollBegins(now);
    listener.onTurnEnd(busySince, now);
    // What was handled up to here belongs to the turn that ends.
    busy = false;
    turn++;
    stalledInTurn = false;
  }

  /** The poll of this turn may sleep until an event comes. */
  void pollMayBlock() {
    polls.pollMayBlock();
  }

  /**
   * The poll has returned, and its events are handled next. Not to be inferred from the first event
   * that refreshes the clock: accepting connections before it would count as sleep.
   */
  void pollEnds(long now) {
    refresh(now);
  }

  /**
   * The events of this turn are handled. Runs the tasks that waited for that.
   *
   * @param handled channels that had events, 0 if nothing was ready
   */
  void turnEnds(long now, int handled) {
    refresh(now);
    if (hasBacklog()) {
      boolean waitedLongEnough = now - backlogSince > MAX_BACKLOG_NANOS;
      boolean allRead = handled == 0 && !stalledInTurn;
      backlogTurnsLeft = allRead || waitedLongEnough ? 0 : backlogTurnsLeft - 1;
      if (!hasBacklog()) {
        runAll(whenBacklogRead);
      }
    }
    runAll(afterThisPoll);
  }

  private void runAll(List<Runnable> tasks) {
    if (!tasks.isEmpty()) {
      List<Runnable> due = List.copyOf(tasks);
      tasks.clear();
      due.forEach(this::run);
    }
  }

  /** Reports the failure of a task: thrown on, it would be taken for one of the loop's I/O. */
  private void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      listener.onTaskFailure(e);
    }
  }
}
