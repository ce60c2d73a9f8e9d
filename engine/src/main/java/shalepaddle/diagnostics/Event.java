package shalepaddle.diagnostics;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

/**
 * An event of a request or of a client's connection. Events of one metric are distinguished by
 * their {@link #reason}; an event without a metric is recorded only in histories. Names and order
 * are part of logs and metrics.
 */
public enum Event {
  REQUEST_READ(null),
  /** A read waits for the fetch of its key, or for capacity for its own fetch. */
  REQUEST_HELD(null),
  ATTEMPT_FIRST("attempts"),
  ATTEMPT_RETRY("attempts"),
  ATTEMPT_HEDGE("attempts"),
  ATTEMPT_WRITTEN(null),
  /** The last byte of an attempt was handed to the socket long after its client was checked. */
  ATTEMPT_WRITTEN_LATE(null),
  ATTEMPT_ENDED(null),

  /** How an attempt ended, by the name of its result. */
  RESULT_OK("attempt_results"),
  RESULT_ERROR("attempt_results"),
  RESULT_SERVER_BUSY("attempt_results"),
  RESULT_TIMEOUT("attempt_results"),
  RESULT_CONNECT_FAILED("attempt_results"),
  RESULT_RESET("attempt_results"),
  RESULT_CANCELLED("attempt_results"),
  RESULT_NOT_SENT("attempt_results"),
  RESULT_CONNECTION_LIMIT_REACHED("attempt_results"),
  RESULT_CACHE_MISS("attempt_results"),
  RESULT_MALFORMED_RESPONSE("attempt_results"),

  /** A server's reply may be a copy of an earlier one, or the attempt that it may answer ended. */
  REPLY_UNCONFIRMED("server_replies"),
  REPLY_CONFIRMED("server_replies"),
  /** A server's reply is a copy of an earlier one. */
  REPLY_DUPLICATE("server_replies"),

  /** A connection to a server closed after invalid bytes, after a drain, or by the server. */
  SERVER_CLOSE_INVALID_BYTES("server_closes"),
  SERVER_CLOSE_DRAINED("server_closes"),
  SERVER_CLOSE_REMOTE("server_closes"),
  ANSWERED(null),
  CLIENT_DISCONNECTED(null),

  /** The close of a client that awaits answers is found soon, or may have been hidden for long. */
  CLIENT_CLOSE_FOUND("client_disconnects"),
  CLIENT_CLOSE_FOUND_LATE("client_disconnects"),
  LOOP_STALLED(null),

  /** A stall of the event loop, by its length. */
  STALL_UNDER_100_MS("loop_stalls"),
  STALL_UNDER_300_MS("loop_stalls"),
  STALL_UNDER_1_S("loop_stalls"),
  STALL_OF_1_S_OR_MORE("loop_stalls"),

  /**
   * Reading from a connection, or delivering bytes that were read, is suspended after a protocol
   * error of the client.
   */
  READ_PAUSE_CLIENT_ERROR("read_pauses"),
  /** Reading is suspended because the client sent retries before their Retry-After had passed. */
  READ_PAUSE_EARLY_RETRY("read_pauses"),
  /** Reading is suspended because the connection exceeded its quota of requests under overload. */
  READ_PAUSE_FAIR_SHARE("read_pauses"),
  /** Reading is suspended because too many responses on the connection are pending. */
  READ_PAUSE_ANSWERS_OWED("read_pauses"),
  /** Reading is suspended because the client does not read its responses. */
  READ_PAUSE_ANSWERS_NOT_READ("read_pauses"),
  /** Reading is suspended because as many bytes are buffered as the node buffers at most. */
  READ_PAUSE_BUFFER_FULL("read_pauses"),
  /** Reading is suspended because memory is short and a response on the connection is pending. */
  READ_PAUSE_MEMORY_SHORT("read_pauses"),
  READ_RESUMED(null),

  /** A request is rejected before any server has run it. */
  REJECTED_ADMISSION("rejections"),
  REJECTED_MEMORY("rejections"),
  REJECTED_QUEUE("rejections"),
  REJECTED_POLICY("rejections"),
  REJECTED_EXPIRED("rejections"),
  REJECTED_SHUTDOWN("rejections"),
  /** A request whose client may have closed its connection behind bytes that are not read. */
  REJECTED_CLIENT_UNKNOWN("rejections"),

  /** This node closes a client's connection. */
  CLOSE_UNUSED("client_closes"),
  CLOSE_IDLE("client_closes"),
  CLOSE_PARTIAL_COMMAND("client_closes"),
  CLOSE_CROWDED("client_closes"),
  CLOSE_NO_ROOM("client_closes"),
  CLOSE_PROTOCOL_ERROR("client_closes"),
  CLOSE_VALUE_CUT_OFF("client_closes"),
  CLOSE_SLOW_READER("client_closes"),
  CLOSE_DRAIN("client_closes"),
  CLOSE_TIMEOUT("client_closes"),
  CLOSE_FAILURE("client_closes"),

  /** An invariant of requests was violated, or a violation of it was prevented. */
  VIOLATION_BEGUN_TWICE("violations"),
  VIOLATION_SENT_AFTER_END("violations"),
  VIOLATION_SENT_AFTER_TIME("violations"),
  VIOLATION_REPEATED("violations"),
  VIOLATION_SENT_TO_DRAINING("violations"),
  VIOLATION_ANSWERED_LATE("violations"),
  VIOLATION_REJECTED_AFTER_RUN("violations"),
  VIOLATION_ANSWERED_TWICE("violations"),
  VIOLATION_UNANSWERED("violations"),
  VIOLATION_CLOSED_UNANSWERED("violations"),

  /** A large value broke off, or did not arrive in time, before any of it was written. */
  VALUE_NOT_COMPLETED("values");

  /** Prefixes of event names that repeat the name of the event's metric. */
  private static final String[] METRIC_PREFIXES = {
    "ATTEMPT_",
    "RESULT_",
    "REPLY_",
    "SERVER_CLOSE_",
    "STALL_",
    "READ_PAUSE_",
    "REJECTED_",
    "CLIENT_CLOSE_",
    "CLOSE_",
    "VIOLATION_",
    "VALUE_",
  };

  private static final List<Event> COUNTED_EVENTS =
      Arrays.stream(values()).filter(event -> event.metric != null).toList();

  private final String metric;
  private final String label;

  Event(String metric) {
    this.metric = metric;
    this.label = name().toLowerCase(Locale.ROOT);
  }

  /** The events that a metric counts, grouped by metric. */
  public static List<Event> countedEvents() {
    return COUNTED_EVENTS;
  }

  /** The name of the event in histories. */
  public String label() {
    return label;
  }

  /** The metric that counts the event, null for none. */
  public String metric() {
    return metric;
  }

  /** The reason, as a label of the metric and in logs. */
  public String reason() {
    String name = name();
    for (String prefix : METRIC_PREFIXES) {
      if (name.startsWith(prefix)) {
        return name.substring(prefix.length()).toLowerCase(Locale.ROOT);
      }
    }
    return name.toLowerCase(Locale.ROOT);
  }
}
