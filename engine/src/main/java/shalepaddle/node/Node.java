package shalepaddle.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import shalepaddle.admin.AdminServer;
import shalepaddle.config.NodeConfig;
import shalepaddle.config.OperatorFile;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Engine;
import shalepaddle.engine.WarmStartLog;
import shalepaddle.hotrestart.HotRestart;
import shalepaddle.hotrestart.ProcessFiles;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.loop.LogWriter;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.StallReporter;
import shalepaddle.loop.ThreadTimes;
import shalepaddle.loop.WatchedIoHandler;
import shalepaddle.model.Observation;
import shalepaddle.overload.OverloadSnapshot;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/**
 * One load balancer with its own event loop thread and, if the configuration has an address for it,
 * an admin server. Covers startup, configuration reload and shutdown. {@link NodeProcess} runs a
 * node as a process.
 *
 * <p>Methods may be called from any thread except the event loop, since most of them wait for it.
 */
public final class Node implements AutoCloseable {
  /** This time is added to the maximum drain time, so that clients can read the last responses. */
  private static final long LINGER_MILLIS = 2000;

  /**
   * How long a start waits for the discovery agent's list. The agent answers at once, unless
   * discovery is down and the agent has nothing new.
   */
  private static final long FIRST_LIST_TIMEOUT_MILLIS = 250;

  /** The step of {@link #awaitDrained(long)}: a stall of any length counts as one step at most. */
  private static final long DRAIN_STEP_MILLIS = 50;

  /** How long a drain waits for the look for a successor. */
  private static final long MAX_SUCCESSOR_CHECK_MILLIS = 50;

  /** How long the end of the process waits for the reader of its log. */
  private static final long MAX_LOG_FLUSH_MILLIS = 200;

  /** Stalls longer than this are logged. */
  private static final long MIN_LOGGED_STALL_NANOS = 250_000_000L;

  private final NodeConfig config;
  private final Log log = new Log();
  private final Transport transport;
  private final EventLoopThreads threads;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final LoopClock clock;
  private final LoadBalancer balancer;
  private final CountDownLatch drainedLatch = new CountDownLatch(1);

  /** The client listener that the platform opened, null if the node opens its own. */
  private final ServerSocketChannel inheritedListener;

  /** The files shared with other processes of this node, null if there are none. */
  private final ProcessFiles files;

  /** The admin server, null before it opens or if the configuration has no address for it. */
  private AdminServer adminServer;

  /** Exchanges state with other processes; null before {@link #prepare}, or without files. */
  private HotRestart hotRestart;

  private volatile boolean isListening;
  private volatile boolean haltsOnLoopFailure;

  /** Creates a node that is not listening yet. */
  public Node(NodeConfig config, OperatorFile operator) {
    this(config, operator, DescriptorBudget.connectionsPerServer(config));
  }

  /** Creates a node that opens at most {@code connectionsPerServer} connections to each server. */
  Node(NodeConfig config, OperatorFile operator, int connectionsPerServer) {
    this(config, operator, connectionsPerServer, null, null);
  }

  /**
   * Creates a node that is not listening yet.
   *
   * @param connectionsPerServer the maximum number of connections to each server
   * @param inheritedListener the client listener, null to open one
   * @param files the files shared with other processes of this node, null if there are none
   */
  Node(
      NodeConfig config,
      OperatorFile operator,
      int connectionsPerServer,
      ServerSocketChannel inheritedListener,
      ProcessFiles files) {
    this.inheritedListener = inheritedListener;
    this.files = files;
    this.config = config;
    // This call precedes the loading of any Netty class: each obtains its logger when it is loaded.
    NettyLog.install(log);
    transport = Transport.sockets();
    clock = new LoopClock(Ticker.systemTicker(), new StallListener());
    threads = new EventLoopThreads(log, this::handleLoopFailure);
    group = newLoopGroup(clock, threads);
    loop = group.next();
    balancer =
        new LoadBalancer(
            config, operator, connectionsPerServer, loop, clock, newClock(), transport, log);
  }

  /** Handles an event loop that ended unexpectedly: no request can be answered any more. */
  private void handleLoopFailure() {
    isListening = false;
    if (haltsOnLoopFailure) {
      LogWriter.standardError().flush(MAX_LOG_FLUSH_MILLIS);
      Runtime.getRuntime().halt(EventLoopThreads.LOOP_FAILURE_EXIT_CODE);
    }
  }

