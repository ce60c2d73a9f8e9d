package shalepaddle.front;

import java.util.concurrent.TimeUnit;
import shalepaddle.engine.ClientPresence;
import shalepaddle.loop.LoopClock;

/**
 * Tracks the latest time at which a client is known to have had its connection open.
 *
 * <p>The end of the client's stream is found only by reading all bytes before it. A socket that is
 * not polled, or that is never read until it is empty, therefore tells nothing, however long its
 * client has been gone. Proof that the client had not closed at a time is that bytes arrived after
 * that time, or that a poll which included the socket, when nothing was unread, did not report it.
 *
 * <p>If many bytes are unread, the receive window can be used up, so that further bytes and the
 * close wait at the client's end, and arrive only as this node reads. From then on the connection
 * proves nothing until no more than a few bytes at a time have arrived for {@link #SETTLE_NANOS}.
 *
 * <p>Owned by its connection, on the event loop; all times are by the loop's clock.
 */
final class CloseDetection {
  /**
   * How old the knowledge may be that a client is connected. Leaves half of the time that the
   * protocol allows after a close to the way of the close and of the attempt.
   */
  static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** More than the round trip time after which bytes that wait at the client's end arrive. */
  static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Less than a sender sends that a receive window holds up, unless it has no more to send. */
  private static final int MAX_UNBLOCKED_BYTES = 4 << 10;

  private final LoopClock clock;
  private long openAtNanos;
  private boolean isPolled;
  private long polledSinceTurn;

  /** The last turn in which a poll reported the socket. */
  private long reportedTurn;

  private int bytesInTurn;

  /** Whether bytes may wait at the client's end. */
  private boolean isSettling;

  /** When the settling began, or began anew. */
  private long settlingSinceNanos;

  /**
   * Creates an instance for a connection that was just accepted.
   *
   * @param connectedSinceNanos the earliest time at which the client can have connected
   */
  CloseDetection(LoopClock clock, long connectedSinceNanos) {
    this.clock = clock;
    this.openAtNanos = connectedSinceNanos;
    this.reportedTurn = clock.turn();
  }

  /** Sets whether the event loop polls the socket from now on. */
  void setPolled(boolean isNowPolled) {
    if (isNowPolled == isPolled) {
      return;
    }
    if (!isNowPolled) {
      openAtNanos = openAtNanos();
      isSettling = true;
    }
    isPolled = isNowPolled;
    polledSinceTurn = clock.turn();
    settlingSinceNanos = clock.now();
  }

  /** Records bytes that were read, and the earliest time at which they can have arrived. */
  void bytesRead(int bytes, long arrivalNanos) {
    reportedTurn = clock.turn();
    bytesInTurn += bytes;
    if (!isSettling) {
      openAtNanos = ArrivalTracker.latest(openAtNanos, arrivalNanos);
    }
  }

  /** Records the end of reading in a turn whose poll reported the socket. */
  void readComplete(boolean isSocketEmpty) {
    reportedTurn = clock.turn();
    if (!isSocketEmpty || bytesInTurn > MAX_UNBLOCKED_BYTES) {
      isSettling = true;
      settlingSinceNanos = clock.now();
    } else if (hasSettledBy(clock.now())) {
      isSettling = false;
    }
    bytesInTurn = 0;
  }

  private boolean hasSettledBy(long nanos) {
    return nanos - settlingSinceNanos >= SETTLE_NANOS;
  }

  /** The latest time at which the client is known to have had its connection open. */
  long openAtNanos() {
    boolean wasInLastPoll = isPolled && clock.handledTurn() > polledSinceTurn;
    if (wasInLastPoll && clock.handledTurn() > reportedTurn) {
      isSettling &= !hasSettledBy(clock.handledPollNanos());
      if (!isSettling) {
        openAtNanos = ArrivalTracker.latest(openAtNanos, clock.handledPollNanos());
      }
    }
    return openAtNanos;
  }

  /** What is known of the client at the given time. */
  ClientPresence presence(long now) {
    if (now - openAtNanos() <= MAX_AGE_NANOS) {
      return ClientPresence.CONNECTED;
    }
    return isPolled ? ClientPresence.UNCONFIRMED : ClientPresence.UNKNOWN;
  }
}
