package shalepaddle.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Wraps the I/O handler of a transport, and notifies a {@link LoopClock} of each turn and its poll.
 * Limits the loop's sleep to {@link LoopClock#MAX_SLEEP_NANOS}, and prevents sleep while there is a
 * backlog or a task that waits for the poll. Owned by the event loop's thread.
 */
public final class WatchedIoHandler implements IoHandler {
  private final IoHandler handler;
  private final LoopClock clock;

  private WatchedIoHandler(IoHandler handler, LoopClock clock) {
    this.handler = handler;
    this.clock = clock;
  }

  /** Creates a factory of handlers for the event loop to which the clock belongs. */
  public static IoHandlerFactory factory(IoHandlerFactory transport, LoopClock clock) {
    return executor -> new WatchedIoHandler(transport.newHandler(executor), clock);
  }

  @Override
  public int run(IoHandlerContext context) {
    clock.turnBegins(clock.now());
    int handledChannels = handler.run(new BoundedSleepContext(context, clock));
    clock.turnEnds(clock.now(), handledChannels);
    return handledChannels;
  }

  /** The context of a turn, with the sleep limited. */
  private record BoundedSleepContext(IoHandlerContext context, LoopClock clock)
      implements IoHandlerContext {
    @Override
    public boolean canBlock() {
      boolean canBlock = !clock.mustNotSleep() && context.canBlock();
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
    public void reportActiveIoTime(long activeNanos) {
      context.reportActiveIoTime(activeNanos);
    }

    /** Called by the transport after its poll and before it handles events. */
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
