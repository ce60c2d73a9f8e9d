package shalepaddle.loop;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;

/**
 * What the event loop knows of its own absence: how long it did not run, and whether it has read
 * since what came meanwhile. Time is an argument, in nanoseconds of the loop's {@link Ticker}.
 *
 * <p>The idea: a process that is stopped, or gets no processor, hears nothing while the clocks of
 * the world run on and the kernel goes on receiving for it. Whoever measures a peer's silence by
 * the wall then blames the peer for the loop's own pause. So the loop is made to turn at least once
 * a {@link #MAX_SLEEP_NANOS beat}, a longer gap between two looks at the clock is a pause, and two
 * things follow. First, {@link #activeNanos} stands still in a pause: silence is measured by it.
 * Second, after a pause the loop is {@link #hasBacklog} until it has read all that waited; what
 * judges peers, or answers requests whose time is over, waits for that by {@link #whenBacklogRead}.
 *
 * <p>Deadlines towards clients are not measured by it: their time runs on in a pause.
 *
 * <p>Guards against a node that closes connections with requests on them, and takes servers for
 * dead, because its own core was given to others. Could do harm where turns are long for good, each
 * taken for a pause: judging is put off by some turns then, and silence is found out later.
 */
public final class LoopClock {
  /** How long the loop sleeps at most while nothing happens. */
  static final long MAX_SLEEP_NANOS = 10_000_000L;

  /** A gap between two looks at the clock is a pause from then on; a long turn is like one. */
  public static final long STALL_THRESHOLD_NANOS = 30_000_000L;

  /**
   * Turns after a pause in which all that waited should be read: one brings connections that wait
   * to be accepted, the next what was sent on them. Bounds how long judging is put off where pauses
   * follow one another, or more comes than can be read.
   */
  private static final int MAX_TURNS = 8;

  /**
   * How long after a pause judging is put off at most: under lasting overload turns are long, and
   * answers that are due must not wait for several of them.
   */
  static final long MAX_BACKLOG_NANOS = 60_000_000L;

  /**
   * A poll that took longer than this had slept: nothing was ready as it began. What it reports
   * then has come as it woke up.
   */
  private static final long SLEPT_NANOS = 500_000L;

  /** How long a wake-up takes, with room. */
  private static final long WAKE_UP_NANOS = 1_000_000L;

  /** Is told of each pause, as soon as the loop notices. */
  public interface Listener {
    /** The loop has not run for so long, until now. */
    void onStall(long nanos);

    /** A task that had waited for the loop to catch up has failed. */
    void onTaskFailure(RuntimeException cause);

    /**
     * A turn ends: it began to handle what had come at one time, and goes back to listening at the
     * other. The two are the same where nothing had come.
     */
    default void onTurnEnd(long begunAt, long now) {}
  }

  private final List<Runnable> waiting = new ArrayList<>();

  /** What waits for a poll that begins after the present turn, and what waits for the present. */
  private final List<Runnable> afterNextPoll = new ArrayList<>();

  private final List<Runnable> afterThisPoll = new ArrayList<>();
  private final Listener listener;
  private final Ticker ticker;
  private long seenAt;
  private long stood;
  private int turnsLeft;
  private boolean pausedInTurn;
  private long turn;

  /** Since when judging is put off, where it is. */
  private long behindSince;

  /** When the present turn began to poll, and when it had seen what was ready. */
  private long pollBeganAt;

  private long polledAt;
  private boolean polled;

  /** Whether the present poll may sleep; else it takes long only if the loop is held up in it. */
  private boolean pollMayBlock;

  /** When the turn before had seen what was ready. */
  private long previousPollAt;

  private final StallHistory stalls = new StallHistory();

