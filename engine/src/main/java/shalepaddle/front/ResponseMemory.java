package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import shalepaddle.engine.MemoryBudget;

/**
 * The memory that the responses of one client's connection occupy: those that wait for earlier
 * responses, and bytes that were written and that the kernel has not accepted. Owned by the
 * connection's {@link ResponseQueue}, on the event loop.
 */
final class ResponseMemory {
  private final MemoryBudget budget;
  private Channel channel;

  /** The reserved bytes that were written and are not sent, as of the last update. */
  private int unsentBytes;

  ResponseMemory(MemoryBudget budget) {
    this.budget = budget;
  }

  /** Sets the channel. Called once, before all other methods. */
  void setChannel(Channel channel) {
    this.channel = channel;
  }

  /** Reserves memory for a value that has to wait. Returns false if too little is left. */
  boolean reserve(int bytes) {
    return budget.reserve(bytes);
  }

  /** Reserves memory for bytes that wait already. */
  void reserveBeyond(int bytes) {
    budget.reserveBeyond(bytes);
  }

  void release(int bytes) {
    budget.release(bytes);
  }

  /** Whether no more commands should be handled before their responses can be written. */
  boolean isShort() {
    return budget.isShort();
  }

  boolean isOverdrawn() {
    return budget.isOverdrawn();
  }

  /** Adjusts the reservation to the bytes that were written and are not sent. */
  void updateUnsent() {
    ChannelOutboundBuffer outboundBuffer = channel.unsafe().outboundBuffer();
    int bytes = outboundBuffer == null ? 0 : (int) outboundBuffer.totalPendingWriteBytes();
    if (bytes > unsentBytes) {
      budget.reserveBeyond(bytes - unsentBytes);
    } else if (bytes < unsentBytes) {
      budget.release(unsentBytes - bytes);
    }
    unsentBytes = bytes;
  }

  /**
   * Returns a value that occupies no more memory than its bytes. A value can be a slice of a far
   * larger buffer. Takes ownership of the value.
   */
  ByteBuf compact(ByteBuf value) {
    if (value.unwrap() == null) {
      return value;
    }
    int valueBytes = value.readableBytes();
    try {
      return channel.alloc().buffer(valueBytes, valueBytes).writeBytes(value);
    } finally {
      value.release();
    }
  }
}
