package shalepaddle.engine;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Log;
import shalepaddle.model.Settings.Idempotency;

/**
 * The rules that hold for every request, checked at run time in the one place that each path
 * passes: before a request is begun, before an attempt is written, before an answer is given and
 * before a client's connection is ended.
 *
 * <p>These are invariants, not decisions: the policy and the dispatcher see to it that they hold by
 * other means, and a check that fails here is a fault of theirs. It is counted by kind, logged with
 * the request's history, and what would break the rule is not done.
 *
 * <p>Not thread-safe: it belongs to the engine's event loop.
 */
public final class InvariantGuard {
  /** The protocol's slack on a request's time. */
  private static final long ANSWER_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Histories that are logged a second: where many requests suffer alike, some tell of all. */
  private static final int HISTORIES_A_SECOND = 2;

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

  /** Whether a request may be begun: once, and not after its answer. */
  boolean mayBegin(Exchange request) {
    if (request.isEnded()) {
      return false;
    }
    if (request.isRouted()) {
      violated(Event.VIOLATION_BEGUN_TWICE, request.id(), null);
      return false;
    }
    return true;
  }

  /**
   * Whether an attempt may be written now: its request is open and has time left, where the request
   * may take effect no other attempt of it may have run, and its server wants it.
   *
   * @param drainingPastGrace whether its server has been draining for longer than the grace
   */
  public boolean maySend(Attempt attempt, long now, boolean drainingPastGrace) {
    Exchange request = attempt.exchange();
    Event violation = null;
    if (request.isEnded() || attempt.isEnded()) {
      violation = Event.VIOLATION_SENT_AFTER_END;
    } else if (now - request.deadlineNanos() > 0) {
      violation = Event.VIOLATION_SENT_AFTER_TIME;
    } else if (request.idempotency() == Idempotency.NOT_IDEMPOTENT && anotherMayHaveRun(attempt)) {
      violation = Event.VIOLATION_REPEATED;
    } else if (drainingPastGrace) {
      violation = Event.VIOLATION_SENT_TO_DRAINING;
    }
    if (violation != null) {
      violated(violation, request.id(), null);
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
   * The answer that a request may be given: a rejection promises that it has not run, which is not
   * said of one that may have.
   */
  Reply answer(Exchange request, Reply reply, long now) {
    if (now - request.clientDeadlineNanos() > ANSWER_SLACK_NANOS) {
      violated(Event.VIOLATION_ANSWERED_LATE, request.id(), null);
    }
    boolean rejected = reply instanceof Reply.Rejected;
    if (rejected && request.idempotency() == Idempotency.NOT_IDEMPOTENT && request.mayHaveRun()) {
      violated(Event.VIOLATION_REJECTED_AFTER_RUN, request.id(), null);
      return new Reply.Failed(true);
    }
    return reply;
  }

  /** A request that has its answer is given a second one, which is dropped. */
  public void answeredTwice(String requestId, String connection) {
    violated(Event.VIOLATION_ANSWERED_TWICE, requestId, connection);
  }

  /** A client has waited for its whole time and leaves without an answer. */
  public void unanswered(String requestId, String connection) {
    violated(Event.VIOLATION_UNANSWERED, requestId, connection);
  }

  /** This node ends a connection on which a request that was read has no answer. */
  public void closedUnanswered(String requestId, String connection) {
    violated(Event.VIOLATION_CLOSED_UNANSWERED, requestId, connection);
  }

  private boolean mayLog() {
    long now = clock.getAsLong() / SECOND_NANOS;
    if (now != second) {
      second = now;
      histories = 0;
    }
    return histories++ < HISTORIES_A_SECOND;
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
