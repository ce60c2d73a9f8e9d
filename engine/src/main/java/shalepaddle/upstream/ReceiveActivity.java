package shalepaddle.upstream;

import shalepaddle.loop.LoopClock;

/** Tracks when a connection last received bytes, to detect stalled replies. Owned by its loop. */
final class ReceiveActivity {
  /** Maximum pause of a server within a reply that is not streamed, in active time. */
  private static final long MAX_REPLY_PAUSE_NANOS = 250_000_000L;

  /** Maximum pause within a large value that is still buffered: its attempt can be retried. */
  private static final long MAX_BUFFERED_STREAM_PAUSE_NANOS = 1_000_000_000L;

  /** Maximum pause within a large value of which the client may have received a part. */
  private static final long MAX_STREAM_PAUSE_NANOS = 2_500_000_000L;

  private final LoopClock clock;
  private long receivedAtNanos;
  private long receivedAtActiveNanos;

  ReceiveActivity(LoopClock clock) {
    this.clock = clock;
    markActive();
  }

  /** Records that bytes were received now, or that reading was enabled or disabled. */
  void markActive() {
    receivedAtNanos = clock.refresh();
    receivedAtActiveNanos = clock.activeNanos();
  }

  /** When bytes were last received, by the loop's clock. */
  long receivedAtNanos() {
    return receivedAtNanos;
  }

  /**
   * Whether no bytes were received for longer than a server may pause within a reply.
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
