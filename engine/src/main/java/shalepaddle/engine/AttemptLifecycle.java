package shalepaddle.engine;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;
import shalepaddle.model.LoadReport;
import shalepaddle.model.Observation;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings.Idempotency;

/**
 * The lifecycle of attempts, from the policy's decision to forward a request to the outcome
 * reported to the policy. Every attempt is ended by {@link #end}, once.
 *
 * <p>Owned by the event loop's thread.
 */
final class AttemptLifecycle {
  /** How long an attempt waits at most until its client is known to be connected. */
  private static final long MAX_CLIENT_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The time until a client that was not known to be connected is checked again. */
  private static final long CLIENT_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private static final Map<Outcome.Result, Event> RESULT_EVENTS =
      new EnumMap<>(Outcome.Result.class);

  static {
    for (Outcome.Result result : Outcome.Result.values()) {
      RESULT_EVENTS.put(result, Event.valueOf("RESULT_" + result.name()));
    }
  }

  private final LoopClock clock;
  private final Timers timers;
  private final PolicyEventLoop policy;
  private final FlightRecorder recorder;
  private final RequestMetrics metrics;
  private final Log log;
  private AttemptDeadlines deadlines;
  private ExchangeLifecycle exchanges;
  private Upstream upstream;

  /** Null if no other process can replace this one. */
  private WarmStartLog warmStartLog;

  AttemptLifecycle(
      LoopClock clock,
      Timers timers,
      PolicyEventLoop policy,
      FlightRecorder recorder,
      RequestMetrics metrics,
      Log log) {
    this.log = log;
    this.clock = clock;
    this.timers = timers;
    this.policy = policy;
    this.recorder = recorder;
    this.metrics = metrics;
  }

  /** Sets the deadlines and the exchanges of attempts. Called once, before the first request. */
  void connect(AttemptDeadlines attemptDeadlines, ExchangeLifecycle exchangeLifecycle) {
    deadlines = attemptDeadlines;
    exchanges = exchangeLifecycle;
  }

  /** Sets the connections that attempts are written to. */
  void connect(Upstream servers) {
    upstream = servers;
  }

  /** Sets the log in which observed outcomes are recorded from now on. */
  void recordObservationsIn(WarmStartLog log) {
    warmStartLog = log;
  }

  /**
   * Forwards a request to a server.
   *
   * @param writeWithinSeconds the attempt is not sent unless its last byte is written within this
   *     time from now; may be infinite
   */
  void send(Exchange exchange, long server, double writeWithinSeconds) {
    long now = clock.now();
    long deadlineNanos = AttemptDeadlines.deadlineOf(exchange);
    Attempt attempt =
        new Attempt(
            exchange,
            exchange.attempts().size(),
            server,
            now,
            deadlineNanos,
            writeWithinSeconds,
            clock.stalledNanos());
    recorder.record(eventOfNextAttempt(exchange), exchange.id());
    boolean hasUsedAllAttempts = !exchange.hasAttemptLeft();
    exchange.add(attempt);
    if (exchange.isEnded() || hasUsedAllAttempts || deadlines.isTooLateToSend(deadlineNanos, now)) {
      end(attempt, Outcome.Result.NOT_SENT);
      return;
    }
    deadlines.startResponseTimer(attempt, now);
    deadlines.startWriteTimer(attempt, now);
    clock.runWhenBacklogRead(() -> upstream.send(attempt));
  }

  /** The event to record for the next attempt: the first attempt, a hedge or a retry. */
  private static Event eventOfNextAttempt(Exchange exchange) {
    if (exchange.attempts().isEmpty()) {
      return Event.ATTEMPT_FIRST;
    }
    return exchange.hasAttemptsInFlight() ? Event.ATTEMPT_HEDGE : Event.ATTEMPT_RETRY;
  }

  /**
   * Checks right before an attempt is written that its client has not closed its connection. If
   * that is known only later, the attempt is sent again then. If it cannot be known, or not soon,
   * the attempt is not sent, and its request is answered unless another attempt is in flight.
   *
   * @return whether the attempt may be written now
   */
  boolean confirmClient(Attempt attempt) {
    long now = clock.now();
    ClientPresence presence = attempt.exchange().call().sink().clientPresence(now);
    if (presence == ClientPresence.CONNECTED) {
      attempt.clientConfirmed(now);
      return !attempt.isEnded();
    }
    if (presence == ClientPresence.UNCONFIRMED
        && attempt.heldNanos(now) <= MAX_CLIENT_CHECK_NANOS) {
      timers.runNoEarlierThan(CLIENT_CHECK_INTERVAL_NANOS, () -> upstream.send(attempt));
    } else {
      exchanges.clientUnknown(attempt);
    }
    return false;
  }