  private static MultiThreadIoEventLoopGroup newLoopGroup(LoopClock clock, ThreadFactory threads) {
    return new MultiThreadIoEventLoopGroup(
        1, threads, WatchedIoHandler.factory(NioIoHandler.newFactory(), clock));
  }

  private static Clock newClock() {
    return new Clock(Ticker.systemTicker(), System.currentTimeMillis());
  }

  /** Logs the event loop's stalls, and passes stalls and turns to the load balancer. */
  private final class StallListener implements LoopClock.Listener {
    private final ThreadTimes threadTimes = new ThreadTimes();
    private final StallReporter reporter = new StallReporter(Ticker.systemTicker(), log);

    @Override
    public void onStall(long stallNanos) {
      // Stalls during startup are not logged: loading and compiling classes causes many.
      if (stallNanos > MIN_LOGGED_STALL_NANOS && isListening) {
        log.writeLine(
            "event loop stalled for "
                + TimeUnit.NANOSECONDS.toMillis(stallNanos)
                + " ms"
                + threadTimes.describeSinceSample(clock.now()));
        reporter.stallEnded(stallNanos);
      }
      balancer.recordStall(stallNanos);
    }

    @Override
    public void onTurnEnd(long startedAtNanos, long now) {
      threadTimes.sample(now);
      reporter.turnEnded(now);
      balancer.recordLoopTurn(startedAtNanos, now);
    }

    @Override
    public void onTaskFailure(RuntimeException cause) {
      log.writeFailure("task after an event-loop stall", cause);
    }
  }

  /**
   * From now on a failed event loop ends the process, with {@link
   * EventLoopThreads#LOOP_FAILURE_EXIT_CODE}: a process without its event loop looks healthy but
   * answers no request.
   */
  void haltOnLoopFailure() {
    haltsOnLoopFailure = true;
  }

  /**
   * Opens the admin server if it has an address. Called before all other steps of a start, so that
   * operators can observe the start.
   *
   * @throws IOException if the admin server cannot listen at its address
   */
  void openAdminServer() throws IOException, InterruptedException {
    if (config.adminAddress() != null) {
      adminServer =
          new AdminServer(
              config.adminAddress(),
              transport.allocator(),
              new NodeAdminOperations(loop, balancer, () -> isListening && balancer.isReady()));
    }
  }

  /**
   * Reads the configuration file again and applies it completely or not at all: if the file is
   * incomplete or invalid, the current configuration remains in force. Synchronized, so that the
   * newest file wins.
   *
   * @param startupJson the file's content at startup; the new file must have all of its keys
   */
  synchronized void reload(String configFile, JsonObject startupJson) {
    // The file is read on the caller's thread: the event loop must not wait for a disk.
    try {
      NodeConfig newConfig = NodeConfig.reload(configFile, startupJson);
      loop.execute(() -> balancer.applyConfiguration(newConfig));
    } catch (FormatException e) {
      loop.execute(() -> balancer.rejectConfiguration(e.getMessage()));
    }
  }

  /**
   * Prepares the node and listens for clients; returns the address.
   *
   * @throws IOException if it cannot listen at the configured address
   */
  public InetSocketAddress start() throws IOException, InterruptedException {
    openAdminServer();
    prepare();
    return listen();
  }

  /** Warms up the node's code, and replays the observations of the process that it replaces. */
  void prepare() throws InterruptedException {
    if (files == null) {
      Warmup.run(config, transport, log);
      loop.submit(balancer::start).await();
      return;
    }
    WarmStartLog observations = new WarmStartLog();
    hotRestart =
        new HotRestart(
            files,
            balancer::processState,
            observations::observations,
            (exclusions, processCount, clientConnections, serverConnections) ->
                loop.execute(
                    () ->
                        balancer.updatePeerProcesses(
                            exclusions, processCount, clientConnections, serverConnections)));
    // Polling starts before the warm-up: the other process publishes observations meanwhile.
    hotRestart.start();
    Warmup.run(config, transport, log);
    List<Observation> pastObservations = files.takeObservations();
    loop.submit(
            () -> {
              balancer.recordObservations(observations);
              balancer.startWithObservations(pastObservations);
            })
        .await();
    if (!pastObservations.isEmpty()) {
      log.writeLine(
          "warm start: replayed " + pastObservations.size() + " attempts of the previous process");
    }
    // This poll applies the other processes' exclusions before the first request.
    hotRestart.poll();
    loop.submit(() -> {}).await();
  }

