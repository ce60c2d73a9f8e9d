package shalepaddle.front;

import shalepaddle.loop.LoopClock;

/**
 * Tracks the earliest time at which the bytes that are read from one connection can have arrived.
 *
 * <p>The time budget of a request starts when its client sends it, but the node may read it later:
 * the event loop was busy or stalled, or reading was suspended. The socket does not provide arrival
 * times. However, the latest time at which the socket was empty is known: it was read until it was
 * empty, or a poll that included it did not report it.
 *
 * <p>Owned by its connection, on the event loop; all times are by the loop's clock.
 */
final class ArrivalTracker {
  private final LoopClock clock;

  /** The latest time at which the socket is known to have been empty. */
  private long emptyAtNanos;

  /** Whether the event loop polls the socket for bytes. */
  private boolean isSocketPolled;

  /** Since when the socket has been polled without interruption. */
  private long polledSinceNanos;

  private boolean isReading;
  private long readingSinceNanos;
  private long arrivalNanos;

  /**
   * Creates a tracker for a connection that was just accepted. Unread bytes can be as old as the
   * connection.
   *
   * @param connectedSinceNanos the earliest time at which the client can have connected
   */
  ArrivalTracker(LoopClock clock, long connectedSinceNanos) {
    this.clock = clock;
    this.emptyAtNanos = connectedSinceNanos;
    this.arrivalNanos = emptyAtNanos;
  }

  /** Sets whether the event loop polls the socket for bytes from now on. */
  void setPolled(boolean isNowPolled) {
    if (isNowPolled && !isSocketPolled) {
      polledSinceNanos = clock.now();
    }
    isSocketPolled = isNowPolled;
  }

  /** Records a read, and returns the earliest time at which its bytes can have arrived. */
  long bytesRead() {
    if (!isReading) {
      isReading = true;
      readingSinceNanos = clock.refresh();
      boolean wasPolledBefore =
          isSocketPolled && polledSinceNanos - clock.previousPollAtNanos() <= 0;
      arrivalNanos =
          wasPolledBefore ? latest(emptyAtNanos, clock.earliestArrivalNanos()) : emptyAtNanos;
    }
    return arrivalNanos;
  }

  /**
   * Records the end of reading in this turn.
   *
   * @param isSocketEmpty whether the socket was read until it was empty; otherwise it may have more
   *     bytes
   */
  void readComplete(boolean isSocketEmpty) {
    if (isReading && isSocketEmpty) {
      emptyAtNanos = readingSinceNanos;
    } else if (isReading) {
      emptyAtNanos = arrivalNanos;
    }
    isReading = false;
  }

  /** The later of two times of one monotonic clock. */
  static long latest(long firstNanos, long secondNanos) {
    return firstNanos - secondNanos > 0 ? firstNanos : secondNanos;
  }
}
