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
 * Queues requests until a turn of the event loop has time to hand them to the policy. Owned by the
 * event loop's thread.
 */
final class RequestQueue {
  /**
   * Maximum time for which one turn of the event loop routes requests; the remaining requests wait
   * for the next turn. Bounds the delay of responses, timers and new requests.
   */
  private static final long MAX_ROUTING_NANOS = 3_000_000;

  /** Maximum number of queued requests; above it, the oldest of the lowest priority is rejected. */
  private static final int MAX_QUEUED_REQUESTS = 1024;

  /** A request in the queue. */
  private record QueuedRequest(Exchange exchange, Request request) {}

  private final EventLoop loop;
  private final LoopClock clock;
  private final OverloadControl overload;
  private final BiConsumer<Exchange, Request> route;
  private final Consumer<Exchange> reject;
  private AdmissionQueue<QueuedRequest> queue;

  /** The turn in which requests were routed last. */
  private long routingTurn = -1;

  /** When the routing began in {@link #routingTurn}, by the loop's clock. */
  private long turnRoutingSinceNanos;

  /**
   * Creates an empty queue.
   *
   * @param route hands a request to the policy
   * @param reject rejects a request that has waited too long
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

  private AdmissionQueue<QueuedRequest> newQueue() {
    return overload.newAdmissionQueue(
        MAX_QUEUED_REQUESTS, queuedRequest -> reject.accept(queuedRequest.exchange()));
  }

  /** Routes all queued requests, then applies new settings to the queue. */
  void updateSettings(Settings newSettings) {
    long now = clock.now();
    for (QueuedRequest queuedRequest = queue.poll(now);
        queuedRequest != null;
        queuedRequest = queue.poll(now)) {
      route(queuedRequest, now);
    }
    overload.updateSettings(newSettings);
    queue = newQueue();
  }

  /** Routes a request now, or queues it if this turn has used up its routing time. */
  void routeOrEnqueue(Exchange exchange, Request request) {
    long now = clock.now();
    if (queue.size() == 0 && !hasUsedRoutingTime(now)) {
      route.accept(exchange, request);
      return;
    }
    if (queue.size() == 0) {
      scheduleRouting();
    }
    queue.offer(
        new QueuedRequest(exchange, request),
        overload.tier(request.serviceClass(), request.isRetry()),
        now);
  }

  /** How long the oldest queued request has waited in nanoseconds, 0 if there is none. */
  long oldestQueuedNanos() {
    return queue.oldestWaitNanos(clock.now());
  }

  /** Rejects all queued requests. */
  void close() {
    queue.rejectAll();
  }

  private boolean hasUsedRoutingTime(long now) {
    if (routingTurn != clock.turn()) {
      routingTurn = clock.turn();
      turnRoutingSinceNanos = now;
    }
    return now - turnRoutingSinceNanos > MAX_ROUTING_NANOS;
  }

  /** Routes queued requests for up to {@link #MAX_ROUTING_NANOS}. */
  private void routeQueued() {
    long routingSinceNanos = clock.now();
    long now = routingSinceNanos;
    while (now - routingSinceNanos <= MAX_ROUTING_NANOS) {
      QueuedRequest queuedRequest = queue.poll(now);
      if (queuedRequest == null) {
        return;
      }
      route(queuedRequest, now);
      now = clock.now();
    }
    if (queue.size() > 0) {
      scheduleRouting();
    }
  }

  private void route(QueuedRequest queuedRequest, long now) {
    double remainingSeconds = (queuedRequest.exchange().deadlineNanos() - now) / 1e9;
    route.accept(
        queuedRequest.exchange(),
        queuedRequest.request().withBudgetAtMost(Math.max(0, remainingSeconds)));
  }

  /**
   * Schedules routing for the next turn. Uses {@code schedule}, since a task passed to {@code
   * execute} would still run in this turn, before the next poll for I/O.
   */
  private void scheduleRouting() {
    loop.schedule(this::routeQueued, 1, TimeUnit.NANOSECONDS);
  }
}
