package shalepaddle.engine;

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
 * Request coalescing, as {@link RequestCoalescer} decides it: reads of the same value wait for one
 * {@link SharedExchange}, and each gets an answer of its own. The policy sees one request, whose
 * deadline is the latest of theirs.
 *
 * <p>Owned by the event loop's thread.
 */
final class CoalescedReads {
  private final ExchangeLifecycle exchanges;
  private final AnswerDelivery answers;
  private final EngineDrain drain;
  private final LoopClock clock;
  private final Timers timers;
  private final RequestCoalescer<CoalescedRead> coalescer;
  private long maxRetryAfterMillis;

  /** The classes whose reads may be repeated. */
  private Set<String> safeClasses;

  /** Reads that joined a flight, by their ids; the leader of a flight is known by its exchange. */
  private final Map<String, CoalescedRead> joined = new HashMap<>();

  CoalescedReads(
      ExchangeLifecycle exchanges,
      AnswerDelivery answers,
      EngineDrain drain,
      LoopClock clock,
      Timers timers,
      Settings settings,
      CoalescingConfig config) {
    this.exchanges = exchanges;
    this.answers = answers;
    this.drain = drain;
    this.clock = clock;
    this.timers = timers;
    this.coalescer = new RequestCoalescer<>(config);
    retune(settings);
  }

  /** Reads are coalesced by these settings from now on. */
  void retune(Settings settings) {
    maxRetryAfterMillis = Math.round(settings.limits().maxRetryAfterSeconds() * 1e3);
    safeClasses =
        settings.services().stream()
            .filter(
                type -> type.idempotency() == Settings.Idempotency.IDEMPOTENT && !type.streamed())
            .map(Settings.ServiceClass::name)
            .collect(Collectors.toUnmodifiableSet());
  }

  /** Whether a request may share its answer with others. */
  private boolean isCoalescible(Request request) {
    return !request.write()
        && request.key() != null
        && safeClasses.contains(request.serviceClass());
  }

  /** Whether a read of this id has joined another's flight. */
  boolean hasId(String id) {
    return joined.containsKey(id);
  }

  /** Whether this is the call of a shared exchange, and not one that a client submitted. */
  static boolean isShared(Call call) {
    return call.sink() instanceof SharedExchange;
  }

  /** Reads that have joined another's flight and wait. */
  int size() {
    return joined.size();
  }

  CoalescingSnapshot snapshot() {
    return coalescer.snapshot();
  }

  /**
   * Lets a read join a flight or begin one. A write invalidates the flights of its key: nobody
   * joins them any more.
   *
   * @param request what it asks for, with no more time than there is
   * @return null if it needs an exchange of its own
   */
  CoalescedRead submit(Call call, Request request, long deadline, long now) {
    if (!isCoalescible(request)) {
      if (request.write()) {
        coalescer.invalidate(request.key());
      }
      return null;
    }
    CoalescedRead read = new CoalescedRead(call);
    FlightWaiter<CoalescedRead> waiter =
        coalescer.join(
            request.key(), request.serviceClass(), request.tenant(), read, deadline, now);
    if (waiter == null) {
      return null;
    }
    Flight<CoalescedRead> flight = waiter.flight();
    CoalescedRead leader = flight.leader().caller();
    if (leader == read) {
      SharedExchange shared = new SharedExchange(this, exchanges, timers, flight);
      read.join(shared, waiter);
      shared.begin(read, request, now);
    } else {
      SharedExchange shared = leader.shared();
      read.join(shared, waiter);
      joined.put(read.id(), read);
      shared.extend(now);
    }
    return read;
  }

  /** An exchange of a single client is answered: reads that come now must not get older values. */
  void answered(Exchange exchange) {
    String key = exchange.call().request().key();
    if (key != null && !isShared(exchange.call())) {
      coalescer.invalidate(key);
    }
  }

  /** The client of a read has left. */
  void leave(CoalescedRead read) {
    if (read.isEnded()) {
      return;
    }
    SharedExchange shared = read.shared();
    end(read);
    answers.clientDisconnected(read.call());
    if (coalescer.leave(read.waiter())) {
      shared.abandon();
    } else {
      shared.updateLeader();
    }
  }

  private void end(CoalescedRead read) {
    joined.remove(read.id(), read);
    read.end();
  }

  /** Gives one read its answer. */
  void answer(CoalescedRead read, Reply reply) {
    end(read);
    answers.answer(read.call(), reply);
  }

  /** A read that had joined is the leader of its flight from now on. */
  void promote(CoalescedRead read) {
    joined.remove(read.id(), read);
  }

  /** The waiters of a flight whose deadline has passed, in the order of their deadlines. */
  List<FlightWaiter<CoalescedRead>> expire(Flight<CoalescedRead> flight, long now) {
    return coalescer.expire(flight, now);
  }

  /** What follows for a flight from the answer of its exchange. */
  FlightDecision<CoalescedRead> complete(
      Flight<CoalescedRead> flight, Exchange exchange, Reply reply, long now) {
    return coalescer.complete(flight, resultOf(exchange, reply), now);
  }

  private FlightResult resultOf(Exchange exchange, Reply reply) {
    if (reply instanceof Reply.Value) {
      return FlightResult.SERVED;
    }
    boolean rejected = reply instanceof Reply.Rejected && !drain.isClosed();
    return rejected ? FlightResult.ofRejection(exchange.lastResult()) : FlightResult.FINAL;
  }

  /** Retry-After of one of several reads that are rejected together. */
  long spreadRetryAfter(long retryAfterMillis, int position, int count) {
    return RequestCoalescer.spreadRetryAfter(
        retryAfterMillis, maxRetryAfterMillis, position, count);
  }

  long now() {
    return clock.now();
  }
}
