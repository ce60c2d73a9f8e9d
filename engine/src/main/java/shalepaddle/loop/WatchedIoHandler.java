package shalepaddle.loop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;

/**
 * Any transport's I/O, with a {@link LoopClock} told of each turn: how much was read, and when. It
 * also keeps the loop from sleeping longer than a beat, without a timer for that, and from sleeping
 * at all while it is behind or something waits for the poll.
 */
public final class WatchedIoHandler implements IoHandler {
  private final IoHandler handler;
  private final LoopClock clock;

  private WatchedIoHandler(IoHandler handler, LoopClock clock) {
    this.handler = handler;
    this.clock = clock;
  }

  /** Makes handlers for one event loop, which the clock belongs to. */
  public static IoHandlerFactory factory(IoHandlerFactory transport, LoopClock clock) {
    return executor -> new WatchedIoHandler(transport.newHandler(executor), clock);
  }

  @Override
  public int run(IoHandlerContext context) {
    clock.turnBegins(clock.now());
    int handled = handler.run(new Beating(context, clock));
    clock.turnEnds(clock.now(), handled);
    return handled;
  }

  /** A turn that does not sleep for longer than a beat. */
  private record Beating(IoHandlerContext context, LoopClock clock) implements IoHandlerContext {
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

    /** Asked by the transport between its poll and the handling of what that has found. */
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
