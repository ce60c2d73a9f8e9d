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
import shalepaddle.overload.OverloadControl;

/**
 * The life of an exchange, from the moment at which it is opened to its final answer and the
 * outcome of its last attempt. Every final answer passes {@link #finish}, and every exchange that
 * is forgotten passes {@link #settle}.
 *
 * <p>Owned by the event loop's thread.
 */
final class ExchangeLifecycle {
  private final LoopClock clock;
  private final PolicyEventLoop policy;
  private final AttemptLifecycle attempts;
  private final AttemptDeadlines deadlines;
  private final InvariantGuard guard;
  private final FlightRecorder recorder;
  private final AnswerDelivery answers;
  private final OverloadControl overload;
  private final RequestSettings settings;

  /** Exchanges that have not ended, or of which an attempt is in flight, by their ids. */
  private final Map<String, Exchange> open = new HashMap<>();

  private RequestQueue queue;

  /** Null where reads are not coalesced. */
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

  /** Joins it with what it hands requests to; once, before the first request. */
  void connect(RequestQueue requestQueue, CoalescedReads coalescedReads) {
    queue = requestQueue;
    reads = coalescedReads;
  }

  /** All that are open now. */
  Collection<Exchange> open() {
    return open.values();
  }

  /** The open exchange of this id, null if there is none. */
  Exchange find(String requestId) {
    return open.get(requestId);
  }

  /**
   * Opens an exchange, which is to be started.
   *
   * @param deadlineNanos by when it must be answered
   * @param clientDeadlineNanos when its client stops waiting
   */
  Exchange open(Call call, long deadlineNanos, long clientDeadlineNanos) {
    Exchange exchange =
        new Exchange(
            call,
            deadlineNanos,
            clientDeadlineNanos,
            settings.maxAttempts(),
            settings.idempotency(call.request().serviceClass()));
    open.put(exchange.id(), exchange);
    return exchange;
  }

  /**
   * Starts an exchange; its answer may be given before this returns. After a stall it waits until
   * the backlog is read, so that the policy knows what happened during the stall and no request is
   * written to a connection that the server has closed.
   */
  void start(Exchange exchange, Request request) {
    clock.whenBacklogRead(() -> queue.enter(exchange, request));
  }

  /** Hands an exchange to the policy. */
  void route(Exchange exchange, Request request) {
    if (!guard.mayRoute(exchange)) {
      return;
    }
    exchange.route();
    double left = (exchange.deadlineNanos() - clock.now()) / 1e9;
    Request routed = request.withBudget(Math.max(0, left));
    policy.post(
        (router, now) -> {
          try {
            router.onRequest(now, routed);
          } catch (RuntimeException | StackOverflowError e) {
            policy.logFailure(e);
            fail(exchange);
          }
        });
  }

  /** Rejects an exchange that has waited in the queue too long and was not yet routed. */
  void rejectQueued(Exchange exchange) {
    recorder.record(Event.REJECTED_QUEUE, exchange.id());
    end(exchange, new Reply.Rejected(overload.retryAfterMillis()));
  }

  /** Gives an exchange, and the attempts in flight for it, more time. */
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

  /** The answer to a client whose time is up while others wait on for the same exchange. */
  Reply expiredReply(Exchange exchange) {
    return exchange.hasAttemptsInFlight()
        ? new Reply.Failed(exchange.mayHaveRun())
        : new Reply.Rejected(overload.retryAfterMillis());
  }

  /** The client has left, or all of them where several share the exchange. */
  void clientDisconnected(Exchange exchange) {
    if (exchange.isEnded()) {
      return;
    }
    exchange.disconnect();
    recorder.record(Event.CLIENT_DISCONNECTED, exchange.id());
    answers.clientDisconnected(exchange.call());
    policy.post(
        (router, now) -> {
          router.onClientDisconnected(now, exchange.id());
          settle(exchange);
        });
  }

  /** Gives an exchange its final answer, unless it has ended. */
  void end(Exchange exchange, Reply reply) {
    if (!exchange.isEnded()) {
      finish(exchange, reply);
      settle(exchange);
    }
  }

  /** Fails an exchange, unless it has ended. */
  void fail(Exchange exchange) {
    end(exchange, new Reply.Failed(exchange.mayHaveRun()));
  }

  /** Answers every open exchange: with a rejection where it can not have run. */
  void answerAll() {
    for (Exchange exchange : List.copyOf(open.values())) {
      end(exchange, exchange.mayHaveRun() ? new Reply.Failed(true) : new Reply.Rejected(0));
      for (Attempt attempt : exchange.attempts()) {
        attempts.withdraw(attempt, Outcome.Result.CANCELLED);
      }
    }
  }

  /**
   * Gives the final answer. The caller ensures that none was given before; {@link #settle} does the
   * cleanup.
   */
  void finish(Exchange exchange, Reply reply) {
    Reply checked = guard.answer(exchange, reply, clock.now());
    exchange.answer();
    if (reads != null) {
      reads.answered(exchange);
    }
    answers.answer(exchange.call(), checked);
  }

  /**
   * Cleans up an exchange that has ended; removes it once no attempt is in flight. Attempts that
   * wait for a connection are withdrawn even if the settings forbid cancellation: nothing has been
   * sent that would have to be cancelled, and nothing may be sent for a request that is answered or
   * whose client has left.
   */
  void settle(Exchange exchange) {
    if (!exchange.isEnded()) {
      return;
    }
    // By index: the policy may respond to an outcome with one more attempt, which ends at once.
    for (int i = 0; i < exchange.attempts().size(); i++) {
      Attempt attempt = exchange.attempts().get(i);
      if (attempt.carrier() == null) {
        attempts.withdraw(attempt, Outcome.Result.NOT_SENT);
      }
    }
    exchange.call().payload().release();
    if (!exchange.hasAttemptsInFlight()) {
      open.remove(exchange.id(), exchange);
    }
  }
}
