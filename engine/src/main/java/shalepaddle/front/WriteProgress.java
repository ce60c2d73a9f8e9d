package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.function.LongSupplier;
import java.util.function.ToLongFunction;

/**
 * How many of the bytes that were written to a client's connection the client has taken, and when
 * it last took any. Bytes that the kernel has accepted are not taken yet: it accepts them in large
 * steps, which say nothing about the client.
 *
 * <p>Owned by the connection, on its event loop; times are in the event loop's active time.
 */
final class WriteProgress {
  /**
   * Bytes up to which a connection whose writes the kernel has accepted counts as read: the kernel
   * delivers these after a close too.
   */
  private static final long MAX_UNTRACKED_BYTES = 64 << 10;

  private final LongSupplier activeNanos;
  private final ToLongFunction<Channel> unacknowledgedBytes;
  private Channel channel;
  private long writtenBytes;
  private long acceptedBytes;
  private long takenBytes;
  private long progressAtActiveNanos;

  /**
   * Creates the progress of a new connection.
   *
   * @param activeNanos the event loop's active time
   * @param unacknowledgedBytes returns how many of the bytes that the kernel has accepted for a
   *     channel the client has not taken, a negative number if that is not known
   */
  WriteProgress(LongSupplier activeNanos, ToLongFunction<Channel> unacknowledgedBytes) {
    this.activeNanos = activeNanos;
    this.unacknowledgedBytes = unacknowledgedBytes;
  }

  /** Sets the channel. Called once, before all other methods. */
  void setChannel(Channel channel) {
    this.channel = channel;
  }

  /** Records that bytes are about to be written. */
  void onWrite(int bytes) {
    if (takenBytes == writtenBytes) {
      progressAtActiveNanos = activeNanos.getAsLong();
    }
    writtenBytes += bytes;
  }

  /** Whether the kernel has not accepted all flushed bytes. */
  boolean hasUnsentBytes() {
    ChannelOutboundBuffer outboundBuffer = channel.unsafe().outboundBuffer();
    return outboundBuffer != null && !outboundBuffer.isEmpty();
  }

  /** Called when the kernel has accepted all bytes. */
  void allSent() {
    if (writtenBytes - takenBytes <= MAX_UNTRACKED_BYTES) {
      takenBytes = writtenBytes;
    }
  }

  /** Whether the client has not taken all bytes yet, as far as known. */
  boolean hasUntakenBytes() {
    update();
    return takenBytes != writtenBytes;
  }

  /** Whether bytes wait to be taken and the client has taken none for this time. */
  boolean isStalled(long maxNanos) {
    return hasUntakenBytes() && activeNanos.getAsLong() - progressAtActiveNanos > maxNanos;
  }

  private void update() {
    if (takenBytes == writtenBytes) {
      return;
    }
    long accepted = writtenBytes - unsentBytes();
    if (accepted > acceptedBytes) {
      // The kernel has room again, so the client has taken bytes; how many is looked up later.
      acceptedBytes = accepted;
      progressAtActiveNanos = activeNanos.getAsLong();
      return;
    }
    long taken = accepted - Math.max(0, unacknowledgedBytes.applyAsLong(channel));
    if (taken > takenBytes) {
      takenBytes = taken;
      progressAtActiveNanos = activeNanos.getAsLong();
    }
  }

  private long unsentBytes() {
    ChannelOutboundBuffer outboundBuffer = channel.unsafe().outboundBuffer();
    if (outboundBuffer == null) {
      return 0;
    }
    long[] unsentBytes = new long[1];
    try {
      outboundBuffer.forEachFlushedMessage(
          message -> {
            unsentBytes[0] += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
            return true;
          });
    } catch (Exception e) {
      throw new IllegalStateException("the processor above does not throw", e);
    }
    return unsentBytes[0];
  }
}
