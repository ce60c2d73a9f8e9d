package shalepaddle.engine;

import io.netty.channel.EventLoop;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Request;
import shalepaddle.model.Settings;
import shalepaddle.overload.OverloadControl;

/**
 * Accepts requests: computes each deadline, rejects requests that have expired or arrive after the
 * engine was closed, and opens an exchange for the others or lets them share one. Owned by the
 * event loop's thread; all times are nanoseconds of the loop's clock.
 */
final class RequestIntake {
  private final EventLoop loop;
  private final LoopClock clock;
  private final EngineDrain drain;
  private final ExchangeLifecycle exchanges;
  private final OverloadControl overload;
  private final FlightRecorder recorder;
  private final RequestMetrics metrics;

  /** Null if reads are not coalesced. */
  private final CoalescedReads reads;

  RequestIntake(
      EventLoop loop,
      LoopClock clock,
      EngineDrain drain,
      ExchangeLifecycle exchanges,
      CoalescedReads reads,
      OverloadControl overload,
      FlightRecorder recorder,
      RequestMetrics metrics) {
    this.loop = loop;
    this.clock = clock;
    this.drain = drain;
    this.exchanges = exchanges;
    this.reads = reads;
    this.overload = overload;
    this.recorder = recorder;
    this.metrics = metrics;
  }

  /**
   * Accepts a request from a remote client. Part of its time budget is reserved for a stall of the
   * event loop.
   *
   * @param sentAtNanos the earliest time at which the client can have sent the request
   * @return null if another request has its id
   */
  Submission submitRemote(Call call, long sentAtNanos) {
    if (exchanges.isRecentWrite(call.request().id())) {
      return refuseDuplicate(call);
    }
    long budgetNanos = RequestSettings.toNanos(call.request().budgetSeconds());
    return submit(call, sentAtNanos, marginNanos(budgetNanos));
  }

  /** When a remote client's request must be answered, by the loop's clock. */
  long latestAnswerNanos(long sentAtNanos, long budgetNanos) {
    return drain.limitDeadline(sentAtNanos + budgetNanos - marginNanos(budgetNanos));
  }

  private long marginNanos(long budgetNanos) {
    return AnswerMargin.marginNanos(budgetNanos, clock.expectedStallNanos());
  }

  /**
   * Accepts a request submitted within this process. No time is reserved for stalls, since its
   * caller stalls together with the event loop.
   *
   * @param sentAtNanos when the request was submitted
   * @return null if another request has its id
   */
  Submission submitLocal(Call call, long sentAtNanos) {
    return submit(call, sentAtNanos, 0);
  }

  private Submission submit(Call call, long sentAtNanos, long marginNanos) {
    Request request = call.request();
    String id = request.id();
    if (exchanges.find(id) != null || (reads != null && reads.hasId(id))) {
      return refuseDuplicate(call);
    }
    metrics.countReceived();
    long now = clock.refresh();
    recorder.record(Event.REQUEST_READ, id);
    long clientDeadlineNanos = sentAtNanos + RequestSettings.toNanos(request.budgetSeconds());
    if (drain.isClosed()) {
      return reject(call, clientDeadlineNanos, Event.REJECTED_SHUTDOWN, 0);
    }
    long deadlineNanos = drain.limitDeadline(clientDeadlineNanos - marginNanos);
    if (deadlineNanos - now <= AttemptDeadlines.ANSWER_MARGIN_NANOS) {
      return reject(call, clientDeadlineNanos, Event.REJECTED_EXPIRED, overload.retryAfterMillis());
    }
    Submission waiter = reads == null ? null : reads.submit(call, request, deadlineNanos, now);
    return waiter != null
        ? waiter
        : open(call, sentAtNanos, deadlineNanos, clientDeadlineNanos, now);
  }

  /** Counts a request whose id another request has; returns null. */
  private Submission refuseDuplicate(Call call) {
    metrics.countReceived();
    metrics.countAnswered(call.request().serviceClass(), new Reply.Failed(false));
    call.payload().release();
    return null;
  }

  private Exchange open(
      Call call, long sentAtNanos, long deadlineNanos, long clientDeadlineNanos, long now) {
    Exchange exchange = exchanges.open(call, deadlineNanos, clientDeadlineNanos);
    if (now - sentAtNanos > LoopClock.STALL_THRESHOLD_NANOS) {
      // The request waited unread in the socket, and its client may have disconnected meanwhile. A
      // disconnect is read in a separate turn and handled after that turn's reads: starting later
      // avoids working for a client that is gone.
      clock.runAfterNextPoll(() -> loop.execute(() -> exchanges.start(exchange, call.request())));
    } else {
      exchanges.start(exchange, call.request());
    }
    return exchange;
  }

  /** Rejects a request that has not run, without notifying the policy. */
  private Exchange reject(
      Call call, long clientDeadlineNanos, Event reason, long retryAfterMillis) {
    recorder.record(reason, call.request().id());
    Exchange rejectedExchange =
        new Exchange(
            call,
            clientDeadlineNanos,
            clientDeadlineNanos,
            0,
            true,
            Settings.Idempotency.IDEMPOTENT);
    exchanges.end(rejectedExchange, new Reply.Rejected(retryAfterMillis));
    return rejectedExchange;
  }
}
