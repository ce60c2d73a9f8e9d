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
 * Timers that come due in ticks, the grain in which the module takes events. Guards against an
 * event loop that never sleeps: with some timers for each request one is always about to come due,
 * and the loop would poll its sockets over and over until it does.
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

  public Timers(EventLoop loop, LoopClock clock, Log log, long tickNanos) {
    this.loop = loop;
    this.clock = clock;
    this.log = log;
    this.tickNanos = tickNanos;
    this.start = clock.now();
  }

  /** Something to be done at a time, unless it is called off before. */
  public static final class Timer {
    private Runnable task;

    private Timer(Runnable task) {
      this.task = task;
    }

    public void cancel() {
      task = null;
    }
  }

  /** Runs the task in the last tick that is not after the delay; at once if that has passed. */
  public Timer runNoLaterThan(long delayNanos, Runnable task) {
    return at(Math.floorDiv(clock.now() - start + delayNanos, tickNanos), task);
  }

  /** Runs the task in the first tick that is not before the delay. */
  public Timer runNoEarlierThan(long delayNanos, Runnable task) {
    return at(-Math.floorDiv(-(clock.now() - start + delayNanos), tickNanos), task);
  }

  /**
   * Runs the task once the event loop has been there to listen for so long: for what says of a peer
   * that it has been silent.
   */
  public Timer afterActiveTime(long nanos, Runnable task) {
    Timer timer = new Timer(task);
    listen(clock.activeNanos() + nanos, timer);
    return timer;
  }

  /**
   * Gives a connection up that has not come up while the event loop listened for so long; its
   * future then fails with a {@link java.nio.channels.ClosedChannelException}. Not by the
   * bootstrap's own time-out: after a pause that may come before what has come up is looked at, and
   * a peer that runs would be taken for one that has vanished.
   */
  public void limitConnect(ChannelFuture connecting, long nanos) {
    Timer patience = afterActiveTime(nanos, () -> ConnectCompletion.close(connecting.channel()));
    ConnectCompletion.whenDone(connecting, loop, done -> patience.cancel());
  }

  private void listen(long until, Timer timer) {
    runNoEarlierThan(
        until - clock.activeNanos(),
        () -> {
          if (timer.task == null) {
            return;
          }
          if (clock.activeNanos() - until < 0) {
            listen(until, timer);
          } else {
            timer.task.run();
          }
        });
  }

  /** How many are due that have not been called off. */
  public int size() {
    int size = 0;
    for (List<Timer> tick : due.values()) {
      for (Timer timer : tick) {
        size += timer.task == null ? 0 : 1;
      }
    }
    return size;
  }

  /** Calls all off. What is set after this comes due as ever. */
  public void close() {
    due.clear();
    armedFor = Long.MAX_VALUE;
    if (armed != null) {
      armed.cancel(false);
    }
  }

  private Timer at(long tick, Runnable task) {
    Timer timer = new Timer(task);
    due.computeIfAbsent(tick, t -> new ArrayList<>()).add(timer);
    arm(tick);
    return timer;
  }

  private void arm(long tick) {
    if (tick < armedFor) {
      armedFor = tick;
      long delay = start + tick * tickNanos - clock.now();
      // Guards against alarms that add up: each would set a further one for as long as any timer is
      // due, which under load is always.
      if (armed != null) {
        armed.cancel(false);
      }
      armed = loop.schedule(this::alarm, Math.max(0, delay), TimeUnit.NANOSECONDS);
    }
  }

  /**
   * Something is due. Guards against deciding that time is up, after a pause, on what came in time
   * and has not been read: that is read first.
   */
  private void alarm() {
    clock.refresh();
    clock.whenBacklogRead(this::run);
  }

  private void run() {
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
