package shalepaddle.diagnostics;

import java.util.function.LongSupplier;

/**
 * Counts events and records the latest {@value #CAPACITY} of them, from which the history of one
 * request is logged when an invariant is violated.
 *
 * <p>A ring buffer: the oldest events are overwritten, so that a history may be incomplete.
 * Recording allocates nothing.
 *
 * <p>Owned by one event loop's thread.
 */
public final class FlightRecorder {
  private static final int CAPACITY = 4096;

  private static final int MAX_HISTORY_EVENTS = 24;

  private static final long NANOS_PER_TENTH = 100_000;

  private static final int TYPICAL_ENTRY_CHARS = 32;

  private final LongSupplier clock;
  private final long[] times = new long[CAPACITY];
  private final Event[] events = new Event[CAPACITY];
  private final String[] subjects = new String[CAPACITY];
  private final String[] details = new String[CAPACITY];
  private final long[] counts = new long[Event.values().length];
  private long recorded;

  /**
   * An empty recorder.
   *
   * @param clock monotonic time in nanoseconds
   */
  public FlightRecorder(LongSupplier clock) {
    this.clock = clock;
  }

  /** Records an event of a request or of a connection; null for one of the whole process. */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public void record(Event event, String subject) {
    record(event, subject, null);
  }

  /**
   * Records an event with a detail.
   *
   * @param subject a request's id or a connection's name, null for the whole process
   * @param detail a constant text, null for none
   */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public void record(Event event, String subject, String detail) {
    counts[event.ordinal()]++;
    int slot = (int) (recorded++ % CAPACITY);
    times[slot] = clock.getAsLong();
    events[slot] = event;
    subjects[slot] = subject;
    details[slot] = detail;
  }

  /** Counts an event that occurs too often to be recorded. */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public void count(Event event, int times) {
    counts[event.ordinal()] += times;
  }

  /**
   * The latest events of a request, of its connection and of the process, with the time of each
   * before now in milliseconds, such as {@code -103.2:request_read -0.4:answered(busy)}.
   */
  public String history(String requestId, String connection) {
    long now = clock.getAsLong();
    int[] found = new int[MAX_HISTORY_EVENTS];
    int count = 0;
    long oldest = Math.max(0, recorded - CAPACITY);
    for (long i = recorded - 1; i >= oldest && count < MAX_HISTORY_EVENTS; i--) {
      int slot = (int) (i % CAPACITY);
      String subject = subjects[slot];
      if (subject == null || subject.equals(requestId) || subject.equals(connection)) {
        found[count++] = slot;
      }
    }
    StringBuilder text = new StringBuilder(count * TYPICAL_ENTRY_CHARS);
    while (count > 0) {
      append(text, found[--count], now);
    }
    return text.toString();
  }

  /** Not by {@link String#format}, which is slow on the node's smallest machines. */
  private void append(StringBuilder text, int slot, long now) {
    long tenths = (now - times[slot]) / NANOS_PER_TENTH;
    text.append(text.isEmpty() ? "-" : " -").append(tenths / 10).append('.').append(tenths % 10);
    text.append(':').append(events[slot].label());
    if (details[slot] != null) {
      text.append('(').append(details[slot]).append(')');
    }
  }

  /** All counts above 0 as fields of a log line, such as {@code rejections.policy=12}. */
  public String totals() {
    StringBuilder text = new StringBuilder();
    for (Event event : Event.counted()) {
      if (count(event) > 0) {
        text.append(text.isEmpty() ? "" : " ");
        text.append(event.metric()).append('.').append(event.reason());
        text.append('=').append(count(event));
      }
    }
    return text.toString();
  }

  /** The number of times an event has occurred. */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public long count(Event event) {
    return counts[event.ordinal()];
  }

  /** The number of times each event has occurred. */
  public EventCounts counts() {
    return new EventCounts(counts);
  }
}
