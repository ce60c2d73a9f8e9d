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
 * Where requests wait for a turn of the event loop in which they are begun. All of it runs on that
 * loop.
 */
final class RequestQueue {
  /**
   * How long one turn of the event loop begins requests, before those that it has read wait for the
   * next. Guards against turns so long that no answer, timer or new request is looked at meanwhile.
   */
  private static final long TURN_NANOS = 3_000_000;

  /** Requests that wait for a turn at most. */
  private static final int MAX_WAITING = 1024;

  /** A request that waits for its turn. */
  private record Waiting(Exchange exchange, Request taken) {}

  private final EventLoop loop;
  private final LoopClock clock;
  private final OverloadControl overload;
  private final BiConsumer<Exchange, Request> begin;
  private final Consumer<Exchange> turnAway;
  private AdmissionQueue<Waiting> intake;

  /** The turn in which requests were begun last, and since when. */
  private long turn = -1;

  private long turnSince;

  /**
   * Nobody waits.
   *
   * @param begin begins a request
   * @param turnAway refuses one that has waited too long
   */
  RequestQueue(
      EventLoop loop,
      LoopClock clock,
      OverloadControl overload,
      BiConsumer<Exchange, Request> begin,
      Consumer<Exchange> turnAway) {
    this.loop = loop;
    this.clock = clock;
    this.overload = overload;
    this.begin = begin;
    this.turnAway = turnAway;
    this.intake = emptyIntake();
  }

  private AdmissionQueue<Waiting> emptyIntake() {
    return overload.newAdmissionQueue(MAX_WAITING, waiting -> turnAway.accept(waiting.exchange()));
  }

  /** What waits is begun first, since it lies by the old tiers; the next by these settings. */
  void retune(Settings next) {
    long now = clock.now();
    for (Waiting waiting = intake.poll(now); waiting != null; waiting = intake.poll(now)) {
      begin(waiting, now);
    }
    overload.updateSettings(next);
    intake = emptyIntake();
  }

  /** Begins a request now, or lets it wait where this turn has begun as many as it should. */
  void enter(Exchange request, Request taken) {
    long now = clock.now();
    if (intake.size() == 0 && !turnSpent(now)) {
      begin.accept(request, taken);
      return;
    }
    if (intake.size() == 0) {
      beginLater();
    }
    intake.offer(
        new Waiting(request, taken), overload.tier(taken.serviceClass(), taken.retry()), now);
  }

  /** Nanoseconds for which a request has waited for its turn, 0 if none waits. */
  long oldestQueuedNanos() {
    return intake.oldestWaitNanos(clock.now());
  }

  /** Forgets what waits. */
  void close() {
    intake.rejectAll();
  }

  private boolean turnSpent(long now) {
    if (turn != clock.turn()) {
      turn = clock.turn();
      turnSince = now;
    }
    return now - turnSince > TURN_NANOS;
  }

  /** Begins what waits, for as long as one turn may; the event loop then reads before the rest. */
  private void beginWaiting() {
    long since = clock.now();
    long now = since;
    while (now - since <= TURN_NANOS) {
      Waiting next = intake.poll(now);
      if (next == null) {
        return;
      }
      begin(next, now);
      now = clock.now();
    }
    if (intake.size() > 0) {
      beginLater();
    }
  }

  private void begin(Waiting next, long now) {
    double left = (next.exchange().deadlineNanos() - now) / 1e9;
    begin.accept(next.exchange(), next.taken().withBudgetAtMost(Math.max(0, left)));
  }

  /** In the next turn: what is executed at once runs in this one, before anything more is read. */
  private void beginLater() {
    loop.schedule(this::beginWaiting, 1, TimeUnit.NANOSECONDS);
  }
}
