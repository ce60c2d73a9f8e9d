package shalepaddle.engine;

import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.LoadReport;
import shalepaddle.model.Observation;
import shalepaddle.model.Outcome;

/**
 * The life of an attempt, from the policy's decision to forward a request to the outcome that the
 * policy is notified of. Every attempt ends in {@link #end}, once.
 *
 * <p>Owned by the event loop's thread.
 */
final class AttemptLifecycle {
  private final LoopClock clock;
  private final PolicyEventLoop policy;
  private final FlightRecorder recorder;
  private final RequestMetrics metrics;
  private AttemptDeadlines deadlines;
  private ExchangeLifecycle exchanges;
  private Upstream upstream;

  /** Null where no other process can take this one's place. */
  private WarmStartLog warmStartLog;

  AttemptLifecycle(
      LoopClock clock, PolicyEventLoop policy, FlightRecorder recorder, RequestMetrics metrics) {
    this.clock = clock;
    this.policy = policy;
    this.recorder = recorder;
    this.metrics = metrics;
  }

  /** Joins it with the exchanges that it serves; once, before the first request. */
  void connect(AttemptDeadlines attemptDeadlines, ExchangeLifecycle exchangeLifecycle) {
    deadlines = attemptDeadlines;
    exchanges = exchangeLifecycle;
  }

  /** From now on attempts are written there. */
  void connect(Upstream servers) {
    upstream = servers;
  }

  /** From now on observed outcomes are also recorded there. */
  void recordObservationsIn(WarmStartLog log) {
    warmStartLog = log;
  }

  /**
   * Forwards a request to a server.
   *
   * @param writeWithinSeconds seconds from now within which its last byte must be written, or it is
   *     not sent; may be infinite
   */
  void send(Exchange exchange, long server, double writeWithinSeconds) {
    long now = clock.now();
    long deadline = AttemptDeadlines.deadlineOf(exchange);
    Attempt attempt =
        new Attempt(
            exchange,
            exchange.attempts().size(),
            server,
            now,
            deadline,
            writeWithinSeconds,
            clock.stalledNanos());
    recorder.record(eventOfNextAttempt(exchange), exchange.id());
    boolean hasUsedAllAttempts = !exchange.hasAttemptLeft();
    exchange.add(attempt);
    if (exchange.isEnded() || hasUsedAllAttempts || deadlines.isTooLateToSend(deadline, now)) {
      end(attempt, Outcome.Result.NOT_SENT);
      return;
    }
    deadlines.startResponseTimer(attempt, now);
    deadlines.startWriteTimer(attempt, now);
    clock.whenBacklogRead(() -> upstream.send(attempt));
  }

  /** Whether the next attempt is the first one, a hedge or a retry, as a recorded event. */
  private static Event eventOfNextAttempt(Exchange exchange) {
    if (exchange.attempts().isEmpty()) {
      return Event.ATTEMPT_FIRST;
    }
    return exchange.hasAttemptsInFlight() ? Event.ATTEMPT_HEDGE : Event.ATTEMPT_RETRY;
  }

  /** The last byte was handed to the socket: from now on it may run. */
  void written(Attempt attempt) {
    attempt.markWritten();
    recorder.record(Event.ATTEMPT_WRITTEN, attempt.exchange().id());
    attempt.cancelWriteTimer();
    metrics.forwarded();
  }

  /**
   * Whether an attempt that has provably not run may be written once more to its server. It then
   * counts as one more of its exchange, and waits for a connection.
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

  /** A complete response has come. */
  void responseReceived(Attempt attempt, ServerReply reply) {
    Exchange exchange = attempt.exchange();
    if (reply.result() == Outcome.Result.OK && !exchange.isEnded()) {
      exchanges.finish(
          exchange,
          reply.value() != null
              ? new Reply.Value(reply.value().retain())
              : new Reply.Receipt(reply.receipt()));
    }
    end(attempt, reply.result(), reply.note(), reply.load());
  }

  /**
   * The head of a large value has come, which ends the attempt: there is no deadline and no further
   * attempt from then on.
   *
   * @return false if nobody wants the value
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
          new Reply.Streamed(reply.length(), new MeteredValueSource(metrics, service, source)));
    } else {
      exchange.collect();
      source.start(new ValueAggregator(reply.length(), value -> exchanges.finish(exchange, value)));
    }
    end(attempt, reply.head().result(), reply.head().note(), reply.head().load());
    return true;
  }

  /**
   * Takes an attempt back that has not been written, wherever it waits: for a connection, for
   * capacity or behind bytes that the kernel has not accepted. It says nothing of its server.
   */
  void returnUnwritten(Attempt attempt) {
    if (!attempt.isWritten()) {
      withdraw(attempt, Outcome.Result.NOT_SENT);
    }
  }

  /**
   * The attempt's deadline has passed. An attempt that has no connection has provably not run, and
   * ends as a failure to connect.
   */
  void timeOut(Attempt attempt) {
    boolean unsent = attempt.carrier() == null;
    withdraw(attempt, true, unsent ? Outcome.Result.CONNECT_FAILED : Outcome.Result.TIMEOUT);
  }

  /** Stops waiting for an attempt, unless it has ended. */
  void withdraw(Attempt attempt, Outcome.Result result) {
    withdraw(attempt, false, result);
  }

  private void withdraw(Attempt attempt, boolean overdue, Outcome.Result result) {
    if (!attempt.isEnded()) {
      upstream.withdraw(attempt, overdue);
      end(attempt, result);
    }
  }

  /** An attempt has ended without a response, or with one that answers nobody. */
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
    exchange.attemptEnded(result);
    double elapsed = (clock.refresh() - attempt.sentAtNanos()) / 1e9;
    double stalled = (clock.stalledNanos() - attempt.stalledBeforeNanos()) / 1e9;
    policy.post(
        (router, now) -> {
          exchange.outcomeReported();
          Outcome outcome =
              new Outcome(
                  exchange.id(),
                  attempt.number(),
                  attempt.server(),
                  result,
                  elapsed,
                  stalled,
                  exchange.isEnded(),
                  cacheStatus,
                  load);
          if (warmStartLog != null && result != Outcome.Result.NOT_SENT) {
            warmStartLog.add(new Observation(now, attempt.call().request(), outcome));
          }
          try {
            router.onOutcome(now, outcome);
          } finally {
            exchanges.settle(exchange);
          }
        });
  }
}
