package shalepaddle.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Log;
import shalepaddle.model.Request;
import shalepaddle.model.Settings.Idempotency;

/** Violates each invariant once, and expects that it is counted, logged and prevented. */
class InvariantGuardTest {
  private static final long DEADLINE_NANOS = 1_000_000_000L;
  private static final long SLACK_NANOS = 50_000_000L;

  private final List<String> logLines = new ArrayList<>();
  private final FlightRecorder recorder = new FlightRecorder(() -> 0);
  private final InvariantGuard guard =
      new InvariantGuard(recorder, new Log(Ticker.systemTicker(), logLines::add), () -> 0);

  private static Exchange exchange(Idempotency idempotency) {
    Request request = new Request("id1", "key", "put", null, 1, 0, 0, false, true);
    return new Exchange(
        new Call(request, null, null), DEADLINE_NANOS, DEADLINE_NANOS, 3, true, idempotency);
  }

  private static Attempt attempt(Exchange exchange) {
    Attempt attempt =
        new Attempt(
            exchange,
            exchange.attempts().size(),
            1,
            0,
            DEADLINE_NANOS,
            Double.POSITIVE_INFINITY,
            0);
    exchange.add(attempt);
    return attempt;
  }

  private void assertViolated(Event kind) {
    assertEquals(1, recorder.count(kind));
    assertEquals(1, logLines.size());
    assertTrue(
        logLines.get(0).contains("kind=" + kind.reason() + " request_id=id1"), logLines.get(0));
  }

  @Test
  void permitsActionsThatViolateNoInvariant() {
    Exchange exchange = exchange(Idempotency.NOT_IDEMPOTENT);
    assertTrue(guard.mayRoute(exchange));
    assertTrue(guard.maySend(attempt(exchange), DEADLINE_NANOS, false));
    Reply reply = new Reply.Rejected(0);
    assertEquals(reply, guard.checkAnswer(exchange, reply, DEADLINE_NANOS + SLACK_NANOS));
    assertEquals(List.of(), logLines);
  }

  @Test
  void withholdsSecondAttemptOfNonIdempotentRequestThatMayHaveRun() {
    Exchange exchange = exchange(Idempotency.NOT_IDEMPOTENT);
    attempt(exchange).markWritten();
    assertFalse(guard.maySend(attempt(exchange), 0, false));
    assertViolated(Event.VIOLATION_REPEATED);
  }

  @Test
  void permitsSecondAttemptWhenFirstHasProvablyNotRun() {
    Exchange exchange = exchange(Idempotency.NOT_IDEMPOTENT);
    Attempt firstAttempt = attempt(exchange);
    firstAttempt.markWritten();
    firstAttempt.end(true);
    assertTrue(guard.maySend(attempt(exchange), 0, false));
  }

  @Test
  void withholdsAttemptAfterAnswer() {
    Exchange exchange = exchange(Idempotency.IDEMPOTENT);
    Attempt attempt = attempt(exchange);
    exchange.markAnswered();
    assertFalse(guard.maySend(attempt, 0, false));
    assertViolated(Event.VIOLATION_SENT_AFTER_END);
  }

  @Test
  void withholdsAttemptAfterDeadline() {
    assertFalse(
        guard.maySend(attempt(exchange(Idempotency.IDEMPOTENT)), DEADLINE_NANOS + 1, false));
    assertViolated(Event.VIOLATION_SENT_AFTER_TIME);
  }

  /**
   * A connection calls {@code isTooLateToWrite} before it calls the guard: an attempt that expired
   * while it was queued is returned to the dispatcher, which is no violation.
   */
  @Test
  void isTooLateToWriteAtDeadlineOfAttempt() {
    Attempt attempt = attempt(exchange(Idempotency.IDEMPOTENT));
    assertFalse(attempt.isTooLateToWrite(DEADLINE_NANOS - 1));
    assertTrue(attempt.isTooLateToWrite(DEADLINE_NANOS));
    assertEquals(0, logLines.size());
  }

  @Test
  void withholdsAttemptFromServerDrainingPastItsGrace() {
    assertFalse(guard.maySend(attempt(exchange(Idempotency.IDEMPOTENT)), 0, true));
    assertViolated(Event.VIOLATION_SENT_TO_DRAINING);
  }

  @Test
  void replacesRejectionByFailureWhenRequestMayHaveRun() {
    Exchange exchange = exchange(Idempotency.NOT_IDEMPOTENT);
    attempt(exchange).markWritten();
    assertInstanceOf(Reply.Failed.class, guard.checkAnswer(exchange, new Reply.Rejected(0), 0));
    assertViolated(Event.VIOLATION_REJECTED_AFTER_RUN);
  }

  @Test
  void countsLateAnswerAndStillReturnsIt() {
    Reply reply = new Reply.Failed(false);
    assertEquals(
        reply,
        guard.checkAnswer(
            exchange(Idempotency.IDEMPOTENT), reply, DEADLINE_NANOS + SLACK_NANOS + 1));
    assertViolated(Event.VIOLATION_ANSWERED_LATE);
  }

  @Test
  void countsAllViolationsAndLogsTwoHistoriesPerSecond() {
    for (int i = 0; i < 100; i++) {
      guard.checkAnswer(
          exchange(Idempotency.IDEMPOTENT),
          new Reply.Failed(false),
          DEADLINE_NANOS + SLACK_NANOS + 1);
    }
    assertEquals(100, recorder.count(Event.VIOLATION_ANSWERED_LATE));
    assertEquals(2, logLines.size());
  }

  @Test
  void mayRouteRequestOnlyOnce() {
    Exchange exchange = exchange(Idempotency.IDEMPOTENT);
    exchange.markRouted();
    assertFalse(guard.mayRoute(exchange));
    assertViolated(Event.VIOLATION_BEGUN_TWICE);
  }
}
