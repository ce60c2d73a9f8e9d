package shalepaddle.front;

import shalepaddle.loop.LoopClock;

/**
 * The earliest time at which the bytes that are read from one connection can have arrived.
 *
 * <p>A request's time counts from when its client sends it, and a node may read it later: its event
 * loop was busy or stalled, or reading was suspended. The socket does not say when bytes arrived.
 * What is known is the latest time at which it was empty: it was read until then, or a poll did not
 * report it while it was being polled.
 *
 * <p>Owned by its connection, on the event loop; all times are by the loop's clock.
 */
final class ArrivalTracker {
  private final LoopClock clock;

  /** The latest time at which the socket is known to have been empty. */
  private long emptyAtNanos;

  /** Whether the socket is polled, and since when without a break. */
  private boolean isPolled;

  private long polledSinceNanos;

  private boolean isReading;
  private long readingSinceNanos;
  private long arrivalNanos;

  /**
   * For a connection that has just been accepted: unread bytes can be as old as the connection.
   *
   * @param connectedSinceNanos the earliest time at which the client can have connected
   */
  ArrivalTracker(LoopClock clock, long connectedSinceNanos) {
    this.clock = clock;
    this.emptyAtNanos = connectedSinceNanos;
    this.arrivalNanos = emptyAtNanos;
  }

  /** Sets whether the event loop polls the socket for bytes from now on. */
  void setPolled(boolean on) {
    if (on && !isPolled) {
      polledSinceNanos = clock.now();
    }
    isPolled = on;
  }

  /** Bytes have been read; returns the earliest time at which they can have arrived. */
  long bytesRead() {
    if (!isReading) {
      isReading = true;
      readingSinceNanos = clock.refresh();
      boolean wasPolledBefore = isPolled && polledSinceNanos - clock.previousPollAt() <= 0;
      arrivalNanos = wasPolledBefore ? later(emptyAtNanos, clock.earliestArrival()) : emptyAtNanos;
    }
    return arrivalNanos;
  }

  /**
   * Reading ends for this turn.
   *
   * @param isEmpty whether the socket was read until it was empty; otherwise more may wait in it
   */
  void readComplete(boolean isEmpty) {
    if (isReading && isEmpty) {
      emptyAtNanos = readingSinceNanos;
    } else if (isReading) {
      emptyAtNanos = arrivalNanos;
    }
    isReading = false;
  }

  private static long later(long one, long other) {
    return one - other > 0 ? one : other;
  }
}
