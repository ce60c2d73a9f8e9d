package shalepaddle.engine;

import io.netty.buffer.ByteBuf;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.coalescing.CoalescingSnapshot;
import shalepaddle.coalescing.Flight;
import shalepaddle.coalescing.FlightDecision;
import shalepaddle.coalescing.FlightResult;
import shalepaddle.coalescing.FlightWaiter;
import shalepaddle.coalescing.RequestCoalescer;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;
import shalepaddle.model.Request;
import shalepaddle.model.Settings;

/**
 * Carries out what {@link RequestCoalescer} decides: like reads wait for one {@link Exchange}, and
 * each gets its own answer. The policy sees one request, which has as long as the most patient of
 * them.
 *
 * <p>What goes to a server bears the id of a caller that still waits. All of it runs on the event
 * loop.
 */
final class CoalescedReads {
  private final Dispatcher dispatcher;
  private final LoopClock clock;
  private final Timers timers;
  private final RequestCoalescer<Waiter> joining;
  private long longestAdvice;

  /** The classes whose reads may be repeated without harm. */
  private Set<String> safe;

  /** Those who joined, by their ids; who begins a flight is known by its exchange. */
  private final Map<String, Waiter> joined = new HashMap<>();

  CoalescedReads(
      Dispatcher dispatcher,
      LoopClock clock,
      Timers timers,
      Settings settings,
      CoalescingConfig tuning) {
    this.dispatcher = dispatcher;
    this.clock = clock;
    this.timers = timers;
    this.joining = new RequestCoalescer<>(tuning);
    retune(settings);
  }

  /** Reads that come from now on are joined by these. */
  void retune(Settings settings) {
    longestAdvice = Math.round(settings.limits().maxRetryAfterSeconds() * 1e3);
    safe =
        settings.services().stream()
            .filter(
                type -> type.idempotency() == Settings.Idempotency.IDEMPOTENT && !type.streamed())
            .map(Settings.ServiceClass::name)
            .collect(Collectors.toUnmodifiableSet());
  }

  /** A read that waits for a flight. */
  static final class Waiter implements Submission {
    private final Call call;
    private SharedTry shared;
    private FlightWaiter<Waiter> place;
    private boolean over;

    private Waiter(Call call) {
      this.call = call;
    }

    private String id() {
      return call.request().id();
    }
  }

  /** Whether a request may share its answer with like ones. */
  private boolean joins(Request asked) {
    return !asked.write() && asked.key() != null && safe.contains(asked.serviceClass());
  }

  /** Whether a caller of this id waits in another's flight. */
  boolean hasId(String id) {
    return joined.containsKey(id);
  }

  /** Whether this is the call of a try that several share, and none that a client sent. */
  static boolean shared(Call call) {
    return call.sink() instanceof SharedTry;
  }

  /** Callers that wait in another's flight. */
  int size() {
    return joined.size();
  }

  CoalescingSnapshot reading() {
    return joining.snapshot();
  }

  /**
   * A request has come; a write ends the joining of what was read before it.
   *
   * @param asked what it asks for, with no more time than there is
   * @return null if it is to go alone
   */
  Submission submit(Call call, Request asked, long deadline, long now) {
    if (!joins(asked)) {
      if (asked.write()) {
        joining.invalidate(asked.key());
      }
      return null;
    }
    Waiter waiter = new Waiter(call);
    FlightWaiter<Waiter> place =
        joining.join(asked.key(), asked.serviceClass(), asked.tenant(), waiter, deadline, now);
    if (place == null) {
      return null;
    }
    waiter.place = place;
    Flight<Waiter> flight = place.flight();
    Waiter bearer = flight.leader().caller();
    if (bearer == waiter) {
      waiter.shared = new SharedTry(flight);
      waiter.shared.begin(waiter, asked, now);
    } else {
      waiter.shared = bearer.shared;
      joined.put(waiter.id(), waiter);
      waiter.shared.grow(now);
    }
    return waiter;
  }

  /** A request that went alone has been answered: whoever comes now must not get older news. */
  void answered(Exchange exchange) {
    String key = exchange.call().request().key();
    if (key != null && !(exchange.call().sink() instanceof SharedTry)) {
      joining.invalidate(key);
    }
  }

  /** A caller does not want its answer any more. */
  void leave(Waiter waiter) {
    if (!waiter.over) {
      SharedTry shared = waiter.shared;
      over(waiter);
      dispatcher.gone(waiter.call);
      if (joining.leave(waiter.place)) {
        shared.abandon();
      } else {
        shared.bear();
      }
    }
  }

