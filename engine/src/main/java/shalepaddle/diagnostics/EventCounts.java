package shalepaddle.diagnostics;

/** The number of times each event had occurred at one moment. Immutable. */
public final class EventCounts {
  private final long[] counts;

  EventCounts(long[] counts) {
    this.counts = counts.clone();
  }

  /** The number of times this event had occurred. */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public long countOf(Event event) {
    return counts[event.ordinal()];
  }
}
