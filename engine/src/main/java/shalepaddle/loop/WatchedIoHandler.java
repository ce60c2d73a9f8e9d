package shalepaddle.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Wraps a transport's I/O handler, and notifies a {@link LoopClock} of each turn and its poll. It
 * bounds the loop's sleep to {@link LoopClock#MAX_SLEEP_NANOS}, and prevents it while there is a
 * backlog or a task that waits for the poll. Owned by the event loop's thread.
 */
public final class WatchedIoHandler implements IoHandler {
  private final IoHandler handler;
  private final LoopClock clock;

  private WatchedIoHandler(IoHandler handler, LoopClock clock) {
    this.handler = handler;
    this.clock = clock;
  }

  /** A factory of handlers for the one event loop whose clock this is. */
  public static IoHandlerFactory factory(IoHandlerFactory transport, LoopClock clock) {
    return executor -> new WatchedIoHandler(transport.newHandler(executor), clock);
  }

  @Override
  public int run(IoHandlerContext context) {
    clock.turnBegins(clock.now());
    int handled = handler.run(new BoundedSleep(context, clock));
    clock.turnEnds(clock.now(), handled);
    return handled;
  }

  /** A turn whose sleep is bounded. */
  private record BoundedSleep(IoHandlerContext context, LoopClock clock)
      implements IoHandlerContext {
    @Override
    public boolean canBlock() {
      boolean canBlock = !clock.pollsAtOnce() && context.canBlock();
      if (canBlock) {
        clock.pollMayBlock();
      }
      return canBlock;
    }

    @Override
    public long delayNanos(long now) {
      return Math.min(LoopClock.MAX_SLEEP_NANOS, context.delayNanos(now));
    }

    @Override
    public long deadlineNanos() {
      return context.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long nanos) {
      context.reportActiveIoTime(nanos);
    }

    /** Called by the transport between its poll and the handling of events. */
    @Override
    public boolean shouldReportActiveIoTime() {
      clock.pollEnds(clock.now());
      return context.shouldReportActiveIoTime();
    }
  }

  @Override
  public void initialize() {
    handler.initialize();
  }

  @Override
  public void prepareToDestroy() {
    handler.prepareToDestroy();
  }

  @Override
  public void destroy() {
    handler.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    return handler.register(handle);
  }

  @Override
  public void wakeup() {
    handler.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> type) {
    return handler.isCompatible(type);
  }
}
