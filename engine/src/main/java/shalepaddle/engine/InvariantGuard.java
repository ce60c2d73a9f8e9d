package shalepaddle.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Log;
import shalepaddle.model.Settings.Idempotency;

/**
 * Checks the invariants of every request at run time, in the places that each path passes: before a
 * request is routed, before an attempt is written, before an answer is given and before a client's
 * connection is closed.
 *
 * <p>A failed check is a fault of the policy or of the engine, which see to it by other means that
 * the invariants hold. It is counted by kind and logged with the request's history, and what would
 * violate the invariant is not done.
 *
 * <p>Owned by the event loop's thread.
 */
public final class InvariantGuard {
  /** How late the protocol lets an answer be. */
  private static final long ANSWER_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Bounds the log when one fault affects many requests. */
  private static final int MAX_HISTORIES_PER_SECOND = 2;

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final FlightRecorder recorder;
  private final Log log;
  private final LongSupplier clock;
  private long second;
  private int histories;

  InvariantGuard(FlightRecorder recorder, Log log, LongSupplier clock) {
    this.recorder = recorder;
    this.log = log;
    this.clock = clock;
  }

  /** Whether a request may be handed to the policy: once, and not after its answer. */
  boolean mayRoute(Exchange exchange) {
    if (exchange.isEnded()) {
      return false;
    }
    if (exchange.isRouted()) {
      violated(Event.VIOLATION_BEGUN_TWICE, exchange.id(), null);
      return false;
    }
    return true;
  }

  /**
   * Whether an attempt may be written now: its request is open and has time left, no other attempt
   * of a request that is not idempotent may have run, and its server accepts requests.
   *
   * @param drainingPastGrace whether its server has been draining for longer than the grace
   */
  public boolean maySend(Attempt attempt, long now, boolean drainingPastGrace) {
    Exchange exchange = attempt.exchange();
    Event violation = null;
    if (exchange.isEnded() || attempt.isEnded()) {
      violation = Event.VIOLATION_SENT_AFTER_END;
    } else if (now - exchange.deadlineNanos() > 0) {
      violation = Event.VIOLATION_SENT_AFTER_TIME;
    } else if (exchange.idempotency() == Idempotency.NOT_IDEMPOTENT && anotherMayHaveRun(attempt)) {
      violation = Event.VIOLATION_REPEATED;
    } else if (drainingPastGrace) {
      violation = Event.VIOLATION_SENT_TO_DRAINING;
    }
    if (violation != null) {
      violated(violation, exchange.id(), null);
    }
    return violation == null;
  }

  private static boolean anotherMayHaveRun(Attempt attempt) {
    for (Attempt other : attempt.exchange().attempts()) {
      if (other != attempt && other.mayHaveRun()) {
        return true;
      }
    }
    return false;
  }

  /**
   * The answer that a request may be given. A rejection promises that the request has not run;
   * where one that is not idempotent may have, it becomes a failure.
   */
  Reply answer(Exchange exchange, Reply reply, long now) {
    if (now - exchange.clientDeadlineNanos() > ANSWER_SLACK_NANOS) {
      violated(Event.VIOLATION_ANSWERED_LATE, exchange.id(), null);
    }
    boolean rejected = reply instanceof Reply.Rejected;
    if (rejected && exchange.idempotency() == Idempotency.NOT_IDEMPOTENT && exchange.mayHaveRun()) {
      violated(Event.VIOLATION_REJECTED_AFTER_RUN, exchange.id(), null);
      return new Reply.Failed(true);
    }
    return reply;
  }

  /** A second answer was given to a request; it is dropped. */
  public void answeredTwice(String requestId, String connection) {
    violated(Event.VIOLATION_ANSWERED_TWICE, requestId, connection);
  }

  /** A client leaves without an answer after its complete time budget. */
  public void unanswered(String requestId, String connection) {
    violated(Event.VIOLATION_UNANSWERED, requestId, connection);
  }

  /** This node closes a connection on which a request that was read has no answer. */
  public void closedUnanswered(String requestId, String connection) {
    violated(Event.VIOLATION_CLOSED_UNANSWERED, requestId, connection);
  }

  private boolean mayLog() {
    long now = clock.getAsLong() / SECOND_NANOS;
    if (now != second) {
      second = now;
      histories = 0;
    }
    return histories++ < MAX_HISTORIES_PER_SECOND;
  }

  private void violated(Event kind, String requestId, String connection) {
    recorder.record(kind, requestId);
    if (!mayLog()) {
      return;
    }
    log.line(
        () ->
            "event=violation kind="
                + kind.reason()
                + " request_id="
                + requestId
                + (connection == null ? "" : " connection=" + connection)
                + " history=["
                + recorder.history(requestId, connection)
                + "]");
  }
}
