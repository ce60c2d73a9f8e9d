package shalepaddle.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.Settings;
import shalepaddle.overload.OverloadControl;

/**
 * The lifecycle of exchanges, from opening to the final answer and the outcome of the last attempt.
 * Every final answer is given by {@link #finish}, and every exchange is removed by {@link
 * #cleanUpIfEnded}.
 *
 * <p>Owned by the event loop's thread.
 */
final class ExchangeLifecycle {
  private static final int MAX_RECENT_WRITES = 4096;

  private final LoopClock clock;
  private final PolicyEventLoop policy;
  private final AttemptLifecycle attempts;
  private final AttemptDeadlines deadlines;
  private final InvariantGuard guard;
  private final FlightRecorder recorder;
  private final AnswerDelivery answers;
  private final OverloadControl overload;
  private final RequestSettings settings;

  /** Exchanges that have not ended or have an attempt in flight, by their ids. */
  private final Map<String, Exchange> openExchanges = new HashMap<>();

  private final RecentWrites recentWrites = new RecentWrites(MAX_RECENT_WRITES);

  private RequestQueue queue;

  /** Null if reads are not coalesced. */
  private CoalescedReads reads;

  ExchangeLifecycle(
      LoopClock clock,
      PolicyEventLoop policy,
      AttemptLifecycle attempts,
      AttemptDeadlines deadlines,
      InvariantGuard guard,
      FlightRecorder recorder,
      AnswerDelivery answers,
      OverloadControl overload,
      RequestSettings settings) {
    this.clock = clock;
    this.policy = policy;
    this.attempts = attempts;
    this.deadlines = deadlines;
    this.guard = guard;
    this.recorder = recorder;
    this.answers = answers;
    this.overload = overload;
    this.settings = settings;
  }

  /** Sets the queue and the request coalescing. Called once, before the first request. */
  void connect(RequestQueue requestQueue, CoalescedReads coalescedReads) {
    queue = requestQueue;
    reads = coalescedReads;
  }

  /** The exchanges that are open now. */
  Collection<Exchange> open() {
    return openExchanges.values();
  }

  /** Whether a request with this id has ended, may have run, and must not run twice. */
  boolean isRecentWrite(String requestId) {
    return recentWrites.contains(requestId);
  }

  private void remember(Exchange exchange) {
    if (exchange.idempotency() != Settings.Idempotency.IDEMPOTENT && exchange.mayHaveRun()) {
      recentWrites.add(exchange.id());
    }
  }

  /** The open exchange with this id, null if there is none. */
  Exchange find(String requestId) {
    return openExchanges.get(requestId);
  }

  /**
   * Opens an exchange; {@link #start} must be called next.
   *
   * @param deadlineNanos when the request must be answered
   * @param clientDeadlineNanos when the client stops waiting
   */
  Exchange open(Call call, long deadlineNanos, long clientDeadlineNanos) {
    Exchange exchange =
        new Exchange(
            call,
            deadlineNanos,
            clientDeadlineNanos,
            settings.maxAttempts(),
            settings.allowsParallelAttempts(),
            settings.idempotency(call.request().serviceClass()));
    openExchanges.put(exchange.id(), exchange);
    return exchange;
  }

  /**
   * Starts an exchange; its answer may be given before this returns. After a stall the start is
   * delayed until the backlog is read, so that the policy knows what happened during the stall and
   * no request is written to a connection that the server has closed.
   */
  void start(Exchange exchange, Request request) {
    clock.runWhenBacklogRead(() -> queue.routeOrEnqueue(exchange, request));
  }

  /** Hands an exchange to the policy. */
  void route(Exchange exchange, Request request) {
    if (!guard.mayRoute(exchange)) {
      return;
    }
    exchange.markRouted();
    double remainingSeconds = (exchange.deadlineNanos() - clock.now()) / 1e9;
    Request routedRequest = request.withBudget(Math.max(0, remainingSeconds));
    policy.post(
        (router, now) -> {
          try {
            router.onRequest(now, routedRequest);
          } catch (RuntimeException | StackOverflowError e) {
            policy.logFailure(e);
            fail(exchange);
          }
        });
  }

  /** Rejects an exchange that waited too long in the queue and was not routed. */
  void rejectQueued(Exchange exchange) {
    recorder.record(Event.REJECTED_QUEUE, exchange.id());
    end(exchange, new Reply.Rejected(overload.retryAfterMillis()));
  }

