package shalepaddle.node;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import shalepaddle.engine.Dispatcher;
import shalepaddle.front.ClientFront;
import shalepaddle.front.ClientListener;
import shalepaddle.hotrestart.ProcessState;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;

/**
 * Ends a node's service at a planned restart. Owns the client listener, in order to stop it.
 *
 * <p>By the protocol, the platform kills a node no sooner than the longest deadline plus {@link
 * #KILL_AFTER_DEADLINE_MILLIS} after the signal that ends it, and sends new connections for a short
 * time after it. Clients use a connection for as long as it stays open. The process can be held up
 * at any moment until the kill, and then loses one request for each connection that is open for
 * requests. Therefore nothing is kept open but what has been taken, and what a client may be
 * taking:
 *
 * <ul>
 *   <li>idle connections are ended at once, others right after their last response;
 *   <li>new connections are accepted for {@link #MAX_ACCEPT_MILLIS} after the signal, and each is
 *       ended after its first response;
 *   <li>if a successor accepts new connections, none are accepted, and idle ones are ended only
 *       after {@link #MAX_HAND_OVER_IDLE_MILLIS}, within {@link #END_IDLE_MILLIS}: the successor
 *       gets the clients little by little;
 *   <li>{@link #FIRST_REQUEST_MILLIS} after the last connection nothing more is read, but the rest
 *       of commands that clients are sending just then;
 *   <li>requests that were read keep their deadlines, limited to {@link
 *       #ANSWERED_BEFORE_KILL_MILLIS} before the earliest kill.
 * </ul>
 *
 * <p>The time for which connections are used counts from the latest moment at which the signal can
 * have come, that of the last answer from the earliest one; a stalled process can't know it better.
 *
 * <p>Used on the event loop only.
 */
final class GracefulShutdown {
  /** How long after the signal connections are accepted; the platform sends them for 400 ms. */
  private static final long MAX_ACCEPT_MILLIS = 500;

  /** How long idle connections stay open if a successor accepts new ones. */
  private static final long MAX_HAND_OVER_IDLE_MILLIS = 1000;

  /** How long before the last response is due idle connections are ended in a hand-over. */
  private static final long MAX_HAND_OVER_END_MILLIS = 450;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Idle connections, of which each millisecond ends a part, need this time if they are many. */
  private static final long END_IDLE_MILLIS = 200;

  /** How long after its connection a client sends its first request at the latest. */
  private static final long FIRST_REQUEST_MILLIS = 50;

  /** The minimum time from the longest deadline to the kill by the platform. */
  private static final long KILL_AFTER_DEADLINE_MILLIS = 700;

  /** The longest deadline that the platform waits for; longer ones are limited to the time left. */
  private static final long MAX_DEADLINE_MILLIS = 3000;

  /** All requests are to be answered this long before the kill. */
  private static final long ANSWERED_BEFORE_KILL_MILLIS = 150;

  /** Commands that clients are still sending are read until this long before the last answer. */
  private static final long STOP_READING_BEFORE_ANSWERED_MILLIS = 80;

  private final EventLoop loop;
  private final LoopClock clock;
  private final Dispatcher dispatcher;
  private final ClientFront front;
  private final SnapshotPublisher snapshots;
  private final Log log;
  private final ShutdownLog shutdownLog;
  private final DoubleSupplier longestDeadlineSeconds;

  /** The client listener, null before the node listens. */
  private Channel listener;

  private boolean isBegun;
  private boolean isAcceptingStopped;

  /**
   * Creates the shutdown of one node.
   *
   * @param longestDeadlineSeconds the longest deadline in the current settings
   */
  GracefulShutdown(
      EventLoop loop,
      LoopClock clock,
      Dispatcher dispatcher,
      ClientFront front,
      SnapshotPublisher snapshots,
      Log log,
      DoubleSupplier longestDeadlineSeconds) {
    this.loop = loop;
    this.clock = clock;
    this.dispatcher = dispatcher;
    this.front = front;
    this.snapshots = snapshots;
    this.log = log;
    this.shutdownLog = new ShutdownLog(loop, clock, dispatcher, front, log);
    this.longestDeadlineSeconds = longestDeadlineSeconds;
  }

  /**
   * Sets the channel that accepts clients, which {@link #stopAccepting} stops. If a shutdown has
   * already stopped accepting, it stops at once.
   */
  void setListener(Channel channel) {
    listener = channel;
    if (isAcceptingStopped) {
      stopAccepting();
    }
  }

