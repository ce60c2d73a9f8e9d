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
 * Timers that run at ticks of a fixed length. With several timers for each request, there is always
 * one that is about to run; without ticks the event loop would wake up for each and never sleep.
 * Cost: a timer runs up to one tick early or late, depending on the method that set it.
 *
 * <p>Owned by the event loop's thread. An exception of a task is logged.
 */
public final class Timers {
  private final EventLoop loop;
  private final LoopClock clock;
  private final Log log;
  private final long tickNanos;
  private final long startNanos;
  private final TreeMap<Long, List<Timer>> timersByTick = new TreeMap<>();
  private long scheduledTick = Long.MAX_VALUE;
  private Future<?> wakeUp;

  /**
   * Creates an instance without timers.
   *
   * @param tickNanos the resolution, above 0
   */
  public Timers(EventLoop loop, LoopClock clock, Log log, long tickNanos) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.tickNanos = tickNanos;
    this.startNanos = clock.now();
  }

  /** A task that runs once, unless it is cancelled before it runs. */
  public static final class Timer {
    private Runnable task;

    private Timer(Runnable task) {
      this.task = task;
    }

    /** Cancels the task. Idempotent; no effect once the task has run. */
    public void cancel() {
      task = null;
    }
  }

  /** Runs a task at the last tick before the end of the delay, or soon if that tick has passed. */
  public Timer runNoLaterThan(long delayNanos, Runnable task) {
    return schedule(Math.floorDiv(clock.now() - startNanos + delayNanos, tickNanos), task);
  }

  /** Runs a task at the first tick after the delay, once the backlog of a stall is read. */
  public Timer runNoEarlierThan(long delayNanos, Runnable task) {
    return schedule(-Math.floorDiv(-(clock.now() - startNanos + delayNanos), tickNanos), task);
  }

  /**
   * Runs a task once the event loop has been {@linkplain LoopClock#activeNanos active} for the
   * given time. Used for time-outs of silent peers.
   */
  public Timer runAfterActiveTime(long delayNanos, Runnable task) {
    Timer timer = new Timer(task);
    runAfterActive(clock.activeNanos() + delayNanos, timer);
    return timer;
  }

  /**
   * Closes a connection that is not established after the given active time; the future of the
   * connection then fails with a {@link java.nio.channels.ClosedChannelException}. The time-out of
   * Netty's bootstrap is not used: after a stall it may run before an established connection is
   * noticed, so that a peer that is up would be considered down.
   */
  public void limitConnectTime(ChannelFuture connectFuture, long timeoutNanos) {
    Timer timeoutTimer =
        runAfterActiveTime(timeoutNanos, () -> ConnectCompletion.close(connectFuture.channel()));
    ConnectCompletion.runWhenDone(connectFuture, loop, done -> timeoutTimer.cancel());
  }

  private void runAfterActive(long untilActiveNanos, Timer timer) {
    runNoEarlierThan(
        untilActiveNanos - clock.activeNanos(),
        () -> {
          if (timer.task == null) {
            return;
          }
          if (clock.activeNanos() - untilActiveNanos < 0) {
            runAfterActive(untilActiveNanos, timer);
          } else {
            timer.task.run();
          }
        });
  }

  /** The number of timers that are set and not cancelled. */
  public int size() {
    int size = 0;
    for (List<Timer> timersOfTick : timersByTick.values()) {
      for (Timer timer : timersOfTick) {
        size += timer.task == null ? 0 : 1;
      }
    }
    return size;
  }

  /** Cancels all timers. Timers that are set later run as usual. */
  public void close() {
    timersByTick.clear();
    scheduledTick = Long.MAX_VALUE;
    if (wakeUp != null) {
      wakeUp.cancel(false);
    }
  }

  private Timer schedule(long tick, Runnable task) {
    Timer timer = new Timer(task);
    timersByTick.computeIfAbsent(tick, t -> new ArrayList<>()).add(timer);
    scheduleWakeUp(tick);
    return timer;
  }

  private void scheduleWakeUp(long tick) {
    if (tick < scheduledTick) {
      scheduledTick = tick;
      long delayNanos = startNanos + tick * tickNanos - clock.now();
      // The earlier wake-up is cancelled, as wake-ups would accumulate: each wake-up schedules
      // another one while there are timers, and under load there always are.
      if (wakeUp != null) {
        wakeUp.cancel(false);
      }
      wakeUp = loop.schedule(this::onWakeUp, Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
    }
  }

  /** Runs due timers. After a stall, bytes that arrived in time are read first. */
  private void onWakeUp() {
    clock.refresh();
    clock.runWhenBacklogRead(this::runDue);
  }

  private void runDue() {
    long currentTick = (clock.now() - startNanos) / tickNanos;
    scheduledTick = Long.MAX_VALUE;
    while (!timersByTick.isEmpty() && timersByTick.firstKey() <= currentTick) {
      for (Timer timer : timersByTick.pollFirstEntry().getValue()) {
        if (timer.task != null) {
          try {
            timer.task.run();
          } catch (RuntimeException e) {
            log.writeFailure("timer", e);
          }
        }
      }
    }
    if (!timersByTick.isEmpty()) {
      scheduleWakeUp(timersByTick.firstKey());
    }
  }
}
