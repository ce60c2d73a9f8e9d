package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import shalepaddle.sockets.SendQueues;

/**
 * How many of the bytes that were written to a client's connection the client has taken, and when
 * it last took any. Bytes that the kernel has accepted are not taken yet: it accepts them in large
 * steps, which say nothing about the client. What it has taken of them is looked up, and known some
 * time later; a client is not blamed for the time for which that is not known.
 *
 * <p>Owned by the connection, on its event loop; times are in the event loop's active time.
 */
final class WriteProgress {
  /**
   * Bytes up to which a connection whose writes the kernel has accepted counts as read: the kernel
   * delivers these after a close too.
   */
  private static final long MAX_UNTRACKED_BYTES = 64 << 10;

  /**
   * The period in which the kernel is asked once. All connections ask at its beginning, so that one
   * look serves them.
   */
  private static final long LOOKUP_PERIOD_NANOS = 500_000_000L;

  private final LongSupplier activeNanos;
  private final SendQueues sendQueues;
  private Channel channel;
  private long writtenBytes;
  private long acceptedBytes;
  private long takenBytes;
  private long progressAtActiveNanos;

  /** The lookup whose result is not recorded yet, null for none. */
  private CompletableFuture<SendQueues.Reading> lookup;

  private long lookupAtActiveNanos = Long.MIN_VALUE;
  private long acceptedAtLookupBytes;

  /** The time up to which it is known what the client has taken. */
  private long knownAtActiveNanos;

  /**
   * Creates the progress of a new connection.
   *
   * @param activeNanos the event loop's active time
   * @param sendQueues tells what the kernel has accepted and the client has not taken
   */
  WriteProgress(LongSupplier activeNanos, SendQueues sendQueues) {
    this.activeNanos = activeNanos;
    this.sendQueues = sendQueues;
  }

  /** Sets the channel. Called once, before all other methods. */
  void setChannel(Channel channel) {
    this.channel = channel;
  }

  /** Records that bytes are about to be written. */
  void onWrite(int bytes) {
    if (takenBytes == writtenBytes) {
      progressAtActiveNanos = activeNanos.getAsLong();
      knownAtActiveNanos = progressAtActiveNanos;
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

  /** Whether bytes wait to be taken and the client is known to have taken none for this time. */
  boolean isStalled(long maxNanos) {
    return hasUntakenBytes() && knownAtActiveNanos - progressAtActiveNanos > maxNanos;
  }

  private void update() {
    if (takenBytes == writtenBytes) {
      return;
    }
    long now = activeNanos.getAsLong();
    long accepted = writtenBytes - unsentBytes();
    if (accepted > acceptedBytes) {
      // The kernel has room again, so the client has taken bytes; how many is looked up later.
      acceptedBytes = accepted;
      progressAtActiveNanos = now;
      return;
    }
    recordLookup(now);
    if (lookup == null && isNewPeriod(now)) {
      lookup = sendQueues.read(channel);
      lookupAtActiveNanos = now;
      acceptedAtLookupBytes = accepted;
      recordLookup(now);
    }
  }

  private boolean isNewPeriod(long now) {
    return Math.floorDiv(now, LOOKUP_PERIOD_NANOS)
        != Math.floorDiv(lookupAtActiveNanos, LOOKUP_PERIOD_NANOS);
  }

  private void recordLookup(long now) {
    if (lookup == null || !lookup.isDone()) {
      return;
    }
    long unacknowledgedBytes = Math.max(0, lookup.join().unacknowledgedBytes());
    lookup = null;
    knownAtActiveNanos = lookupAtActiveNanos;
    long taken = acceptedAtLookupBytes - unacknowledgedBytes;
    if (taken > takenBytes) {
      takenBytes = taken;
      progressAtActiveNanos = now;
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
