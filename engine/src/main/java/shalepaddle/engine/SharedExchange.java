package shalepaddle.engine;

import io.netty.buffer.ByteBuf;
import java.util.List;
import shalepaddle.coalescing.Flight;
import shalepaddle.coalescing.FlightDecision;
import shalepaddle.coalescing.FlightWaiter;
import shalepaddle.loop.Timers;
import shalepaddle.model.Request;

/**
 * The exchange that the reads of one flight wait for, or several in sequence if it is retried.
 * Attempts carry the request id of the flight's leader, a read that still waits.
 *
 * <p>Owned by the event loop's thread; all times are nanoseconds of the loop's clock.
 */
final class SharedExchange implements ReplySink {
  private final CoalescedReads reads;
  private final ExchangeLifecycle exchanges;
  private final Timers timers;
  private final Flight<CoalescedRead> flight;
  private Exchange exchange;

  /** The read whose id attempts carry. */
  private CoalescedRead leader;

  /** Runs at the next deadline of a read before the exchange's deadline; null if there is none. */
  private Timers.Timer expiryTimer;

  private long expiryAtNanos = Long.MAX_VALUE;

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

  /** Opens and starts an exchange with the id of a read. */
  void begin(CoalescedRead read, Request request, long now) {
    leader = read;
    Call call = new Call(request, read.call().payload(), this);
    exchange = exchanges.open(call, flight.latestDeadlineNanos(), flight.latestDeadlineNanos());
    updateExpiryTimer(now);
    // This call is the last: the exchange may be answered immediately and started again for the
    // next leader.
    exchanges.start(exchange, request);
  }

  /** Extends the exchange for a read that has joined, if the read's deadline is the latest. */
  void extend(long now) {
    exchanges.extend(exchange, flight.latestDeadlineNanos());
    updateExpiryTimer(now);
  }

  /** Forwards further attempts with the id of the first read that still waits. */
  void updateLeader() {
    FlightWaiter<CoalescedRead> firstWaiter = flight.leader();
    if (firstWaiter != null && firstWaiter.caller() != leader) {
      leader = firstWaiter.caller();
      exchange.forwardAs(leader.call());
    }
  }

  /** Ends the exchange when no read waits for it any more. */
  void abandon() {
    cancelExpiryTimer();
    exchanges.clientDisconnected(exchange);
  }

  private void updateExpiryTimer(long now) {
    long nextDueNanos = flight.nextDeadline();
    if (nextDueNanos != expiryAtNanos) {
      cancelExpiryTimer();
      expiryAtNanos = nextDueNanos;
      if (nextDueNanos != Long.MAX_VALUE) {
        expiryTimer = timers.runNoLaterThan(nextDueNanos - now, () -> expire(nextDueNanos));
      }
    }
  }

  private void cancelExpiryTimer() {
    expiryAtNanos = Long.MAX_VALUE;
    if (expiryTimer != null) {
      expiryTimer.cancel();
      expiryTimer = null;
    }
  }

  /** Answers the reads whose deadline has passed; the others continue to wait. */
  private void expire(long dueNanos) {
    cancelExpiryTimer();
    long now = reads.now();
    // The timer may run up to one tick early.
    List<FlightWaiter<CoalescedRead>> expiredWaiters =
        reads.expire(flight, now - dueNanos > 0 ? now : dueNanos);
    for (FlightWaiter<CoalescedRead> waiter : expiredWaiters) {
      // A sink may cancel other reads when it is called.
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

  /** The presence of the leader's client; rejects leaders whose clients may have disconnected. */
  @Override
  public ClientPresence clientPresence(long now) {
    ClientPresence presence = leader.call().sink().clientPresence(now);
    while (presence == ClientPresence.UNKNOWN && !flight.isClosed()) {
      reads.rejectUnknown(leader);
      if (flight.isClosed()) {
        abandon();
      } else {
        updateLeader();
        presence = leader.call().sink().clientPresence(now);
      }
    }
    return presence;
  }

  @Override
  public void reply(Reply reply) {
    cancelExpiryTimer();
    long now = reads.now();
    FlightDecision<CoalescedRead> decision = reads.complete(flight, exchange, reply, now);
    answer(decision.recipients(), reply);
    // A sink may have cancelled the other reads when it was called.
    if (decision.isFlightRetried() && !flight.isClosed()) {
      retry(flight.leader().caller(), now);
    }
  }

  private void retry(CoalescedRead newLeader, long now) {
    reads.promote(newLeader);
    begin(
        newLeader,
        newLeader.call().request().withBudget((flight.latestDeadlineNanos() - now) / 1e9),
        now);
  }

  private void answer(List<FlightWaiter<CoalescedRead>> recipients, Reply reply) {
    ByteBuf value = reply instanceof Reply.Value valueReply ? valueReply.value() : null;
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

  /** The answer for one of several recipients. */
  private Reply replyOf(Reply reply, ByteBuf value, int readIndex, int readCount) {
    if (value != null) {
      return new Reply.Value(value.retainedDuplicate());
    }
    if (reply instanceof Reply.Rejected rejection) {
      return new Reply.Rejected(
          reads.spreadRetryAfter(rejection.retryAfterMillis(), readIndex, readCount));
    }
    return reply;
  }
}
