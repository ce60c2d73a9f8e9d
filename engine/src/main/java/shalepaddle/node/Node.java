package shalepaddle.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
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
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.WatchedIoHandler;
import shalepaddle.model.Observation;
import shalepaddle.overload.OverloadSnapshot;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/**
 * One load balancer with its own event loop thread and, where the configuration has an address for
 * it, its admin server: start, configuration reload, and an orderly end. {@link NodeProcess} runs
 * it as a process.
 *
 * <p>Methods may be called from any thread but the event loop, for which most of them wait.
 */
public final class Node implements AutoCloseable {
  /** Added to the longest drain: the time in which clients may read the last answers. */
  private static final long LINGER_MILLIS = 2000;

  /**
   * How long a start waits for an agent's list. An agent answers at once, unless discovery is down
   * and it has nothing new.
   */
  private static final long FIRST_LIST_MILLIS = 250;

  /** How often {@link #awaitDrained(long)} checks: the most of its time that one stall uses up. */
  private static final long DRAIN_STEP_MILLIS = 50;

  /** Stalls longer than this are logged. */
  private static final long LOGGED_STALL_NANOS = 250_000_000L;

  private final NodeConfig config;
  private final Log log = new Log();
  private final Transport transport;
  private final EventLoopThreads threads;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final LoopClock clock;
  private final LoadBalancer balancer;
  private final CountDownLatch drained = new CountDownLatch(1);

  /** The clients' listener that the platform opened, null where the node opens its own. */
  private final ServerSocketChannel inherited;

  /** Shared with other processes of this node, null where there can be none. */
  private final ProcessFiles files;

  /** Null without an address for it. */
  private AdminServer adminServer;

  /** Null where {@link #files} is. */
  private HotRestart hotRestart;

  private volatile boolean listening;
  private volatile boolean haltsOnLoopFailure;

  /** A node that is not listening yet. */
  public Node(NodeConfig config, OperatorFile operator) {
    this(config, operator, DescriptorBudget.connectionsPerServer(config));
  }

  /** A node that opens at most {@code connections} to each server. */
  Node(NodeConfig config, OperatorFile operator, int connections) {
    this(config, operator, connections, null, null);
  }

  /**
   * A node that is not listening yet.
   *
   * @param connections the most that it opens to each server
   * @param inherited the clients' listener, null to open one
   * @param files shared with other processes of this node, null where there can be none
   */
  Node(
      NodeConfig config,
      OperatorFile operator,
      int connections,
      ServerSocketChannel inherited,
      ProcessFiles files) {
    this.inherited = inherited;
    this.files = files;
    this.config = config;
    // Before any class of the transport is loaded: each keeps the logger that it finds then.
    NettyLog.install(log);
    transport = Transport.sockets();
    clock = new LoopClock(Ticker.systemTicker(), new StallListener());
    threads = new EventLoopThreads(log, this::loopFailed);
    group = group(clock, threads);
    loop = group.next();
    balancer =
        new LoadBalancer(config, operator, connections, loop, clock, clock(), transport, log);
  }

  /** The event loop has ended by itself: no request can be answered any more. */
  private void loopFailed() {
    listening = false;
    if (haltsOnLoopFailure) {
      Runtime.getRuntime().halt(EventLoopThreads.EXIT_CODE);
    }
  }

  private static MultiThreadIoEventLoopGroup group(LoopClock clock, ThreadFactory threads) {
    return new MultiThreadIoEventLoopGroup(
        1, threads, WatchedIoHandler.factory(NioIoHandler.newFactory(), clock));
  }

  private static Clock clock() {
    return new Clock(Ticker.systemTicker(), System.currentTimeMillis());
  }

  /** Logs the event loop's stalls and passes them on. */
  private final class StallListener implements LoopClock.Listener {
    @Override
    public void onStall(long nanos) {
      // Not while it starts: loading and compiling its classes is one long turn after the other.
      if (nanos > LOGGED_STALL_NANOS && listening) {
        log.line("stood still for " + nanos / 1_000_000 + " ms");
      }
      balancer.recordStall(nanos);
    }

    @Override
    public void onTurnEnd(long begunAt, long now) {
      balancer.recordLoopTurn(begunAt, now);
    }

    @Override
    public void onTaskFailure(RuntimeException cause) {
      log.failure("after an event-loop stall", cause);
    }
  }

  /**
   * From now on a failed event loop ends the process, with {@link EventLoopThreads#EXIT_CODE}: one
   * that lives on without its loop looks healthy and answers nobody.
   */
  void haltOnLoopFailure() {
    haltsOnLoopFailure = true;
  }

