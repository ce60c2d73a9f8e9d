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
 * Ends a node's service at a planned restart, without a successor ({@link #drain}) or with one that
 * has taken over ({@link #handOver}). Owns the client listener, in order to stop it.
 *
 * <p>By the protocol, the platform kills a node no sooner than the longest deadline plus {@link
 * #KILL_AFTER_DEADLINE_MILLIS} after the signal that ends it. All requests are to be answered
 * {@link #ANSWERED_BEFORE_KILL_MILLIS} before that. This time counts from the signal, even if the
 * process was stalled when the signal came. The earlier steps of a drain are timers that start when
 * the loop handles the signal.
 *
 * <p>Used on the event loop only.
 */
final class GracefulShutdown {
  /** How long after the start of a planned restart the platform still sends new connections. */
  private static final long MIN_ACCEPT_MILLIS = 500;

  /** The minimum time from the longest deadline to the kill by the platform. */
  private static final long KILL_AFTER_DEADLINE_MILLIS = 700;

  /** The longest deadline that the platform waits for; longer ones are limited to the time left. */
  private static final long MAX_DEADLINE_MILLIS = 3000;

  /** How long idle client connections stay open after another process has taken over. */
  private static final long MAX_HAND_OVER_IDLE_MILLIS = 1000;

  /** All requests are to be answered this long before the kill. */
  private static final long ANSWERED_BEFORE_KILL_MILLIS = 150;

  /** Idle connections are closed from this long before the last response is due. */
  private static final long CLOSE_IDLE_BEFORE_ANSWERED_MILLIS = 450;

  /**
   * Reading stops this long before the last response is due, so that the requests that were read
   * last can be answered.
   */
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

  /** Sets the channel that accepts clients, which {@link #stopAccepting} stops. */
  void setListener(Channel channel) {
    listener = channel;
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

  /** Drains without a successor, as {@link LoadBalancer#drain} describes. */
  void drain(Runnable onDrained) {
    long untilAnsweredMillis = beginShutdown();
    long untilCloseIdleMillis =
        Math.max(MIN_ACCEPT_MILLIS, untilAnsweredMillis - CLOSE_IDLE_BEFORE_ANSWERED_MILLIS);
    // After a stall, timers run only once the backlog of the stall has been accepted and read.
    dispatcher
        .timers()
        .runNoEarlierThan(
            TimeUnit.MILLISECONDS.toNanos(MIN_ACCEPT_MILLIS),
            () -> {
              stopAccepting();
              shutdownLog.step("accepting_stopped");
            });
    dispatcher
        .timers()
        .runNoEarlierThan(
            TimeUnit.MILLISECONDS.toNanos(untilCloseIdleMillis),
            () -> {
              log.writeLine("draining " + front.connectionCount() + " client connections");
              front.drain(
                  loop,
                  0,
                  untilStopReadingMillis(untilAnsweredMillis - untilCloseIdleMillis),
                  () -> end(onDrained));
            });
  }

  /** Drains after a successor has taken over, as {@link LoadBalancer#handOver} describes. */
  void handOver(Runnable onDrained) {
    long untilAnsweredMillis = beginShutdown();
    stopAccepting();
    log.writeLine("handing over " + front.connectionCount() + " client connections");
    // With short deadlines, the process may be killed before MAX_HAND_OVER_IDLE_MILLIS have passed.
    long maxIdleMillis =
        Math.min(
            MAX_HAND_OVER_IDLE_MILLIS,
            Math.max(0, untilAnsweredMillis - CLOSE_IDLE_BEFORE_ANSWERED_MILLIS));
    long closeIdleToAnsweredMillis =
        Math.min(untilAnsweredMillis - maxIdleMillis, CLOSE_IDLE_BEFORE_ANSWERED_MILLIS);
    front.drain(
        loop,
        maxIdleMillis,
        untilStopReadingMillis(closeIdleToAnsweredMillis),
        () -> end(onDrained));
  }

  private void end(Runnable onDrained) {
    shutdownLog.ended();
    onDrained.run();
  }

  /**
   * The time in ms until reading stops, if all requests are to be answered within the given time.
   */
  private static long untilStopReadingMillis(long untilAnsweredMillis) {
    return Math.max(0, untilAnsweredMillis - STOP_READING_BEFORE_ANSWERED_MILLIS);
  }

  /**
   * Publishes the stage, logs the totals and limits the requests' deadlines to the time left.
   *
   * @return the milliseconds from now until all requests are to be answered
   */
  private long beginShutdown() {
    snapshots.enterStage(ProcessState.Stage.DRAINING);
    snapshots.publishState();
    long sinceSignalMillis =
        TimeUnit.NANOSECONDS.toMillis(clock.now() - clock.earliestArrivalNanos());
    long untilAnsweredMillis = Math.max(0, maxDrainMillis() - sinceSignalMillis);
    shutdownLog.begun(0, sinceSignalMillis, untilAnsweredMillis);
    dispatcher.drainBy(clock.now() + TimeUnit.MILLISECONDS.toNanos(untilAnsweredMillis));
    return untilAnsweredMillis;
  }

  /**
   * Closes the listener, or deregisters a shared one from the event loop. Open connections are
   * still served.
   */
  void stopAccepting() {
    front.listenerClosed();
    if (listener instanceof ClientListener clientListener) {
      clientListener.stop();
    } else if (listener != null) {
      listener.close();
    }
  }
}