  private void over(Waiter waiter) {
    waiter.over = true;
    joined.remove(waiter.id(), waiter);
    waiter.call.payload().release();
  }

  private void give(Waiter waiter, Reply reply) {
    over(waiter);
    dispatcher.give(waiter.call, reply);
  }

  /** What the callers of one flight wait for: an exchange, or one after the other. */
  private final class SharedTry implements ReplySink {
    private final Flight<Waiter> flight;
    private Exchange exchange;

    /** In whose name it is tried. */
    private Waiter bearer;

    /** Due when the time of the next caller is up, before that of the exchange. */
    private Timers.Timer alarm;

    private long alarmAt = Long.MAX_VALUE;

    SharedTry(Flight<Waiter> flight) {
      this.flight = flight;
    }

    private void begin(Waiter waiter, Request asked, long now) {
      bearer = waiter;
      exchange =
          dispatcher.open(
              new Call(asked, waiter.call.payload(), this), flight.deadline(), flight.deadline());
      arm(now);
      // Last: it may be answered at once, and begin anew for the next.
      dispatcher.start(exchange, asked);
    }

    /** Somebody has joined, who may wait longer than all before. */
    private void grow(long now) {
      dispatcher.extend(exchange, flight.deadline());
      arm(now);
    }

    /** Goes on in the name of the first that still waits. */
    private void bear() {
      FlightWaiter<Waiter> first = flight.leader();
      if (first != null && first.caller() != bearer) {
        bearer = first.caller();
        exchange.forwardAs(bearer.call);
      }
    }

    /** Nobody waits any more. */
    private void abandon() {
      disarm();
      dispatcher.clientDisconnected(exchange);
    }

    private void arm(long now) {
      long next = flight.nextDue();
      if (next != alarmAt) {
        disarm();
        alarmAt = next;
        if (next != Long.MAX_VALUE) {
          alarm = timers.runNoLaterThan(next - now, () -> due(next));
        }
      }
    }

    private void disarm() {
      alarmAt = Long.MAX_VALUE;
      if (alarm != null) {
        alarm.cancel();
        alarm = null;
      }
    }

    /** The time of some is up, while others wait on: they are told what is known by now. */
    private void due(long at) {
      disarm();
      long now = clock.now();
      // A timer comes within the tick before its time.
      List<FlightWaiter<Waiter>> due = joining.expire(flight, now - at > 0 ? now : at);
      for (FlightWaiter<Waiter> caller : due) {
        // A copy: one that is told may call off others.
        if (!caller.caller().over) {
          give(caller.caller(), dispatcher.timeUp(exchange));
        }
      }
      if (flight.isOver()) {
        abandon();
      } else {
        bear();
        arm(now);
      }
    }

    @Override
    public void reply(Reply reply) {
      disarm();
      long now = clock.now();
      FlightDecision<Waiter> verdict = joining.complete(flight, ending(reply), now);
      tell(verdict.recipients(), reply);
      // Who was told may have called off the others.
      if (verdict.retries() && !flight.isOver()) {
        again(flight.leader().caller(), now);
      }
    }

    private FlightResult ending(Reply reply) {
      if (reply instanceof Reply.Value) {
        return FlightResult.SERVED;
      }
      boolean refused = reply instanceof Reply.Rejected && !dispatcher.closed();
      return refused ? FlightResult.ofRejection(exchange.lastResult()) : FlightResult.FINAL;
    }

    private void again(Waiter next, long now) {
      joined.remove(next.id(), next);
      begin(next, next.call.request().withBudget((flight.deadline() - now) / 1e9), now);
    }

    private void tell(List<FlightWaiter<Waiter>> callers, Reply reply) {
      ByteBuf value = reply instanceof Reply.Value served ? served.value() : null;
      try {
        for (int i = 0; i < callers.size(); i++) {
          Waiter waiter = callers.get(i).caller();
          if (!waiter.over) {
            give(waiter, of(reply, value, i, callers.size()));
          }
        }
      } finally {
        if (value != null) {
          value.release();
        }
      }
    }

    /** One caller's own of an answer to several. */
    private Reply of(Reply reply, ByteBuf value, int place, int all) {
      if (value != null) {
        return new Reply.Value(value.retainedDuplicate());
      }
      if (reply instanceof Reply.Rejected refused) {
        long advice =
            RequestCoalescer.spreadRetryAfter(
                refused.retryAfterMillis(), longestAdvice, place, all);
        return new Reply.Rejected(advice);
      }
      return reply;
    }
  }
}