  boolean isListening() {
    return listener != null;
  }

  /** The maximum duration of a drain in ms, unless clients do not read their responses. */
  long maxDrainMillis() {
    long maxDeadlineMillis =
        Math.min(MAX_DEADLINE_MILLIS, (long) (longestDeadlineSeconds.getAsDouble() * 1e3));
    return maxDeadlineMillis + KILL_AFTER_DEADLINE_MILLIS - ANSWERED_BEFORE_KILL_MILLIS;
  }

  /**
   * Drains, as {@link LoadBalancer#drain} describes. Idempotent.
   *
   * @param requestedNanos when the process learned of the signal, by the loop's clock
   */
  void drain(long requestedNanos, Runnable onDrained) {
    if (begin(requestedNanos, onDrained)) {
      log.writeRareLine("draining " + front.connectionCount() + " client connections");
      front.endUnneededAfter(loop, 0);
      // After a stall, timers run only once the backlog of the stall has been accepted and read.
      dispatcher
          .timers()
          .runNoEarlierThan(nanosUntil(requestedNanos, MAX_ACCEPT_MILLIS), this::endAccepting);
    }
  }

  /**
   * Drains as {@link LoadBalancer#handOver} describes, or continues a drain that has begun.
   *
   * @param requestedNanos when the process learned of the signal, by the loop's clock
   */
  void handOver(long requestedNanos, Runnable onDrained) {
    log.writeRareLine("handing over " + front.connectionCount() + " client connections");
    if (!begin(requestedNanos, onDrained)) {
      endAccepting();
      return;
    }
    stopAccepting();
    long idleMillis = nanosUntil(requestedNanos, handOverIdleMillis()) / NANOS_PER_MILLI;
    front.endUnneededAfter(loop, idleMillis);
    front.stopReadingAfter(loop, idleMillis + END_IDLE_MILLIS);
  }

  private boolean begin(long requestedNanos, Runnable onDrained) {
    if (isBegun) {
      return false;
    }
    isBegun = true;
    snapshots.enterStage(ProcessState.Stage.DRAINING);
    snapshots.publishState();
    limitDeadlines(requestedNanos);
    front.drain(
        () -> {
          shutdownLog.ended();
          onDrained.run();
        });
    return true;
  }

  /** With short deadlines, the process may be killed before the longest idle time has passed. */
  private long handOverIdleMillis() {
    return Math.min(
        MAX_HAND_OVER_IDLE_MILLIS, Math.max(0, maxDrainMillis() - MAX_HAND_OVER_END_MILLIS));
  }

  private long nanosUntil(long requestedNanos, long millisAfterRequest) {
    long endNanos = requestedNanos + TimeUnit.MILLISECONDS.toNanos(millisAfterRequest);
    return Math.max(0, endNanos - clock.now());
  }

  private void endAccepting() {
    if (!isAcceptingStopped) {
      stopAccepting();
      shutdownLog.step("accepting_stopped");
      front.stopReadingAfter(loop, FIRST_REQUEST_MILLIS);
    }
  }

  /** Limits the requests' deadlines to the time that is left. */
  private void limitDeadlines(long requestedNanos) {
    long now = clock.now();
    long maxSinceSignalMillis = TimeUnit.NANOSECONDS.toMillis(now - clock.earliestArrivalNanos());
    long untilAnsweredMillis = Math.max(0, maxDrainMillis() - maxSinceSignalMillis);
    shutdownLog.begun(
        TimeUnit.NANOSECONDS.toMillis(now - requestedNanos),
        maxSinceSignalMillis,
        untilAnsweredMillis);
    dispatcher.drainBy(now + TimeUnit.MILLISECONDS.toNanos(untilAnsweredMillis));
    front.stopReadingOnAllAfter(
        loop, Math.max(0, untilAnsweredMillis - STOP_READING_BEFORE_ANSWERED_MILLIS));
  }

  /**
   * Closes the listener, or deregisters a shared one from the event loop. Open connections are
   * still served.
   */
  void stopAccepting() {
    isAcceptingStopped = true;
    if (listener instanceof ClientListener clientListener) {
      clientListener.stop();
    } else if (listener != null) {
      listener.close();
    }
    front.listenerClosed();
  }
}
