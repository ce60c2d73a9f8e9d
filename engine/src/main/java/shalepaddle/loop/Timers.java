package shalepaddle.loop;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import shalepaddle.sockets.ConnectCompletion;

/**
 * Timers that run in ticks. Prevents an event loop that never sleeps: with several timers for each
 * request one is always about to run, and the loop would poll its sockets until it does. Cost: a
 * timer runs up to one tick early or late, by its method.
 *
 * <p>Owned by the event loop's thread. An exception of a task is logged.
 */
public final class Timers {
  private final EventLoop loop;
  private final LoopClock clock;
  private final Log log;
  private final long tickNanos;
  private final long start;
  private final TreeMap<Long, List<Timer>> due = new TreeMap<>();
  private long armedFor = Long.MAX_VALUE;
  private Future<?> armed;

  /**
   * No timers.
   *
   * @param tickNanos the resolution, above 0
   */
  public Timers(EventLoop loop, LoopClock clock, Log log, long tickNanos) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.tickNanos = tickNanos;
    this.start = clock.now();
  }

  /** A task that runs once, unless it is cancelled before. */
  public static final class Timer {
    private Runnable task;

    private Timer(Runnable task) {
      this.task = task;
    }

    /** The task does not run any more. Idempotent; no effect once it has run. */
    public void cancel() {
      task = null;
    }
  }

  /** Runs a task in the last tick that is not after the delay; soon if that has passed. */
  public Timer runNoLaterThan(long delayNanos, Runnable task) {
    return schedule(Math.floorDiv(clock.now() - start + delayNanos, tickNanos), task);
  }

  /** Runs a task in the first tick that is not before the delay; after the backlog of a stall. */
  public Timer runNoEarlierThan(long delayNanos, Runnable task) {
    return schedule(-Math.floorDiv(-(clock.now() - start + delayNanos), tickNanos), task);
  }

  /**
   * Runs a task once the event loop was {@linkplain LoopClock#activeNanos active} for the given
   * time: for time-outs of a silent peer.
   */
  public Timer afterActiveTime(long nanos, Runnable task) {
    Timer timer = new Timer(task);
    runAfterActive(clock.activeNanos() + nanos, timer);
    return timer;
  }

  /**
   * Closes a connection that is not established after the given active time; its future then fails
   * with a {@link java.nio.channels.ClosedChannelException}. The bootstrap's own time-out is not
   * used: after a stall it may run before an established connection is noticed, and a peer that is
   * up would be taken for one that is down.
   */
  public void limitConnect(ChannelFuture connecting, long nanos) {
    Timer timeout = afterActiveTime(nanos, () -> ConnectCompletion.close(connecting.channel()));
    ConnectCompletion.whenDone(connecting, loop, done -> timeout.cancel());
  }

  private void runAfterActive(long until, Timer timer) {
    runNoEarlierThan(
        until - clock.activeNanos(),
        () -> {
          if (timer.task == null) {
            return;
          }
          if (clock.activeNanos() - until < 0) {
            runAfterActive(until, timer);
          } else {
            timer.task.run();
          }
        });
  }

  /** Timers that are set and not cancelled. */
  public int size() {
    int size = 0;
    for (List<Timer> tick : due.values()) {
      for (Timer timer : tick) {
        size += timer.task == null ? 0 : 1;
      }
    }
    return size;
  }

  /** Cancels all timers. Those that are set later run as usual. */
  public void close() {
    due.clear();
    armedFor = Long.MAX_VALUE;
    if (armed != null) {
      armed.cancel(false);
    }
  }

  private Timer schedule(long tick, Runnable task) {
    Timer timer = new Timer(task);
    due.computeIfAbsent(tick, t -> new ArrayList<>()).add(timer);
    arm(tick);
    return timer;
  }

  private void arm(long tick) {
    if (tick < armedFor) {
      armedFor = tick;
      long delay = start + tick * tickNanos - clock.now();
      // Or alarms would accumulate: each sets a further one while there are timers, as there are at
      // all times under load.
      if (armed != null) {
        armed.cancel(false);
      }
      armed = loop.schedule(this::alarm, Math.max(0, delay), TimeUnit.NANOSECONDS);
    }
  }

  /** A timer is due. After a stall, what came in time and is not read yet is read first. */
  private void alarm() {
    clock.refresh();
    clock.whenBacklogRead(this::runDue);
  }

  private void runDue() {
    long now = (clock.now() - start) / tickNanos;
    armedFor = Long.MAX_VALUE;
    while (!due.isEmpty() && due.firstKey() <= now) {
      for (Timer timer : due.pollFirstEntry().getValue()) {
        if (timer.task != null) {
          try {
            timer.task.run();
          } catch (RuntimeException e) {
            log.failure("timer", e);
          }
        }
      }
    }
    if (!due.isEmpty()) {
      arm(due.firstKey());
    }
  }
}
