package shalepaddle.simulation;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ManualIoEventLoop;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs event loops in one thread and in virtual time, in steps of a millisecond without waiting.
 *
 * <p>Within a step the loops run in turns until none has work left; then virtual time advances. So
 * everything happens in the same order in every run, and a virtual minute takes only the real time
 * that its tasks need. A suspended loop does not run while the others do, like a process without
 * CPU time.
 */
final class VirtualTime {
  /** More turns in one step indicate that two loops keep triggering each other endlessly. */
  private static final int MAX_TURNS_PER_STEP = 100_000;

  private static final long STEP_NANOS = 1_000_000;

  /** An event loop and the virtual time until which it is suspended. */
  private static final class ManagedLoop {
    private final ManualIoEventLoop loop;
    private long suspendedUntilNanos;

    ManagedLoop(ManualIoEventLoop loop) {
      this.loop = loop;
    }
  }

  private final MockTicker ticker = Ticker.newMockTicker();
  private final List<ManagedLoop> loops = new ArrayList<>();

  Ticker ticker() {
    return ticker;
  }

  /** Virtual time since the start, in milliseconds. */
  long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(ticker.nanoTime() - ticker.initialNanoTime());
  }

  /** Creates an event loop that runs in the thread of this simulation. */
  ManualIoEventLoop newLoop(IoHandlerFactory transport) {
    ManualIoEventLoop loop = new ManualIoEventLoop(null, Thread.currentThread(), transport, ticker);
    loops.add(new ManagedLoop(loop));
    return loop;
  }

  /** Suspends the loop for this duration; overlapping suspensions end at the latest end. */
  void suspend(ManualIoEventLoop loop, long durationMillis) {
    for (ManagedLoop managedLoop : loops) {
      if (managedLoop.loop == loop) {
        long suspendUntilNanos = ticker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
        managedLoop.suspendedUntilNanos =
            managedLoop.suspendedUntilNanos - suspendUntilNanos > 0
                ? managedLoop.suspendedUntilNanos
                : suspendUntilNanos;
      }
    }
  }

  /** Advances virtual time by this duration, and runs the loops at each step. */
  void advance(long durationMillis) {
    for (long i = 0; i < durationMillis; i++) {
      runUntilIdle();
      ticker.advance(STEP_NANOS, TimeUnit.NANOSECONDS);
    }
    runUntilIdle();
  }

  /** Runs all loops until none has work left at the present time. */
  private void runUntilIdle() {
    long nowNanos = ticker.nanoTime();
    int turnCount = 0;
    boolean mayHaveWork = true;
    while (mayHaveWork) {
      mayHaveWork = false;
      // Iterates by index because a task may add a loop.
      for (int i = 0; i < loops.size(); i++) {
        ManagedLoop managedLoop = loops.get(i);
        if (managedLoop.suspendedUntilNanos - nowNanos <= 0 && managedLoop.loop.runNow() > 0) {
          mayHaveWork = true;
        }
      }
      if (++turnCount > MAX_TURNS_PER_STEP) {
        throw new IllegalStateException(
            "event loops still have work after "
                + MAX_TURNS_PER_STEP
                + " turns at "
                + elapsedMillis()
                + " ms");
      }
    }
  }

  /** Shuts down all loops, including suspended ones. */
  void close() {
    for (ManagedLoop managedLoop : loops) {
      managedLoop.suspendedUntilNanos = ticker.nanoTime();
      managedLoop.loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
    for (int i = 0; i < 10; i++) {
      loops.forEach(managedLoop -> managedLoop.loop.runNow());
      ticker.advance(STEP_NANOS, TimeUnit.NANOSECONDS);
    }
  }
}
