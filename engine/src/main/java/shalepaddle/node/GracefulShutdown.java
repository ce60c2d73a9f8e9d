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
 * <p>By the protocol a node is killed no sooner than the longest deadline and {@link #KILL_MILLIS}
 * after the signal. All times count from the signal, also where the process was stalled then.
 *
 * <p>On the event loop alone.
 */
final class GracefulShutdown {
  /** New connections go on coming for so long after a planned restart has begun. */
  private static final long ACCEPT_MILLIS = 500;

  private static final long KILL_MILLIS = 700;

  /** The platform waits for no longer deadline than this. */
  private static final long MAX_DEADLINE_MILLIS = 3000;

  /** How long idle client connections stay open after another process took over. */
  private static final long IDLE_MILLIS = 1000;

  /** How long before the kill all requests are answered. */
  private static final long ANSWERED_BEFORE_KILL_MILLIS = 150;

  /** How long before all requests are answered clients are released. */
  private static final long RELEASE_MILLIS = 450;

  /** How long before all requests are answered reading stops: the time for what was read last. */
  private static final long LAST_READ_MILLIS = 80;

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

  /** Clients are accepted there, until {@link #stopAccepting}. */
  void listensOn(Channel channel) {
    listener = channel;
  }

  boolean isListening() {
    return listener != null;
  }

  /** The longest that a drain takes, but for clients that do not read their answers. */
  long maxDrainMillis() {
    long deadline =
        Math.min(MAX_DEADLINE_MILLIS, (long) (longestDeadlineSeconds.getAsDouble() * 1e3));
    return deadline + KILL_MILLIS - ANSWERED_BEFORE_KILL_MILLIS;
  }

  /** See {@link LoadBalancer#drain}. */
  void drain(Runnable onDrained) {
    long answeredMillis = begin();
    long releaseMillis = Math.max(ACCEPT_MILLIS, answeredMillis - RELEASE_MILLIS);
    // These timers wait until what came in a stall has been accepted and read.
    dispatcher
        .timers()
        .runNoEarlierThan(TimeUnit.MILLISECONDS.toNanos(ACCEPT_MILLIS), this::stopAccepting);
    dispatcher
        .timers()
        .runNoEarlierThan(
            TimeUnit.MILLISECONDS.toNanos(releaseMillis),
            () -> {
              log.line("draining " + front.connectionCount() + " client connections");
              front.drain(loop, 0, lastReadMillis(answeredMillis - releaseMillis), onDrained);
            });
  }

  /** See {@link LoadBalancer#handOver}. */
  void handOver(Runnable onDrained) {
    long answeredMillis = begin();
    stopAccepting();
    log.line("handing over " + front.connectionCount() + " client connections");
    // Where deadlines are short the process is killed before connections were idle for as long.
    long idleMillis = Math.min(IDLE_MILLIS, Math.max(0, answeredMillis - RELEASE_MILLIS));
    long releaseMillis = Math.min(answeredMillis - idleMillis, RELEASE_MILLIS);
    front.drain(loop, idleMillis, lastReadMillis(releaseMillis), onDrained);
  }

  /** When reading stops, of so many milliseconds in which all is answered. */
  private static long lastReadMillis(long millis) {
    return Math.max(0, millis - LAST_READ_MILLIS);
  }

  /** Returns in how many milliseconds all requests have been answered. */
  private long begin() {
    snapshots.enter(ProcessState.Stage.DRAINING);
    snapshots.publishState();
    log.line("event=totals " + dispatcher.recorder().totals());
    long sinceSignalMillis = TimeUnit.NANOSECONDS.toMillis(clock.now() - clock.earliestArrival());
    long answeredMillis = Math.max(0, maxDrainMillis() - sinceSignalMillis);
    dispatcher.drainBy(clock.now() + TimeUnit.MILLISECONDS.toNanos(answeredMillis));
    return answeredMillis;
  }

  /** Accepts no more clients; those that are connected are served on. */
  void stopAccepting() {
    front.listenerClosed();
    if (listener instanceof ClientListener shared) {
      shared.stop();
    } else if (listener != null) {
      listener.close();
    }
  }
}