  /**
   * Listens for clients; returns the address.
   *
   * @throws IOException if it cannot listen at the configured address
   */
  InetSocketAddress listen() throws IOException, InterruptedException {
    balancer.awaitPushedList(FIRST_LIST_TIMEOUT_MILLIS);
    ChannelFuture bindFuture =
        (inheritedListener == null
                ? balancer.listen(config.listenAddress())
                : balancer.listen(inheritedListener))
            .await();
    if (!bindFuture.isSuccess()) {
      throw new IOException(bindFuture.cause().getMessage());
    }
    // The empty task runs after the listener of the future, which makes the balancer ready.
    loop.submit(() -> {}).await();
    if (hotRestart != null) {
      // The state is published before the admin server reports readiness: the platform may end
      // the other process as soon as it sees the readiness.
      hotRestart.publish();
    }
    isListening = true;
    return (InetSocketAddress) bindFuture.channel().localAddress();
  }

  /** Drains the node; returns when all requests are answered, or after a bounded time. */
  void drain() {
    long requestedNanos = clock.now();
    log.writeRareLine("event=shutdown_requested at=" + Instant.now());
    Runnable handOver = () -> balancer.handOver(requestedNanos, drainedLatch::countDown);
    Runnable drain = () -> balancer.drain(requestedNanos, drainedLatch::countDown);
    CountDownLatch successorChecked = new CountDownLatch(1);
    if (hotRestart != null) {
      checkSuccessor(handOver, successorChecked);
      awaitSuccessorCheck(successorChecked);
    }
    // A hand-over that has begun is not changed by this.
    loop.execute(drain);
    try {
      boolean isDrainComplete = awaitDrained(balancer.maxDrainMillis() + LINGER_MILLIS);
      log.writeLine(
          isDrainComplete
              ? "drained"
              : "event=drain_timeout client_connections=" + balancer.clientConnections());
      LogWriter.standardError().flush(MAX_LOG_FLUSH_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Hands over if a successor is ready, on a thread of its own: a drain must not wait for the disk
   * on which the processes of a node publish their states.
   */
  private void checkSuccessor(Runnable handOver, CountDownLatch checked) {
    Thread thread =
        new Thread(
            () -> {
              if (hotRestart.isSuccessorReady()) {
                loop.execute(handOver);
              }
              checked.countDown();
            },
            "successor-check");
    thread.setDaemon(true);
    thread.start();
  }

  private static void awaitSuccessorCheck(CountDownLatch checked) {
    try {
      checked.await(MAX_SUCCESSOR_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits until all requests are answered; returns false after {@code timeoutMillis} in which the
   * process ran. The time is counted in steps, and a stall of any length counts as one step at
   * most, so that a stall does not use up the time.
   */
  private boolean awaitDrained(long timeoutMillis) throws InterruptedException {
    for (long remainingMillis = timeoutMillis;
        remainingMillis > 0;
        remainingMillis -= DRAIN_STEP_MILLIS) {
      if (drainedLatch.await(DRAIN_STEP_MILLIS, TimeUnit.MILLISECONDS)) {
        return true;
      }
    }
    return false;
  }

  /** Blocks until a {@link #drain} has ended. */
  void awaitDrained() throws InterruptedException {
    drainedLatch.await();
  }

  /** The address on which the admin server listens, null if there is none. */
  public InetSocketAddress adminAddress() {
    return adminServer == null ? null : adminServer.address();
  }

  Log log() {
    return log;
  }

  EventLoop loop() {
    return loop;
  }

  Dispatcher dispatcher() {
    return balancer.dispatcher();
  }

  LoadBalancer balancer() {
    return balancer;
  }

  /** The state of overload control, a few milliseconds old. May be called from any thread. */
  public OverloadSnapshot overloadSnapshot() {
    return balancer.overloadSnapshot();
  }

  /** The engine, to which other threads submit calls. May be called from any thread. */
  public Engine engine() {
    return balancer.engine();
  }

  /** Closes the node at once, after answering every open request. Idempotent. */
  @Override
  public void close() {
    if (!group.isShuttingDown()) {
      if (adminServer != null) {
        adminServer.close();
      }
      if (hotRestart != null) {
        hotRestart.close();
      }
      threads.allowShutdown();
      loop.submit(balancer::close).awaitUninterruptibly();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
