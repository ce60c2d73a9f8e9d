package shalepaddle.engine;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Request;
import shalepaddle.model.Settings;
import shalepaddle.overload.AdmissionQueue;
import shalepaddle.overload.OverloadControl;

/**
 * Requests that wait for a turn of the event loop in which they are handed to the policy. Owned by
 * the event loop's thread.
 */
final class RequestQueue {
  /**
   * For how long one turn of the event loop routes requests; the rest waits for the next turn.
   * Keeps responses, timers and new requests from waiting longer for theirs.
   */
  private static final long MAX_ROUTING_NANOS = 3_000_000;

  /** Requests in the queue; above it, the oldest of the lowest priority is rejected. */
  private static final int MAX_QUEUED = 1024;

  /** A request in the queue. */
  private record Queued(Exchange exchange, Request request) {}

  private final EventLoop loop;
  private final LoopClock clock;
  private final OverloadControl overload;
  private final BiConsumer<Exchange, Request> route;
  private final Consumer<Exchange> reject;
  private AdmissionQueue<Queued> queue;

  /** The turn in which requests were routed last, and since when. */
  private long turn = -1;

  private long turnSinceNanos;

  /**
   * An empty queue.
   *
   * @param route hands a request to the policy
   * @param reject rejects one that has waited too long
   */
  RequestQueue(
      EventLoop loop,
      LoopClock clock,
      OverloadControl overload,
      BiConsumer<Exchange, Request> route,
      Consumer<Exchange> reject) {
    this.loop = loop;
    this.clock = clock;
    this.overload = overload;
    this.route = route;
    this.reject = reject;
    this.queue = newQueue();
  }

  private AdmissionQueue<Queued> newQueue() {
    return overload.newAdmissionQueue(MAX_QUEUED, queued -> reject.accept(queued.exchange()));
  }

  /** Routes what is queued by the old tiers; what comes next is queued by these settings. */
  void retune(Settings next) {
    long now = clock.now();
    for (Queued queued = queue.poll(now); queued != null; queued = queue.poll(now)) {
      route(queued, now);
    }
    overload.updateSettings(next);
    queue = newQueue();
  }

  /** Routes a request now, or queues it where this turn has routed for long enough. */
  void enter(Exchange exchange, Request request) {
    long now = clock.now();
    if (queue.size() == 0 && !isTurnSpent(now)) {
      route.accept(exchange, request);
      return;
    }
    if (queue.size() == 0) {
      scheduleRouting();
    }
    queue.offer(
        new Queued(exchange, request), overload.tier(request.serviceClass(), request.retry()), now);
  }

  /** Nanoseconds for which the oldest request has waited, 0 if there is none. */
  long oldestQueuedNanos() {
    return queue.oldestWaitNanos(clock.now());
  }

  /** Empties the queue; each request in it is rejected. */
  void close() {
    queue.rejectAll();
  }

  private boolean isTurnSpent(long now) {
    if (turn != clock.turn()) {
      turn = clock.turn();
      turnSinceNanos = now;
    }
    return now - turnSinceNanos > MAX_ROUTING_NANOS;
  }

  /** Routes what is queued, for as long as one turn may. */
  private void routeQueued() {
    long since = clock.now();
    long now = since;
    while (now - since <= MAX_ROUTING_NANOS) {
      Queued next = queue.poll(now);
      if (next == null) {
        return;
      }
      route(next, now);
      now = clock.now();
    }
    if (queue.size() > 0) {
      scheduleRouting();
    }
  }

  private void route(Queued next, long now) {
    double left = (next.exchange().deadlineNanos() - now) / 1e9;
    route.accept(next.exchange(), next.request().withBudgetAtMost(Math.max(0, left)));
  }

  /**
   * Routes in the next turn. Uses schedule, as a task given to execute would still run in this
   * turn, before the next poll for I/O.
   */
  private void scheduleRouting() {
    loop.schedule(this::routeQueued, 1, TimeUnit.NANOSECONDS);
  }
}
