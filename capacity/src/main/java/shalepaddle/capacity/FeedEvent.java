package shalepaddle.capacity;

/**
 * An action that {@link HollowFeed} runs at a point of virtual time. Events of the same time run in
 * the order of their sequence numbers.
 */
record FeedEvent(long atNanos, long sequenceNumber, Runnable action)
    implements Comparable<FeedEvent> {
  @Override
  public int compareTo(FeedEvent other) {
    return atNanos != other.atNanos
        ? Long.compare(atNanos, other.atNanos)
        : Long.compare(sequenceNumber, other.sequenceNumber);
  }
}
