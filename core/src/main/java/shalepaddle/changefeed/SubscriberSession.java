package shalepaddle.changefeed;

import java.util.ArrayDeque;

/**
 * What a publisher knows of one subscriber's connection. Owned by its publisher. Times are
 * monotonic nanoseconds.
 */
final class SubscriberSession {
  /** A message that is not acknowledged. */
  private record InFlight(long lastIndex, int bytes) {}

  private final String name;
  private final ArrayDeque<InFlight> inFlight = new ArrayDeque<>();
  private int inFlightBytes;
  private long sentIndex;
  private long lastSentNanos;

  /** Of the last acknowledgement, or of the first message sent since nothing was in flight. */
  private long lastAckNanos;

  /**
   * A new connection.
   *
   * @param name the subscriber's
   * @param index the last log index that it knows
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

  /** Bytes of messages that are not acknowledged. */
  int inFlightBytes() {
    return inFlightBytes;
  }

  /** A message with state or entries up to an index is sent. */
  void stateSent(long now, long lastIndex, int bytes) {
    sentIndex = lastIndex;
    messageSent(now);
    if (bytes > 0) {
      inFlight.add(new InFlight(lastIndex, bytes));
      inFlightBytes += bytes;
    }
  }

  /** A message is sent that needs no acknowledgement. */
  void heartbeatSent(long now) {
    messageSent(now);
  }

  private void messageSent(long now) {
    if (inFlight.isEmpty()) {
      lastAckNanos = now;
    }
    lastSentNanos = now;
  }

  /** The subscriber has received everything up to an index. */
  void acknowledged(long now, long upTo) {
    lastAckNanos = now;
    while (!inFlight.isEmpty() && inFlight.peek().lastIndex <= upTo) {
      inFlightBytes -= inFlight.poll().bytes;
    }
  }

  boolean isAckOverdue(long now, long timeoutNanos) {
    return !inFlight.isEmpty() && now - lastAckNanos >= timeoutNanos;
  }

  boolean isHeartbeatDue(long now, long intervalNanos) {
    return now - lastSentNanos >= intervalNanos;
  }
}
