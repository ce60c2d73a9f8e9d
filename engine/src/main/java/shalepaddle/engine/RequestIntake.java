package shalepaddle.engine;

import io.netty.channel.EventLoop;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Request;
import shalepaddle.model.Settings;
import shalepaddle.overload.OverloadControl;

/**
 * Accepts requests: gives each its deadline, rejects those that come too late or after the end, and
 * opens an exchange for the others or lets them share one. Owned by the event loop's thread; all
 * times are nanoseconds of the loop's clock.
 */
final class RequestIntake {
  private final EventLoop loop;
  private final LoopClock clock;
  private final EngineDrain drain;
  private final ExchangeLifecycle exchanges;
  private final OverloadControl overload;
  private final FlightRecorder recorder;
  private final RequestMetrics metrics;

  /** Null where reads are not coalesced. */
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
   * Accepts a request of a client elsewhere. A part of its time is reserved for a stall of the
   * event loop.
   *
   * @param sentAt the earliest time at which its client can have sent it
   * @return null if another open request has its id
   */
  Submission submitRemote(Call call, long sentAt) {
    long budget = RequestSettings.nanos(call.request().budgetSeconds());
    return submit(call, sentAt, AnswerMargin.of(budget, clock.expectedStallNanos()));
  }

  /**
   * Accepts a request of this process, whose caller stalls together with the event loop.
   *
   * @param sentAt when it was submitted
   * @return null if another open request has its id
   */
  Submission submitLocal(Call call, long sentAt) {
    return submit(call, sentAt, 0);
  }

  private Submission submit(Call call, long sentAt, long margin) {
    Request request = call.request();
    String id = request.id();
    metrics.requestReceived();
    if (exchanges.find(id) != null || (reads != null && reads.hasId(id))) {
      metrics.answered(request.serviceClass(), new Reply.Failed(false));
      call.payload().release();
      return null;
    }
    long now = clock.refresh();
    recorder.record(Event.REQUEST_READ, id);
    long clientDeadline = sentAt + RequestSettings.nanos(request.budgetSeconds());
    if (drain.isClosed()) {
      return reject(call, clientDeadline, Event.REJECTED_SHUTDOWN, 0);
    }
    long deadline = drain.limit(clientDeadline - margin);
    if (deadline - now <= AttemptDeadlines.ANSWER_MARGIN_NANOS) {
      return reject(call, clientDeadline, Event.REJECTED_EXPIRED, overload.retryAfterMillis());
    }
    Submission waiter = reads == null ? null : reads.submit(call, request, deadline, now);
    return waiter != null ? waiter : open(call, sentAt, deadline, clientDeadline, now);
  }

  private Exchange open(Call call, long sentAt, long deadline, long clientDeadline, long now) {
    Exchange exchange = exchanges.open(call, deadline, clientDeadline);
    if (now - sentAt > LoopClock.STALL_THRESHOLD_NANOS) {
      // It waited unread, and so may the end of its connection, which is read in a turn of its own
      // and handled after that turn's reads.
      clock.afterNextPoll(() -> loop.execute(() -> exchanges.start(exchange, call.request())));
    } else {
      exchanges.start(exchange, call.request());
    }
    return exchange;
  }

  /** Rejects a request that has not run, without notifying the policy of it. */
  private Exchange reject(Call call, long clientDeadline, Event reason, long retryAfterMillis) {
    recorder.record(reason, call.request().id());
    Exchange rejected =
        new Exchange(call, clientDeadline, clientDeadline, 0, Settings.Idempotency.IDEMPOTENT);
    exchanges.end(rejected, new Reply.Rejected(retryAfterMillis));
    return rejected;
  }
}
