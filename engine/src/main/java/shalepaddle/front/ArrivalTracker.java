package shalepaddle.front;

import shalepaddle.loop.LoopClock;

/**
 * When the bytes that are read from one connection can have arrived at the earliest.
 *
 * <p>A request's time counts from when its client sends it, and a node may read it later: its event
 * loop was busy or stalled, or it did not read from the connection for a reason of its own. When
 * bytes arrived is not told by the socket. What is known is the latest time at which the socket
 * held nothing: it was read until empty, or a poll did not report it while it was being watched.
 *
 * <p>Belongs to the connection's event loop.
 */
final class ArrivalTracker {
  private final LoopClock clock;

  /** The latest time at which the socket is known to have held nothing that was not read. */
  private long emptyAt;

  /** Whether the socket is polled, and since when without a break. */
  private boolean watched;

  private long watchedSince;

  private boolean reading;
  private long readingSince;
  private long arrival;

  /**
   * Of a connection that has just been accepted: what waits on it can be as old as the connection.
   */
  ArrivalTracker(LoopClock clock, long connectedSince) {
    this.clock = clock;
    this.emptyAt = connectedSince;
    this.arrival = emptyAt;
  }

  /** From now on the socket is polled, or not. */
  void watch(boolean on) {
    if (on && !watched) {
      watchedSince = clock.now();
    }
    watched = on;
  }

  /** Bytes have been read; returns the earliest time at which they can have arrived. */
  long read() {
    if (!reading) {
      reading = true;
      readingSince = clock.refresh();
      boolean polledBefore = watched && watchedSince - clock.previousPollAt() <= 0;
      arrival = polledBefore ? later(emptyAt, clock.earliestArrival()) : emptyAt;
    }
    return arrival;
  }

  /** Reading ends for this turn; the socket was empty then, or more may wait on it. */
  void readComplete(boolean empty) {
    if (reading && empty) {
      emptyAt = readingSince;
    } else if (reading) {
      emptyAt = arrival;
    }
    reading = false;
  }

  private static long later(long one, long other) {
    return one - other > 0 ? one : other;
  }
}
