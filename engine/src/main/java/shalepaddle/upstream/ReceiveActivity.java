package shalepaddle.upstream;

import shalepaddle.loop.LoopClock;

/** When one connection last received something, or could have. Owned by its event loop. */
final class ReceiveActivity {
  /** How long a server may pause within a reply that is not streamed, in active time. */
  private static final long MAX_REPLY_PAUSE_NANOS = 250_000_000L;

  /** The same within a large value that is still buffered, so that its attempt can be retried. */
  private static final long MAX_BUFFERED_STREAM_PAUSE_NANOS = 1_000_000_000L;

  /** The same within a large value of which the client may have a part. */
  private static final long MAX_STREAM_PAUSE_NANOS = 2_500_000_000L;

  private final LoopClock clock;
  private long receivedAtNanos;
  private long receivedAtActiveNanos;

  ReceiveActivity(LoopClock clock) {
    this.clock = clock;
    mark();
  }

  /** Something was received now, or reading begins now. */
  void mark() {
    receivedAtNanos = clock.refresh();
    receivedAtActiveNanos = clock.activeNanos();
  }

  /** When something was received last, by the loop's clock. */
  long receivedAtNanos() {
    return receivedAtNanos;
  }

  /**
   * Whether nothing was received for longer than a server may pause within a reply.
   *
   * @param stream the large value that is being received, null if there is none
   */
  boolean isStalled(StreamedReply stream) {
    return clock.activeNanos() - receivedAtActiveNanos > maxPauseNanos(stream);
  }

  private static long maxPauseNanos(StreamedReply stream) {
    if (stream == null) {
      return MAX_REPLY_PAUSE_NANOS;
    }
    return stream.hasBeenOffered() ? MAX_STREAM_PAUSE_NANOS : MAX_BUFFERED_STREAM_PAUSE_NANOS;
  }
}
