package shalepaddle.changefeed;

import java.util.ArrayDeque;

/**
 * A publisher's state of one subscriber's connection. Owned by its publisher. Times are monotonic
 * nanoseconds.
 */
final class SubscriberSession {
  /** A message that is not acknowledged yet. */
  private record InFlightMessage(long lastIndex, int bytes) {}

  private final String name;
  private final ArrayDeque<InFlightMessage> inFlightMessages = new ArrayDeque<>();
  private int inFlightBytes;
  private long sentIndex;
  private long lastSentNanos;

  /**
   * The time of the last acknowledgement, or, if later, of the last message that was sent while
   * nothing was in flight.
   */
  private long lastAckNanos;

  /**
   * Creates the state of a new connection.
   *
   * @param name the subscriber's name
   * @param index the last log index that the subscriber has received
   */
  SubscriberSession(String name, long index, long now) {
    this.name = name;
    this.sentIndex = index;
    this.lastSentNanos = now;
    this.lastAckNanos = now;
  }

  String name() {
    return name;
  }

  /** The last log index that was sent. */
  long sentIndex() {
    return sentIndex;
  }

  /** The number of bytes that are not acknowledged. */
  int inFlightBytes() {
    return inFlightBytes;
  }

  /** Records a message with state or entries up to an index. */
  void stateSent(long now, long lastIndex, int bytes) {
    sentIndex = lastIndex;
    messageSent(now);
    if (bytes > 0) {
      inFlightMessages.add(new InFlightMessage(lastIndex, bytes));
      inFlightBytes += bytes;
    }
  }

  /** Records a message that needs no acknowledgement. */
  void heartbeatSent(long now) {
    messageSent(now);
  }

  private void messageSent(long now) {
    if (inFlightMessages.isEmpty()) {
      lastAckNanos = now;
    }
    lastSentNanos = now;
  }

  /** Records that the subscriber has received everything up to an index. */
  void acknowledged(long now, long index) {
    lastAckNanos = now;
    while (!inFlightMessages.isEmpty() && inFlightMessages.peek().lastIndex <= index) {
      inFlightBytes -= inFlightMessages.poll().bytes;
    }
  }

  boolean isAckOverdue(long now, long timeoutNanos) {
    return !inFlightMessages.isEmpty() && now - lastAckNanos >= timeoutNanos;
  }

  boolean isHeartbeatDue(long now, long intervalNanos) {
    return now - lastSentNanos >= intervalNanos;
  }
}