  /** Records that the last byte was handed to the socket: from now on the attempt may run. */
  void onWritten(Attempt attempt) {
    attempt.markWritten();
    recorder.record(Event.ATTEMPT_WRITTEN, attempt.exchange().id());
    attempt.cancelWriteTimer();
    metrics.countForwarded();
    logIfWrittenLate(attempt);
  }

  /** Logs an attempt that was written so long after the check of its client that it may be late. */
  private void logIfWrittenLate(Attempt attempt) {
    long lateNanos = clock.refresh() - attempt.clientConfirmedAtNanos();
    if (lateNanos > MAX_CLIENT_CHECK_NANOS) {
      recorder.record(Event.ATTEMPT_WRITTEN_LATE, attempt.exchange().id());
      log.writeLine(
          () ->
              "event=attempt_written_late request_id="
                  + attempt.exchange().id()
                  + " after_check_ms="
                  + TimeUnit.NANOSECONDS.toMillis(lateNanos));
    }
  }

  /**
   * Prepares an attempt that has provably not run for being written again to its server, if its
   * exchange has an attempt left. The rewrite counts as an attempt of the exchange.
   *
   * @return whether the attempt may be written again
   */
  boolean prepareRewrite(Attempt attempt) {
    Exchange exchange = attempt.exchange();
    if (exchange.isEnded() || !exchange.hasAttemptLeft()) {
      return false;
    }
    exchange.countRewrite();
    attempt.markUnwritten();
    deadlines.startWriteTimer(attempt, clock.now());
    return true;
  }

  /** Handles a complete response. */
  void responseReceived(Attempt attempt, ServerReply reply) {
    Exchange exchange = attempt.exchange();
    if (reply.result() == Outcome.Result.OK && !exchange.isEnded()) {
      exchanges.finish(exchange, answerOf(exchange, reply));
    }
    end(attempt, reply.result(), reply.cacheStatus(), reply.load());
  }

  /** The answer by a server's reply; a rejection or failure if there is no memory for the value. */
  private Reply answerOf(Exchange exchange, ServerReply reply) {
    if (reply.value() == null) {
      return new Reply.Receipt(reply.receipt());
    }
    if (!reply.isValueDiscarded()
        && exchange.call().sink().acceptsValue(reply.value().readableBytes())) {
      return new Reply.Value(reply.value().retain());
    }
    recorder.record(Event.REJECTED_MEMORY, exchange.id());
    return exchanges.replyWithoutAnswer(exchange);
  }

  /**
   * Handles a reply without a request id that may be a copy of an earlier one. It ends the attempt
   * only if the request may be repeated although the attempt may still run, or is not repeated
   * after this result; otherwise {@link #replyConfirmed} ends it.
   *
   * @return whether the attempt has ended
   */
  boolean unconfirmedReplyReceived(Attempt attempt, ServerReply reply) {
    if (attempt.isEnded()) {
      return true;
    }
    Exchange exchange = attempt.exchange();
    Outcome.Result result = resultOfUnconfirmed(exchange, reply.result());
    if (result == null) {
      recorder.record(Event.REPLY_UNCONFIRMED, exchange.id());
      return false;
    }
    end(attempt, result, reply.cacheStatus(), reply.load());
    return true;
  }

  /** The result that an unconfirmed reply proves, null if the attempt must not end by it. */
  private static Outcome.Result resultOfUnconfirmed(Exchange exchange, Outcome.Result result) {
    boolean isNotIdempotent = exchange.idempotency() == Idempotency.NOT_IDEMPOTENT;
    if (result != Outcome.Result.SERVER_BUSY) {
      return isNotIdempotent || exchange.allowsParallelAttempts() ? result : null;
    }
    if (isNotIdempotent || !exchange.allowsParallelAttempts()) {
      return null;
    }
    return exchange.idempotency() == Idempotency.IDEMPOTENT
        ? result
        : Outcome.Result.MALFORMED_RESPONSE;
  }

