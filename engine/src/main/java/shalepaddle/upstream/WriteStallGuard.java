package shalepaddle.upstream;

import io.netty.channel.Channel;
import shalepaddle.loop.LoopClock;
import shalepaddle.sockets.TcpConnection;

/**
 * Prevents the first bytes of a request from being written if this process was stalled since the
 * checks before the write: the client may have closed its connection meanwhile, or the deadline may
 * have passed. A stall between this check and the system call right after it is not noticed.
 *
 * <p>Owned by its connection, on the event loop.
 */
final class WriteStallGuard {
  private final LoopClock clock;
  private long checkedAtNanos;
  private boolean isBeginning;
  private boolean hasStalled;

  WriteStallGuard(LoopClock clock) {
    this.clock = clock;
  }

  /** Sets the channel. Called once, before all other methods. */
  void setChannel(Channel channel) {
    if (channel instanceof TcpConnection connection) {
      connection.setWriteCheck(this::mayWrite);
    }
  }

  /** Called when a request is about to be written that has passed its checks at the given time. */
  void beginWrite(long checkedAtNanos) {
    this.checkedAtNanos = checkedAtNanos;
    isBeginning = true;
    hasStalled = false;
  }

  /** Called when the write returns; returns false if none of the request was written. */
  boolean endWrite() {
    isBeginning = false;
    return !hasStalled;
  }

  private boolean mayWrite() {
    if (isBeginning) {
      hasStalled |= clock.refresh() - checkedAtNanos > LoopClock.STALL_THRESHOLD_NANOS;
    }
    return !isBeginning || !hasStalled;
  }
}
