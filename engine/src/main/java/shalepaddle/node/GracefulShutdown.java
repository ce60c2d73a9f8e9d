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
 * The end of a node's service: a planned restart without a successor ({@link #drain}) or with one
 * that has taken over ({@link #handOver}). Owns the clients' listener, so as to stop it.
 *
 * <p>By the protocol, the platform kills a node no sooner than the longest deadline plus {@link
 * #KILL_MILLIS} after the signal that ends it. All requests are to be answered {@link
 * #ANSWERED_BEFORE_KILL_MILLIS} before that. This time counts from the signal even if the process
 * was stalled when it came; the steps of a drain before it are timers, set when the loop handles
 * it.
 *
 * <p>On the event loop alone.
 */
final class GracefulShutdown {
  /** How long after the start of a planned restart the platform still sends new connections. */
  private static final long ACCEPT_MILLIS = 500;

  /** How long after the longest deadline the platform kills a node, at the earliest. */
  private static final long KILL_MILLIS = 700;

  /** The longest deadline that the platform waits for; requests with longer ones are cut short. */
  private static final long MAX_DEADLINE_MILLIS = 3000;

  /** How long idle client connections stay open after another process took over. */
  private static final long HAND_OVER_IDLE_MILLIS = 1000;

  /** How long before the kill all requests are answered. */
  private static final long ANSWERED_BEFORE_KILL_MILLIS = 150;

  /** How long before the time for the last answer the closing of idle connections begins. */
  private static final long CLOSE_IDLE_BEFORE_ANSWERED_MILLIS = 450;

  /**
   * How long before the time for the last answer reading stops: left for the requests read last.
   */
  private static final long STOP_READING_BEFORE_ANSWERED_MILLIS = 80;

  private final EventLoop loop;
  private final LoopClock clock;
  private final Dispatcher dispatcher;
  private final ClientFront front;
  private final SnapshotPublisher snapshots;
  private final Log log;
  private final DoubleSupplier longestDeadlineSeconds;

  /** Null before the node listens. */
  private Channel listener;

  /**
   * For one node.
   *
   * @param longestDeadlineSeconds the longest time that a client may wait, by the settings in force
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
    this.longestDeadlineSeconds = longestDeadlineSeconds;
  }

  /** Sets the channel that accepts clients, until {@link #stopAccepting}. */
  void listensOn(Channel channel) {
    listener = channel;
  }

  boolean isListening() {
    return listener != null;
  }

  /** The longest duration of a drain in ms, unless clients do not read their answers. */
  long maxDrainMillis() {
    long deadline =
        Math.min(MAX_DEADLINE_MILLIS, (long) (longestDeadlineSeconds.getAsDouble() * 1e3));
    return deadline + KILL_MILLIS - ANSWERED_BEFORE_KILL_MILLIS;
  }

  /** See {@link LoadBalancer#drain}. */
  void drain(Runnable onDrained) {
    long answeredMillis = begin();
    long closeIdleMillis =
        Math.max(ACCEPT_MILLIS, answeredMillis - CLOSE_IDLE_BEFORE_ANSWERED_MILLIS);
    // After a stall these timers run only once its backlog has been accepted and read.
    dispatcher
        .timers()
        .runNoEarlierThan(TimeUnit.MILLISECONDS.toNanos(ACCEPT_MILLIS), this::stopAccepting);
    dispatcher
        .timers()
        .runNoEarlierThan(
            TimeUnit.MILLISECONDS.toNanos(closeIdleMillis),
            () -> {
              log.line("draining " + front.connectionCount() + " client connections");
              front.drain(loop, 0, stopReadingMillis(answeredMillis - closeIdleMillis), onDrained);
            });
  }

  /** See {@link LoadBalancer#handOver}. */
  void handOver(Runnable onDrained) {
    long answeredMillis = begin();
    stopAccepting();
    log.line("handing over " + front.connectionCount() + " client connections");
    // With short deadlines the process would be killed before HAND_OVER_IDLE_MILLIS have passed.
    long idleMillis =
        Math.min(
            HAND_OVER_IDLE_MILLIS, Math.max(0, answeredMillis - CLOSE_IDLE_BEFORE_ANSWERED_MILLIS));
    long closeIdleMillis = Math.min(answeredMillis - idleMillis, CLOSE_IDLE_BEFORE_ANSWERED_MILLIS);
    front.drain(loop, idleMillis, stopReadingMillis(closeIdleMillis), onDrained);
  }

  /** When reading stops, in ms, if all requests are to be answered within the given time. */
  private static long stopReadingMillis(long answeredMillis) {
    return Math.max(0, answeredMillis - STOP_READING_BEFORE_ANSWERED_MILLIS);
  }

  /**
   * Publishes the stage, logs the totals and cuts the requests' deadlines to the time that is left.
   *
   * @return in how many milliseconds from now all requests are to be answered
   */
  private long begin() {
    snapshots.enter(ProcessState.Stage.DRAINING);
    snapshots.publishState();
    log.line("event=totals " + dispatcher.recorder().totals());
    long sinceSignalMillis = TimeUnit.NANOSECONDS.toMillis(clock.now() - clock.earliestArrival());
    long answeredMillis = Math.max(0, maxDrainMillis() - sinceSignalMillis);
    dispatcher.drainBy(clock.now() + TimeUnit.MILLISECONDS.toNanos(answeredMillis));
    return answeredMillis;
  }

  /** Closes the listener, or takes a shared one off the loop; open connections are still served. */
  void stopAccepting() {
    front.listenerClosed();
    if (listener instanceof ClientListener shared) {
      shared.stop();
    } else if (listener != null) {
      listener.close();
    }
  }
}
