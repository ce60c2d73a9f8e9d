package shalepaddle.diagnostics;

import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Counts events and records the latest {@value #CAPACITY} of them, for the history of a request
 * that is logged when an invariant is violated.
 *
 * <p>The events are recorded in a ring buffer. The oldest are overwritten, so that a history may be
 * incomplete. Recording allocates nothing.
 *
 * <p>Owned by one event loop's thread.
 */
public final class FlightRecorder {
  private static final int CAPACITY = 4096;

  private static final int MAX_HISTORY_EVENTS = 24;

  private static final long NANOS_PER_TENTH_MILLI = 100_000;

  private static final int TYPICAL_ENTRY_CHARS = 32;

  private final LongSupplier clock;
  private final long[] timesNanos = new long[CAPACITY];
  private final Event[] events = new Event[CAPACITY];
  private final String[] subjects = new String[CAPACITY];
  private final String[] details = new String[CAPACITY];
  private final long[] counts = new long[Event.values().length];
  private long recordedEvents;

  /**
   * Creates an empty recorder.
   *
   * @param clock monotonic time in nanoseconds
   */
  public FlightRecorder(LongSupplier clock) {
    this.clock = clock;
  }

  /** Records an event without a detail; see {@link #record(Event, String, String)}. */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public void record(Event event, String subject) {
    record(event, subject, null);
  }

  /**
   * Records an event with a detail.
   *
   * @param subject the id of a request or the name of a connection, null for the process
   * @param detail a constant text, null for none
   */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public void record(Event event, String subject, String detail) {
    counts[event.ordinal()]++;
    int slot = (int) (recordedEvents++ % CAPACITY);
    timesNanos[slot] = clock.getAsLong();
    events[slot] = event;
    subjects[slot] = subject;
    details[slot] = detail;
  }

  /** Counts occurrences of an event that occurs too often to be recorded. */
  // An array by ordinal: counting is on the request path and must not allocate.
  @SuppressWarnings("EnumOrdinal")
  public void count(Event event, int occurrences) {
    counts[event.ordinal()] += occurrences;
  }

  /**
   * The latest events of a request, of its connection and of the process, each with its time
   * relative to now in milliseconds, such as {@code -103.2:request_read -0.4:answered(rejected)}.
   * Consecutive equal events are listed once, with the time of the first and their number, such as
   * {@code -80.1:read_pause_client_error*37}.
   */
  public String history(String requestId, String connection) {
    long now = clock.getAsLong();
    int[] foundSlots = new int[MAX_HISTORY_EVENTS];
    int[] repeats = new int[MAX_HISTORY_EVENTS];
    int foundCount = 0;
    long oldestIndex = Math.max(0, recordedEvents - CAPACITY);
    for (long i = recordedEvents - 1; i >= oldestIndex; i--) {
      int slot = (int) (i % CAPACITY);
      String subject = subjects[slot];
      if (subject != null && !subject.equals(requestId) && !subject.equals(connection)) {
        continue;
      }
      if (foundCount > 0 && isEqual(slot, foundSlots[foundCount - 1])) {
        foundSlots[foundCount - 1] = slot;
        repeats[foundCount - 1]++;
      } else if (foundCount < MAX_HISTORY_EVENTS) {
        repeats[foundCount] = 1;
        foundSlots[foundCount++] = slot;
      } else {
        break;
      }
    }
    StringBuilder text = new StringBuilder(foundCount * TYPICAL_ENTRY_CHARS);
    while (foundCount > 0) {
      foundCount--;
      append(text, foundSlots[foundCount], repeats[foundCount], now);
    }
    return text.toString();
  }

  private boolean isEqual(int slot, int otherSlot) {
    return events[slot] == events[otherSlot]
        && Objects.equals(subjects[slot], subjects[otherSlot])
        && Objects.equals(details[slot], details[otherSlot]);
  }

  /** Appends an entry. Avoids {@link String#format}, which is slow on small machines. */
  private void append(StringBuilder text, int slot, int repeats, long now) {
    long tenthsOfMilli = (now - timesNanos[slot]) / NANOS_PER_TENTH_MILLI;
    text.append(text.isEmpty() ? "-" : " -");
    text.append(tenthsOfMilli / 10).append('.').append(tenthsOfMilli % 10);
    text.append(':').append(events[slot].label());
    if (details[slot] != null) {
      text.append('(').append(details[slot]).append(')');
    }
    if (repeats > 1) {
      text.append('*').append(repeats);
    }
  }

  /** All non-zero counts as fields of a log line, such as {@code rejections.policy=12}. */
  public String totals() {
    StringBuilder text = new StringBuilder();
    for (Event event : Event.countedEvents()) {
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