  /**
   * Opens the admin server, where there is an address for it: before all else, so that operators
   * can see the start.
   *
   * @throws IOException if it cannot listen there
   */
  void openAdminServer() throws IOException, InterruptedException {
    if (config.adminAddress() != null) {
      adminServer =
          new AdminServer(
              config.adminAddress(),
              transport.allocator(),
              new NodeAdminOperations(loop, balancer, () -> listening && balancer.isReady()));
    }
  }

  /**
   * Applies the configuration file as it is now, completely or not at all: the one in force stays
   * where the file is half written or wrong. Synchronized, so that the newest file wins.
   *
   * @param startupJson what the file contained at the start: each of its keys is still needed
   */
  synchronized void reload(String configFile, JsonObject startupJson) {
    // Read and checked on the caller's thread: the event loop must not wait for a disk.
    try {
      NodeConfig next = NodeConfig.reload(configFile, startupJson);
      loop.execute(() -> balancer.applyConfiguration(next));
    } catch (FormatException e) {
      loop.execute(() -> balancer.rejectConfiguration(e.getMessage()));
    }
  }

  /**
   * Gets ready and listens; returns the address.
   *
   * @throws IOException if it cannot listen at the configured address
   */
  public InetSocketAddress start() throws IOException, InterruptedException {
    openAdminServer();
    prepare();
    return listen();
  }

  /** Gets ready for requests: warms up, and learns from a process that this one replaces. */
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
            observations::all,
            (exclusions, partners, clients, servers) ->
                loop.execute(
                    () -> balancer.updatePartners(exclusions, partners, clients, servers)));
    // Before the warm-up: the other process publishes its observations meanwhile.
    hotRestart.start();
    Warmup.run(config, transport, log);
    List<Observation> past = files.takeObservations();
    loop.submit(
            () -> {
              balancer.recordObservations(observations);
              balancer.startAfter(past);
            })
        .await();
    if (!past.isEmpty()) {
      log.line("learned from " + past.size() + " attempts of the process before");
    }
    // Before the first request: exclusions are in force in every process of the node.
    hotRestart.poll();
    loop.submit(() -> {}).await();
  }

  /**
   * Listens for clients; returns the address.
   *
   * @throws IOException if it cannot listen at the configured address
   */
  InetSocketAddress listen() throws IOException, InterruptedException {
    balancer.awaitPushedList(FIRST_LIST_MILLIS);
    ChannelFuture bound =
        (inherited == null ? balancer.listen(config.listen()) : balancer.listen(inherited)).await();
    if (!bound.isSuccess()) {
      throw new IOException(bound.cause().getMessage());
    }
    // The future is done before its listener has run, which makes the balancer ready.
    loop.submit(() -> {}).await();
    if (hotRestart != null) {
      // Before this node says that it is ready: the platform may end the other process as soon as
      // it reads that.
      hotRestart.publish();
    }
    listening = true;
    return (InetSocketAddress) bound.channel().localAddress();
  }

  /** A planned restart; returns when all requests are answered, or after a bounded time. */
  void drain() {
    boolean successor = hotRestart != null && hotRestart.isSuccessorReady();
    loop.execute(
        () -> {
          if (successor) {
            balancer.handOver(drained::countDown);
          } else {
            balancer.drain(drained::countDown);
          }
        });
    try {
      boolean complete = awaitDrained(balancer.maxDrainMillis() + LINGER_MILLIS);
      log.line(
          complete
              ? "drained"
              : "event=drain_timeout client_connections=" + balancer.clientConnections());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits until all requests are answered; false after {@code millis} in which the process ran. The
   * time is counted in steps, and a stall of any length takes one, so that a stall does not use up
   * the time.
   */
  private boolean awaitDrained(long millis) throws InterruptedException {
    for (long left = millis; left > 0; left -= DRAIN_STEP_MILLIS) {
      if (drained.await(DRAIN_STEP_MILLIS, TimeUnit.MILLISECONDS)) {
        return true;
      }
    }
    return false;
  }

  /** Blocks until a {@link #drain} has ended. */
  void awaitDrained() throws InterruptedException {
    drained.await();
  }

  /** Where the admin server listens, null without one. */
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

  /** See {@link LoadBalancer#overloadSnapshot}. From any thread. */
  public OverloadSnapshot overloadSnapshot() {
    return balancer.overloadSnapshot();
  }

  /** Submits calls from other threads. From any thread. */
  public Engine engine() {
    return balancer.engine();
  }

  /** Ends at once: every open request gets its one answer. Does nothing the second time. */
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