  /** Extends the deadline of an exchange and of its attempts in flight. */
  void extend(Exchange exchange, long deadlineNanos) {
    if (exchange.isEnded() || deadlineNanos - exchange.deadlineNanos() <= 0) {
      return;
    }
    long loopNow = clock.now();
    deadlines.extend(exchange, deadlineNanos, loopNow);
    if (exchange.isRouted()) {
      policy.post(
          (router, now) ->
              router.extendDeadline(exchange.id(), now + (deadlineNanos - loopNow) / 1e9));
    }
  }

  /** The answer to a client whose deadline has passed while others still await the exchange. */
  Reply expiredReply(Exchange exchange) {
    return exchange.hasAttemptsInFlight()
        ? new Reply.Failed(exchange.mayHaveRun())
        : new Reply.Rejected(overload.retryAfterMillis());
  }

  /** The Retry-After in milliseconds of requests that are rejected now. */
  long retryAfterMillis() {
    return overload.retryAfterMillis();
  }

  /** Handles a disconnect of the client, or of the last client of a shared exchange. */
  void clientDisconnected(Exchange exchange) {
    if (exchange.isEnded()) {
      return;
    }
    exchange.markDisconnected();
    recorder.record(Event.CLIENT_DISCONNECTED, exchange.id());
    answers.clientDisconnected(exchange.call());
    policy.post(
        (router, now) -> {
          router.onClientDisconnected(now, exchange.id());
          cleanUpIfEnded(exchange);
        });
  }

  /**
   * Withdraws an attempt that must not be written, since its client may have closed its connection.
   * Answers the request unless another attempt of it is in flight.
   */
  void clientUnknown(Attempt attempt) {
    Exchange exchange = attempt.exchange();
    if (!exchange.isEnded() && !exchange.hasOtherInFlight(attempt)) {
      recorder.record(Event.REJECTED_CLIENT_UNKNOWN, exchange.id());
      end(exchange, replyWithoutAnswer(exchange));
    }
    attempts.returnUnwritten(attempt);
  }

  /** A rejection of a request that may be sent again, and otherwise a failure. */
  Reply replyWithoutAnswer(Exchange exchange) {
    boolean mayBeRepeated =
        exchange.idempotency() == Settings.Idempotency.IDEMPOTENT || !exchange.mayHaveRun();
    return mayBeRepeated ? new Reply.Rejected(overload.retryAfterMillis()) : new Reply.Failed(true);
  }

  /** Gives the final answer of an exchange that has not ended. */
  void end(Exchange exchange, Reply reply) {
    if (!exchange.isEnded()) {
      finish(exchange, reply);
      cleanUpIfEnded(exchange);
    }
  }

  /** Fails an exchange that has not ended. */
  void fail(Exchange exchange) {
    end(exchange, new Reply.Failed(exchange.mayHaveRun()));
  }

  /** Answers every open exchange, with a rejection if it cannot have run. */
  void answerAll() {
    for (Exchange exchange : List.copyOf(openExchanges.values())) {
      end(exchange, exchange.mayHaveRun() ? new Reply.Failed(true) : new Reply.Rejected(0));
      for (Attempt attempt : exchange.attempts()) {
        attempts.withdraw(attempt, Outcome.Result.CANCELLED);
      }
    }
  }

  /**
   * Gives the final answer. The caller ensures that no answer was given before, and calls {@link
   * #cleanUpIfEnded} for the cleanup.
   */
  void finish(Exchange exchange, Reply reply) {
    Reply checkedReply = guard.checkAnswer(exchange, reply, clock.now());
    exchange.markAnswered();
    if (reads != null) {
      reads.invalidateFlights(exchange);
    }
    answers.answer(exchange.call(), checkedReply);
  }

  /**
   * Cleans up an exchange that has ended, and removes it once no attempt is in flight. Attempts
   * that have not begun are withdrawn even if the settings forbid cancellation, whether they wait
   * for a connection or are written in part: they must not begin once the request is answered or
   * its client has disconnected.
   */
  void cleanUpIfEnded(Exchange exchange) {
    if (!exchange.isEnded()) {
      return;
    }
    // Iterates by index, since the list may grow: the policy may respond to an outcome with another
    // attempt, which ends immediately.
    for (int i = 0; i < exchange.attempts().size(); i++) {
      attempts.withdrawUnlessBegun(exchange.attempts().get(i));
    }
    exchange.call().payload().release();
    if (!exchange.hasAttemptsInFlight() && openExchanges.remove(exchange.id(), exchange)) {
      remember(exchange);
    }
  }
}