  /** When the first thing that came in this turn was looked at. */
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
    this.seenAt = now;
    this.pollBeganAt = now;
    this.polledAt = now;
    this.previousPollAt = now;
    this.listener = listener;
  }

  /** The time, with no look for a pause. */
  public long now() {
    return ticker.nanoTime();
  }

  /** Looks at the clock: notices a pause that has just ended. Returns the time given. */
  public long refresh(long now) {
    long gap = now - seenAt;
    seenAt = now;
    if (!polled) {
      polled = true;
      // After a stall the poll may have looked long before.
      polledAt = now - pollBeganAt > STALL_THRESHOLD_NANOS ? pollBeganAt : now;
    }
    if (!busy) {
      busy = true;
      busySince = now;
    }
    if (gap > STALL_THRESHOLD_NANOS) {
      stood += gap - MAX_SLEEP_NANOS;
      pausedInTurn = true;
      if (turnsLeft == 0) {
        turnsLeft = MAX_TURNS;
        behindSince = now;
      }
      stalls.add(gap - MAX_SLEEP_NANOS, now);
      listener.onStall(gap - MAX_SLEEP_NANOS);
    }
    return now;
  }

  /** Looks at the clock now. */
  public long refresh() {
    return refresh(ticker.nanoTime());
  }

  /**
   * The earliest time at which bytes that are read in this turn can have arrived, on a connection
   * that has been polled all along and was empty when it was read last.
   */
  public long earliestArrival() {
    long slept = polledAt - pollBeganAt;
    boolean wokenUp = pollMayBlock && polled && slept >= SLEPT_NANOS;
    return wokenUp ? Math.max(previousPollAt, polledAt - WAKE_UP_NANOS) : previousPollAt;
  }

  /** When the turn before the present one had seen what was ready. */
  public long previousPollAt() {
    return previousPollAt;
  }

  /**
   * For how long this loop has to be expected to stall at any moment, from what it did lately; 0
   * where it does not stall.
   */
  public long expectedStallNanos() {
    return stalls.expected(seenAt);
  }

  /** What is known of stalls is forgotten: those of a start say nothing of what follows. */
  public void forgetStalls() {
    stalls.clear();
  }

  /** The number of the present turn: what is done in one turn keeps all else waiting. */
  public long turn() {
    return turn;
  }

  /** Nanoseconds in which the loop was there to listen, from an arbitrary start. */
  public long activeNanos() {
    return seenAt - stood;
  }

  /** Nanoseconds in all in which it was not. */
  public long stalledNanos() {
    return stood;
  }

  /** Whether there was a pause after which not all that waited has been read. */
  public boolean hasBacklog() {
    return turnsLeft > 0;
  }

  /** Runs the task once all that waited has been read: at once where nothing did. */
  public void whenBacklogRead(Runnable task) {
    if (hasBacklog()) {
      waiting.add(task);
    } else {
      task.run();
    }
  }

  /**
   * Runs the task once all sockets have been looked at again, in the next turn: what is known to
   * have come late may not be all that has come.
   */
  public void afterNextPoll(Runnable task) {
    afterNextPoll.add(task);
  }

  /** Whether the next poll must not sleep. */
  boolean pollsAtOnce() {
    return hasBacklog() || !afterThisPoll.isEmpty();
  }

  /** The loop begins to look for what has come. */
  void turnBegins(long now) {
    refresh(now);
    afterThisPoll.addAll(afterNextPoll);
    afterNextPoll.clear();
    previousPollAt = polledAt;
    pollBeganAt = now;
    polledAt = now;
    polled = false;
    pollMayBlock = false;
    listener.onTurnEnd(busySince, now);
    // What was looked at up to here belongs to the turn that ends.
    busy = false;
    turn++;
    pausedInTurn = false;
  }

  /** The poll that begins now may sleep until something comes. */
  void pollMayBlock() {
    pollMayBlock = true;
  }

  /**
   * The poll is over, and what it has found is handled next. Not to be told from the first look of
   * a handler: what is done before that, such as accepting connections, was taken for a sleep.
   */
  void pollEnds(long now) {
    refresh(now);
  }

  /** The loop has read what had come on so many connections. */
  void turnEnds(long now, int handled) {
    refresh(now);
    if (turnsLeft > 0) {
      boolean waitedLongEnough = now - behindSince > MAX_BACKLOG_NANOS;
      boolean allRead = handled == 0 && !pausedInTurn;
      turnsLeft = allRead || waitedLongEnough ? 0 : turnsLeft - 1;
      if (turnsLeft == 0) {
        runAll(waiting);
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

  /** Guards against a task that fails: the loop's own I/O would be taken for broken. */
  private void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      listener.onTaskFailure(e);
    }
  }
}
