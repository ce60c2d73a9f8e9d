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
 * Coalesces requests by the decisions of {@link RequestCoalescer}: reads of the same value wait for
 * one {@link SharedExchange}, and each gets its own answer. The policy sees a single request, with
 * the latest deadline of the reads.
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

  /** The classes whose reads may be coalesced: idempotent and not streamed. */
  private Set<String> coalescibleClasses;

  /** Reads that joined a flight, by their ids. The leader is found by the exchange's id instead. */
  private final Map<String, CoalescedRead> joinedReads = new HashMap<>();

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
    updateSettings(settings);
  }

  /** Applies new settings to reads that are submitted from now on. */
  void updateSettings(Settings settings) {
    maxRetryAfterMillis = Math.round(settings.limits().maxRetryAfterSeconds() * 1e3);
    coalescibleClasses =
        settings.services().stream()
            .filter(
                type -> type.idempotency() == Settings.Idempotency.IDEMPOTENT && !type.isStreamed())
            .map(Settings.ServiceClass::name)
            .collect(Collectors.toUnmodifiableSet());
  }

  /** Whether a request may share its answer with other requests. */
  private boolean isCoalescible(Request request) {
    return !request.isWrite()
        && request.key() != null
        && coalescibleClasses.contains(request.serviceClass());
  }

  /** Whether a read with this id has joined the flight of another read. */
  boolean hasId(String id) {
    return joinedReads.containsKey(id);
  }

  /** Whether this is the call of a shared exchange rather than one that a client submitted. */
  static boolean isShared(Call call) {
    return call.sink() instanceof SharedExchange;
  }

  /** The number of waiting reads that have joined the flight of another read. */
  int size() {
    return joinedReads.size();
  }

  CoalescingSnapshot snapshot() {
    return coalescer.snapshot();
  }

  /**
   * Lets a read join a flight or start one. A write invalidates the flights of its key, so that no
   * further read joins them.
   *
   * @param request the request, with its time budget limited to the time that is left
   * @return null if the call needs its own exchange
   */
  CoalescedRead submit(Call call, Request request, long deadlineNanos, long now) {
    if (!isCoalescible(request)) {
      if (request.isWrite()) {
        coalescer.invalidate(request.key());
      }
      return null;
    }
    CoalescedRead read = new CoalescedRead(call);
    FlightWaiter<CoalescedRead> waiter =
        coalescer.join(
            request.key(), request.serviceClass(), request.tenant(), read, deadlineNanos, now);
    if (waiter == null) {
      return null;
    }
    Flight<CoalescedRead> flight = waiter.flight();
    CoalescedRead leader = flight.leader().caller();
    if (leader == read) {
      SharedExchange sharedExchange = new SharedExchange(this, exchanges, timers, flight);
      read.join(sharedExchange, waiter);
      sharedExchange.begin(read, request, now);
    } else {
      SharedExchange sharedExchange = leader.sharedExchange();
      read.join(sharedExchange, waiter);
      joinedReads.put(read.id(), read);
      sharedExchange.extend(now);
    }
    return read;
  }

  /**
   * Invalidates the flights of a key after an exchange of a single client was answered: later reads
   * must not get an older value.
   */
  void invalidateFlights(Exchange exchange) {
    String key = exchange.call().request().key();
    if (key != null && !isShared(exchange.call())) {
      coalescer.invalidate(key);
    }
  }

  /** Handles a disconnect of a read's client. */
  void clientDisconnected(CoalescedRead read) {
    if (read.isEnded()) {
      return;
    }
    SharedExchange sharedExchange = read.sharedExchange();
    end(read);
    answers.clientDisconnected(read.call());
    if (coalescer.leave(read.waiter())) {
      sharedExchange.abandon();
    } else {
      sharedExchange.updateLeader();
    }
  }

  /** Rejects a read whose client may have closed its connection. */
  void rejectUnknown(CoalescedRead read) {
    coalescer.leave(read.waiter());
    answer(read, new Reply.Rejected(exchanges.retryAfterMillis()));
  }

  private void end(CoalescedRead read) {
    joinedReads.remove(read.id(), read);
    read.end();
  }

  /** Answers one read. */
  void answer(CoalescedRead read, Reply reply) {
    end(read);
    answers.answer(read.call(), reply);
  }

  /** Records that a read which had joined a flight is now the leader of the flight. */
  void promote(CoalescedRead read) {
    joinedReads.remove(read.id(), read);
  }

  /** Removes and returns the waiters whose deadline has passed, in the order of their deadlines. */
  List<FlightWaiter<CoalescedRead>> expire(Flight<CoalescedRead> flight, long now) {
    return coalescer.expire(flight, now);
  }

  /** Returns what to do with a flight whose exchange was answered. */
  FlightDecision<CoalescedRead> complete(
      Flight<CoalescedRead> flight, Exchange exchange, Reply reply, long now) {
    return coalescer.complete(flight, resultOf(exchange, reply), now);
  }

  private FlightResult resultOf(Exchange exchange, Reply reply) {
    if (reply instanceof Reply.Value) {
      return FlightResult.SERVED;
    }
    boolean isRejected = reply instanceof Reply.Rejected && !drain.isClosed();
    return isRejected ? FlightResult.ofRejection(exchange.lastResult()) : FlightResult.FINAL;
  }

  /** The Retry-After in milliseconds of one of several reads that are rejected together. */
  long spreadRetryAfter(long retryAfterMillis, int readIndex, int readCount) {
    return RequestCoalescer.spreadRetryAfter(
        retryAfterMillis, maxRetryAfterMillis, readIndex, readCount);
  }

  long now() {
    return clock.now();
  }
}
