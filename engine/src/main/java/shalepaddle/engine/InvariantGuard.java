package shalepaddle.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Log;
import shalepaddle.model.Settings.Idempotency;

/**
 * Checks the invariants of every request at run time: before a request is routed, before an attempt
 * is written, before an answer is given and before a client's connection is closed.
 *
 * <p>A failed check shows a bug in the policy or the engine, which are expected to preserve the
 * invariants by themselves. A violation is counted by kind and logged with the request's history.
 * Attempts and rejections that would violate an invariant are withheld; a late answer is still
 * given.
 *
 * <p>Owned by the event loop's thread.
 */
public final class InvariantGuard {
  /** How long after a request's deadline the protocol still permits its answer. */
  private static final long ANSWER_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Bounds the size of the log when one fault affects many requests. */
  private static final int MAX_HISTORIES_PER_SECOND = 2;

  private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final FlightRecorder recorder;
  private final Log log;
  private final LongSupplier clock;
  private long currentSecond;
  private int loggedHistories;

  InvariantGuard(FlightRecorder recorder, Log log, LongSupplier clock) {
    this.recorder = recorder;
    this.log = log;
    this.clock = clock;
  }

  /** Whether a request may be handed to the policy: only once, and not after its answer. */
  boolean mayRoute(Exchange exchange) {
    if (exchange.isEnded()) {
      return false;
    }
    if (exchange.isRouted()) {
      reportViolation(Event.VIOLATION_BEGUN_TWICE, exchange.id(), null);
      return false;
    }
    return true;
  }

  /**
   * Whether an attempt may be written now: the request is open and its deadline has not passed; if
   * it is not idempotent, no other attempt may have run; and the server accepts requests.
   *
   * @param isDrainingPastGrace whether the server has been draining for longer than the grace
   */
  public boolean maySend(Attempt attempt, long now, boolean isDrainingPastGrace) {
    Exchange exchange = attempt.exchange();
    Event violation = null;
    if (exchange.isEnded() || attempt.isEnded()) {
      violation = Event.VIOLATION_SENT_AFTER_END;
    } else if (now - exchange.deadlineNanos() > 0) {
      violation = Event.VIOLATION_SENT_AFTER_TIME;
    } else if (exchange.idempotency() == Idempotency.NOT_IDEMPOTENT && anotherMayHaveRun(attempt)) {
      violation = Event.VIOLATION_REPEATED;
    } else if (isDrainingPastGrace) {
      violation = Event.VIOLATION_SENT_TO_DRAINING;
    }
    if (violation != null) {
      reportViolation(violation, exchange.id(), null);
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
   * Checks an answer and returns the answer to give. A rejection promises that the request has not
   * run: the rejection of a request that is not idempotent and may have run is replaced by a
   * failure.
   */
  Reply checkAnswer(Exchange exchange, Reply reply, long now) {
    if (now - exchange.clientDeadlineNanos() > ANSWER_SLACK_NANOS) {
      reportViolation(Event.VIOLATION_ANSWERED_LATE, exchange.id(), null);
    }
    boolean isRejected = reply instanceof Reply.Rejected;
    if (isRejected
        && exchange.idempotency() == Idempotency.NOT_IDEMPOTENT
        && exchange.mayHaveRun()) {
      reportViolation(Event.VIOLATION_REJECTED_AFTER_RUN, exchange.id(), null);
      return new Reply.Failed(true);
    }
    return reply;
  }

  /** Reports a second answer to a request, which the caller drops. */
  public void reportAnsweredTwice(String requestId, String connection) {
    reportViolation(Event.VIOLATION_ANSWERED_TWICE, requestId, connection);
  }

  /** Reports a request without an answer whose client disconnected after the whole time budget. */
  public void reportUnanswered(String requestId, String connection) {
    reportViolation(Event.VIOLATION_UNANSWERED, requestId, connection);
  }

  /** Reports that this node closes a connection on which a request has no answer. */
  public void reportClosedUnanswered(String requestId, String connection) {
    reportViolation(Event.VIOLATION_CLOSED_UNANSWERED, requestId, connection);
  }

  private boolean mayLogHistory() {
    long nowSeconds = clock.getAsLong() / NANOS_PER_SECOND;
    if (nowSeconds != currentSecond) {
      currentSecond = nowSeconds;
      loggedHistories = 0;
    }
    return loggedHistories++ < MAX_HISTORIES_PER_SECOND;
  }

  private void reportViolation(Event kind, String requestId, String connection) {
    recorder.record(kind, requestId);
    if (!mayLogHistory()) {
      return;
    }
    log.writeLine(
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
