package shalepaddle.upstream;

import io.netty.channel.Channel;
import io.netty.channel.socket.SocketChannelConfig;
import shalepaddle.engine.Attempt;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;
import shalepaddle.sockets.SendQueues;

/**
 * Tracks which requests on one connection may not have arrived at the server, though the kernel has
 * accepted all of their bytes: they wait in its send queue while the server does not read. The
 * server begins a request when its last byte arrives. Owned by the connection, on its event loop.
 */
final class DeliveryTracker {
  /** So many bytes arrive at any server, even if it does not read: less than Linux's minimum. */
  private static final int MIN_RECEIVE_BUFFER_BYTES = 2048;

  private final SendQueues sendQueues;
  private final Timers timers;
  private final LoopClock clock;
  private final WriteStallGuard stallGuard;
  private Channel channel;

  /** The position after the last written byte in the stream to the server. */
  private long writtenBytes;

  /** The position up to which the server has read the stream, as its replies show. */
  private long readBytes;

  DeliveryTracker(SendQueues sendQueues, Timers timers, LoopClock clock) {
    this.sendQueues = sendQueues;
    this.timers = timers;
    this.clock = clock;
    this.stallGuard = new WriteStallGuard(clock);
  }

  /** Sets the channel. Called once, before all other methods. */
  void setChannel(Channel channel) {
    this.channel = channel;
    stallGuard.setChannel(channel);
  }

  /** Records a request that has passed its checks at this time and is about to be written. */
  void beginWrite(Attempt attempt, int requestBytes, long checkedAtNanos) {
    writtenBytes += requestBytes;
    attempt.setStreamEnd(writtenBytes);
    stallGuard.beginWrite(checkedAtNanos);
  }

  /** Called when the write returns; returns false if nothing was written, after a stall. */
  boolean endWrite() {
    return stallGuard.endWrite();
  }

  /** Records that the server has replied to a request. */
  void answered(Attempt attempt) {
    readBytes = Math.max(readBytes, attempt.streamEnd());
  }

  /** Runs a task soon, unless the last byte of a request has arrived at the server by then. */
  void runIfNotDelivered(Attempt attempt, Runnable task) {
    if (mayBeUndelivered(attempt)) {
      new DeliveryCheck(
              channel,
              sendQueues,
              timers,
              clock,
              writtenBytes - attempt.streamEnd(),
              () -> mayBeUndelivered(attempt),
              task)
          .start();
    }
  }

  /** Lets the next close drop what is in the send queue, if the request can be in it. */
  void dropAtClose(Attempt attempt) {
    if (mayBeUndelivered(attempt)
        && channel.isOpen()
        && channel.config() instanceof SocketChannelConfig socketConfig) {
      // The close resets the connection.
      socketConfig.setSoLinger(0);
    }
  }

  private boolean mayBeUndelivered(Attempt attempt) {
    return attempt.streamEnd() - readBytes > MIN_RECEIVE_BUFFER_BYTES;
  }
}