  /** Ends an attempt whose answer is known now, though no reply was received for it alone. */
  void replyConfirmed(Attempt attempt, Outcome.Result result) {
    if (!attempt.isEnded()) {
      recorder.record(Event.REPLY_CONFIRMED, attempt.exchange().id(), result.name());
      end(attempt, result);
    }
  }

  /**
   * Handles the head of a large value, which ends the attempt: from then on there is no deadline
   * and no further attempt.
   *
   * @return false if the value is not needed any more
   */
  boolean responseReceived(Attempt attempt, LargeReply reply, ValueSource source) {
    Exchange exchange = attempt.exchange();
    if (attempt.isEnded() || exchange.isEnded()) {
      return false;
    }
    if (exchange.call().sink().acceptsStream()) {
      String service = exchange.call().request().serviceClass();
      exchanges.finish(
          exchange,
          new Reply.Streamed(reply.valueBytes(), new MeteredValueSource(metrics, service, source)));
    } else {
      exchange.markCollecting();
      source.start(
          new ValueAggregator(reply.valueBytes(), value -> exchanges.finish(exchange, value)));
    }
    end(attempt, reply.head().result(), reply.head().cacheStatus(), reply.head().load());
    return true;
  }

  /**
   * Withdraws an attempt that has not been written completely, whether it waits for a connection,
   * for capacity or for the kernel to accept its bytes. Its outcome does not count against the
   * server.
   */
  void returnUnwritten(Attempt attempt) {
    if (!attempt.isWritten()) {
      withdraw(attempt, Outcome.Result.NOT_SENT);
    }
  }

  /**
   * Withdraws an attempt whose request has ended, unless it has begun. What has begun continues:
   * the settings may forbid to cancel it.
   */
  void withdrawUnlessBegun(Attempt attempt) {
    if (attempt.connection() != null && attempt.isWritten()) {
      attempt.connection().withdrawUndelivered(attempt);
    } else {
      withdraw(attempt, Outcome.Result.NOT_SENT);
    }
  }

  /**
   * Ends an attempt whose deadline has passed. An attempt without a connection has provably not
   * run, and ends as a failure to connect.
   */
  void timeOut(Attempt attempt) {
    boolean isUnsent = attempt.connection() == null;
    withdraw(attempt, true, isUnsent ? Outcome.Result.CONNECT_FAILED : Outcome.Result.TIMEOUT);
  }

  /** Stops waiting for an attempt that has not ended. */
  void withdraw(Attempt attempt, Outcome.Result result) {
    withdraw(attempt, false, result);
  }

  private void withdraw(Attempt attempt, boolean isOverdue, Outcome.Result result) {
    if (!attempt.isEnded()) {
      upstream.withdraw(attempt, isOverdue);
      end(attempt, result);
    }
  }

  /** Ends an attempt without a response, or with one that does not answer the request. */
  void end(Attempt attempt, Outcome.Result result) {
    end(attempt, result, Outcome.CacheStatus.NONE, null);
  }

  private void end(
      Attempt attempt, Outcome.Result result, Outcome.CacheStatus cacheStatus, LoadReport load) {
    if (attempt.isEnded()) {
      return;
    }
    Exchange exchange = attempt.exchange();
    attempt.end(result.provesNotRun());
    recorder.record(Event.ATTEMPT_ENDED, exchange.id(), result.name());
    recorder.count(RESULT_EVENTS.get(result), 1);
    exchange.attemptEnded(result);
    double elapsedSeconds = (clock.refresh() - attempt.sentAtNanos()) / 1e9;
    double stalledSeconds = (clock.stalledNanos() - attempt.stalledBeforeNanos()) / 1e9;
    policy.post(
        (router, now) -> {
          exchange.outcomeReported();
          Outcome outcome =
              new Outcome(
                  exchange.id(),
                  attempt.number(),
                  attempt.server(),
                  result,
                  elapsedSeconds,
                  stalledSeconds,
                  exchange.isEnded(),
                  cacheStatus,
                  load);
          if (warmStartLog != null && result != Outcome.Result.NOT_SENT) {
            warmStartLog.add(new Observation(now, attempt.call().request(), outcome));
          }
          try {
            router.onOutcome(now, outcome);
          } finally {
            exchanges.cleanUpIfEnded(exchange);
          }
        });
  }
}
