package shalepaddle.diagnostics;

/** How often each event had happened at one moment. Immutable, and cheap to take. */
public final class EventCounts {
  private final long[] counts;

  EventCounts(long[] counts) {
    this.counts = counts.clone();
  }

  /** How often this event had happened. */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public long of(Event event) {
    return counts[event.ordinal()];
  }
}
