package shalepaddle.simulation;

import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ManualIoEventLoop;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Event loops that run in one thread, in turns and in steps of a millisecond that nobody waits for.
 *
 * <p>Within a step the loops run one after the other until none has anything to do; then the time
 * goes on. So everything happens in the same order in every run, and a minute takes what its work
 * takes. A loop that is held does not run while the others do, like a process that gets no
 * processor.
 */
final class VirtualTime {
  /** Turns within a step; more mean that two loops answer each other for ever. */
  private static final int MAX_TURNS = 100_000;

  private static final long STEP_NANOS = 1_000_000;

  /** One loop, and until when it is held. */
  private static final class Held {
    private final ManualIoEventLoop loop;
    private long until;

    Held(ManualIoEventLoop loop) {
      this.loop = loop;
    }
  }

  private final MockTicker ticker = Ticker.newMockTicker();
  private final List<Held> loops = new ArrayList<>();

  Ticker ticker() {
    return ticker;
  }

  /** Milliseconds since the beginning. */
  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(ticker.nanoTime() - ticker.initialNanoTime());
  }

  /** One more loop of this thread. */
  ManualIoEventLoop loop(IoHandlerFactory transport) {
    ManualIoEventLoop loop = new ManualIoEventLoop(null, Thread.currentThread(), transport, ticker);
    loops.add(new Held(loop));
    return loop;
  }

  /** Does not run the loop for so long. */
  void hold(ManualIoEventLoop loop, long millis) {
    for (Held held : loops) {
      if (held.loop == loop) {
        long until = ticker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        held.until = held.until - until > 0 ? held.until : until;
      }
    }
  }

  /** Lets so much time pass. */
  void pass(long millis) {
    for (long i = 0; i < millis; i++) {
      settle();
      ticker.advance(STEP_NANOS, TimeUnit.NANOSECONDS);
    }
    settle();
  }

  /** Runs all loops until none has anything to do at this moment. */
  private void settle() {
    long now = ticker.nanoTime();
    int turns = 0;
    boolean busy = true;
    while (busy) {
      busy = false;
      // By number: what runs may add a loop.
      for (int i = 0; i < loops.size(); i++) {
        Held held = loops.get(i);
        if (held.until - now <= 0 && held.loop.runNow() > 0) {
          busy = true;
        }
      }
      if (++turns > MAX_TURNS) {
        throw new IllegalStateException("no rest at " + millis() + " ms");
      }
    }
  }

  /** Ends all loops. */
  void close() {
    for (Held held : loops) {
      held.until = ticker.nanoTime();
      held.loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
    for (int i = 0; i < 10; i++) {
      loops.forEach(held -> held.loop.runNow());
      ticker.advance(STEP_NANOS, TimeUnit.NANOSECONDS);
    }
  }
}
