package shalepaddle.engine;

import io.netty.buffer.ByteBuf;
import java.util.List;
import shalepaddle.coalescing.Flight;
import shalepaddle.coalescing.FlightDecision;
import shalepaddle.coalescing.FlightWaiter;
import shalepaddle.loop.Timers;
import shalepaddle.model.Request;

/**
 * The exchange that the reads of one flight wait for, or one exchange after the other where it is
 * retried. What goes to a server bears the id of the flight's leader, which still waits.
 *
 * <p>Owned by the event loop's thread; all times are nanoseconds of the loop's clock.
 */
final class SharedExchange implements ReplySink {
  private final CoalescedReads reads;
  private final ExchangeLifecycle exchanges;
  private final Timers timers;
  private final Flight<CoalescedRead> flight;
  private Exchange exchange;

  /** Under whose id the exchange is forwarded. */
  private CoalescedRead leader;

  /** Set for the next deadline of a read before that of the exchange, null for none. */
  private Timers.Timer expiryTimer;

  private long expiryNanos = Long.MAX_VALUE;

  SharedExchange(
      CoalescedReads reads,
      ExchangeLifecycle exchanges,
      Timers timers,
      Flight<CoalescedRead> flight) {
    this.reads = reads;
    this.exchanges = exchanges;
    this.timers = timers;
    this.flight = flight;
  }

  /** Opens and starts an exchange under the id of a read. */
  void begin(CoalescedRead read, Request request, long now) {
    leader = read;
    Call call = new Call(request, read.call().payload(), this);
    exchange = exchanges.open(call, flight.deadline(), flight.deadline());
    updateExpiryTimer(now);
    // Last: it may be answered at once, and begin anew for the next leader.
    exchanges.start(exchange, request);
  }

  /** A read has joined, which may wait longer than all before. */
  void extend(long now) {
    exchanges.extend(exchange, flight.deadline());
    updateExpiryTimer(now);
  }

  /** Continues under the id of the first read that still waits. */
  void updateLeader() {
    FlightWaiter<CoalescedRead> first = flight.leader();
    if (first != null && first.caller() != leader) {
      leader = first.caller();
      exchange.forwardAs(leader.call());
    }
  }

  /** Nobody waits any more. */
  void abandon() {
    cancelExpiryTimer();
    exchanges.clientDisconnected(exchange);
  }

  private void updateExpiryTimer(long now) {
    long next = flight.nextDue();
    if (next != expiryNanos) {
      cancelExpiryTimer();
      expiryNanos = next;
      if (next != Long.MAX_VALUE) {
        expiryTimer = timers.runNoLaterThan(next - now, () -> expire(next));
      }
    }
  }

  private void cancelExpiryTimer() {
    expiryNanos = Long.MAX_VALUE;
    if (expiryTimer != null) {
      expiryTimer.cancel();
      expiryTimer = null;
    }
  }

  /** Answers the reads whose time is up by what is known now; the others wait on. */
  private void expire(long at) {
    cancelExpiryTimer();
    long now = reads.now();
    // A timer runs within the tick before its time.
    List<FlightWaiter<CoalescedRead>> expired = reads.expire(flight, now - at > 0 ? now : at);
    for (FlightWaiter<CoalescedRead> waiter : expired) {
      // A sink that is called may cancel other reads.
      if (!waiter.caller().isEnded()) {
        reads.answer(waiter.caller(), exchanges.expiredReply(exchange));
      }
    }
    if (flight.isClosed()) {
      abandon();
    } else {
      updateLeader();
      updateExpiryTimer(now);
    }
  }

  @Override
  public void reply(Reply reply) {
    cancelExpiryTimer();
    long now = reads.now();
    FlightDecision<CoalescedRead> decision = reads.complete(flight, exchange, reply, now);
    answer(decision.recipients(), reply);
    // A sink that was called may have cancelled the others.
    if (decision.retries() && !flight.isClosed()) {
      retry(flight.leader().caller(), now);
    }
  }

  private void retry(CoalescedRead next, long now) {
    reads.promote(next);
    begin(next, next.call().request().withBudget((flight.deadline() - now) / 1e9), now);
  }

  private void answer(List<FlightWaiter<CoalescedRead>> recipients, Reply reply) {
    ByteBuf value = reply instanceof Reply.Value served ? served.value() : null;
    try {
      for (int i = 0; i < recipients.size(); i++) {
        CoalescedRead read = recipients.get(i).caller();
        if (!read.isEnded()) {
          reads.answer(read, replyOf(reply, value, i, recipients.size()));
        }
      }
    } finally {
      if (value != null) {
        value.release();
      }
    }
  }

  /** The answer of one of several recipients. */
  private Reply replyOf(Reply reply, ByteBuf value, int position, int count) {
    if (value != null) {
      return new Reply.Value(value.retainedDuplicate());
    }
    if (reply instanceof Reply.Rejected rejected) {
      return new Reply.Rejected(
          reads.spreadRetryAfter(rejected.retryAfterMillis(), position, count));
    }
    return reply;
  }
}
