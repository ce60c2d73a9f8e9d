package shalepaddle.diagnostics;

import java.util.function.LongSupplier;

/**
 * Counts events by reason and keeps the latest of them, so that the history of one request can be
 * written once something has gone wrong with it.
 *
 * <p>The history is a ring of {@value #CAPACITY} entries that are overwritten in order; recording
 * an event allocates nothing. A history that has been overwritten is told in part.
 *
 * <p>Not thread-safe: it belongs to one event loop.
 */
public final class FlightRecorder {
  private static final int CAPACITY = 4096;

  /** Events that one history tells at most, the latest. */
  private static final int HISTORY_EVENTS = 24;

  private static final long NANOS_PER_TENTH = 100_000;

  /** What an entry of a history takes, about. */
  private static final int ENTRY_CHARS = 32;

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
    int place = (int) (recorded++ % CAPACITY);
    times[place] = clock.getAsLong();
    events[place] = event;
    subjects[place] = subject;
    details[place] = detail;
  }

  /** Counts an event of which there may be too many to keep. */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public void count(Event event, int times) {
    counts[event.ordinal()] += times;
  }

  /**
   * The latest events of a request, of its connection and of the process, with the milliseconds
   * from each to now, such as {@code -103.2:request_read -0.4:answered(busy)}.
   */
  public String history(String requestId, String connection) {
    long now = clock.getAsLong();
    int[] found = new int[HISTORY_EVENTS];
    int count = 0;
    long oldest = Math.max(0, recorded - CAPACITY);
    for (long i = recorded - 1; i >= oldest && count < HISTORY_EVENTS; i--) {
      int place = (int) (i % CAPACITY);
      String subject = subjects[place];
      if (subject == null || subject.equals(requestId) || subject.equals(connection)) {
        found[count++] = place;
      }
    }
    StringBuilder text = new StringBuilder(count * ENTRY_CHARS);
    while (count > 0) {
      append(text, found[--count], now);
    }
    return text.toString();
  }

  /** Without the platform's formatter, which costs milliseconds a line on a small machine. */
  private void append(StringBuilder text, int place, long now) {
    long tenths = (now - times[place]) / NANOS_PER_TENTH;
    text.append(text.isEmpty() ? "-" : " -").append(tenths / 10).append('.').append(tenths % 10);
    text.append(':').append(events[place].label());
    if (details[place] != null) {
      text.append('(').append(details[place]).append(')');
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

  /** How often an event has happened. */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public long count(Event event) {
    return counts[event.ordinal()];
  }

  /** How often each event has happened until now. */
  public EventCounts counts() {
    return new EventCounts(counts);
  }
}
