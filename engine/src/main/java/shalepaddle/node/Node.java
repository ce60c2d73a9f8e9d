package shalepaddle.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Ticker;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
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
import shalepaddle.hotrestart.InheritedListener;
import shalepaddle.hotrestart.ProcessFiles;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.WatchedIoHandler;
import shalepaddle.membership.MemberList;
import shalepaddle.model.Observation;
import shalepaddle.overload.OverloadSnapshot;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/** One load balancer as a process of its own: its event loop, its start, and its end in order. */
public final class Node implements AutoCloseable {
  /** How long the last answers may take to go out, where nobody kills the node. */
  private static final long LINGER_MILLIS = 2000;

  /**
   * How long a start waits for an agent's list. An agent answers at once; one that does not has
   * nothing new, since discovery is down.
   */
  private static final long FIRST_LIST_MILLIS = 250;

  /** The steps in which a drain waits for its end. */
  private static final long DRAIN_STEP_MILLIS = 50;

  /** Pauses longer than this are worth a line in the log. */
  private static final long TOLD_NANOS = 250_000_000L;

  private final NodeConfig config;
  private final Log log = new Log();
  private final Transport transport;
  private final EventLoopThreads threads;
  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final LoopClock clock;
  private final LoadBalancer balancer;
  private final CountDownLatch drained = new CountDownLatch(1);
  private AdminServer door;

  /** The listener that the platform holds and hands down, null where the node has its own. */
  private final ServerSocketChannel inherited;

  /** Null where no other process of this node can be. */
  private final ProcessFiles files;

  private HotRestart handover;
  private volatile boolean listening;

  /** Whether this node is the whole process, which ends with it. */
  private volatile boolean serving;

  /** A node that is not listening yet. */
  public Node(NodeConfig config, OperatorFile operator) {
    this(config, operator, LoadBalancer.defaultConnectionsPerServer(config));
  }

  /** A node that opens so many connections to each server. */
  Node(NodeConfig config, OperatorFile operator, int connections) {
    this(config, operator, connections, null, null);
  }

  private Node(
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
    clock = new LoopClock(Ticker.systemTicker(), new Pauses());
    threads = new EventLoopThreads(log, this::loopFailed);
    group = group(clock, threads);
    loop = group.next();
    balancer =
        new LoadBalancer(config, operator, connections, loop, clock, clock(), transport, log);
  }

  /** The event loop has ended by itself: nothing can be answered any more. */
  private void loopFailed() {
    listening = false;
    if (serving) {
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

  /** Tells of the loop's pauses. */
  private final class Pauses implements LoopClock.Listener {
    @Override
    public void onStall(long nanos) {
      // Not while it starts: loading and compiling its classes is one long turn after the other.
      if (nanos > TOLD_NANOS && listening) {
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
      log.failure("after a pause", cause);
    }
  }

  /**
   * Runs a node until it is told to end; returns the exit code.
   *
   * @param operatorFile what the operator sets, null for the usual
   */
  public static int serve(String configFile, String operatorFile) throws InterruptedException {
    NodeConfig config;
    JsonObject shape;
    OperatorFile operator;
    ServerSocketChannel inherited;
    try {
      shape = NodeConfig.readJson(configFile);
      config =
          NodeConfig.read(configFile, shape).withAdminAddress(System.getenv("ROUTER_MANAGEMENT"));
      operator = OperatorFile.load(operatorFile);
      inherited = InheritedListener.fromDescriptor(System.getenv("ROUTER_LISTEN_FD"));
    } catch (FormatException | IOException e) {
      System.err.println("serve: " + e.getMessage());
      return 2;
    }
    ProcessFiles files = inherited == null ? null : files(System.getenv("TMPDIR"));
    if (files != null) {
      MemberList newer = files.readOthers().newestMemberList();
      config = newer == null ? config : config.withKnownMembers(newer);
    }
    Node node =
        new Node(
            config, operator, LoadBalancer.defaultConnectionsPerServer(config), inherited, files);
    try {
      node.open();
    } catch (IOException e) {
      System.err.println("serve: " + e.getMessage());
      node.close();
      return 2;
    }
    node.serving = true;
    node.prepare();
    // Before it listens: who sees a node answer may signal it at once.
    Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
    try {
      ReloadSignal.install(() -> node.reload(configFile, shape));
      if (ReloadSignal.isIgnored()) {
        node.loop.execute(() -> node.balancer.rejectConfiguration(HANGUP_IGNORED));
      }
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      node.log.line("no new configuration can be taken: " + e);
    }
    try {
      node.listen();
    } catch (IOException e) {
      System.err.println("serve: cannot listen on " + node.config.listen() + ": " + e.getMessage());
      node.close();
      // Not by way of the shutdown hook: there is nothing to drain.
      Runtime.getRuntime().halt(2);
    }
    node.drained.await();
    return 0;
  }

  private static final String HANGUP_IGNORED =
      "SIGHUP is ignored, as under nohup, and no later one will be taken; start with setsid instead";

  private static ProcessFiles files(String folder) {
    if (folder == null || folder.isEmpty()) {
      System.err.println("without TMPDIR, other processes of this node are not told of");
      return null;
    }
    return new ProcessFiles(
        Path.of(folder),
        ProcessHandle.current().pid(),
        System::currentTimeMillis,
        pid -> ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false),
        line -> System.err.println(line));
  }

  /**
   * Opens the operators' door, where there is one: before all else, so that it tells of a start.
   */
  private void open() throws IOException, InterruptedException {
    if (config.adminAddress() != null) {
      door =
          new AdminServer(
              config.adminAddress(),
              transport.allocator(),
              new NodeAdminOperations(loop, balancer, () -> listening && balancer.isReady()));
    }
  }

  /**
   * Takes the file as it is now, whole or not at all. Guards against one that is half written or
   * wrong: the old configuration stays. One after the other, so that the newest file wins.
   *
   * @param shape what the file said at the start
   */
  synchronized void reload(String configFile, JsonObject shape) {
    // Read and checked here: the request loop must not wait for a disk.
    try {
      NodeConfig next = NodeConfig.reload(configFile, shape);
      loop.execute(() -> balancer.applyConfiguration(next));
    } catch (FormatException e) {
      loop.execute(() -> balancer.rejectConfiguration(e.getMessage()));
    }
  }

  /**
   * Starts a node that knows no servers, and ends it: at the build, so that the virtual machine can
   * archive the classes that a start loads, those that read the operator's file among them. Returns
   * the exit code.
   */
  public static int rehearse(String operatorFile) throws InterruptedException {
    try (Node node = new Node(NodeConfig.rehearsal(), OperatorFile.load(operatorFile))) {
      node.start();
      // At the door, too.
      for (String call :
          List.of("GET /api/ready", "GET /api/telemetry", "PUT /api/include?member=a")) {
        try (Socket caller = new Socket()) {
          caller.connect(node.door.address());
          caller
              .getOutputStream()
              .write((call + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
          caller.getInputStream().readAllBytes();
        }
      }
      return 0;
    } catch (IOException | FormatException e) {
      System.err.println("rehearse: " + e.getMessage());
      return 1;
    }
  }

  /**
   * Gets ready and listens; returns the address.
   *
   * @throws IOException if it cannot listen where it is told to
   */
  public InetSocketAddress start() throws IOException, InterruptedException {
    open();
    prepare();
    return listen();
  }

  /** Gets ready for requests. */
  private void prepare() throws InterruptedException {
    if (files == null) {
      Warmup.run(config, transport, log);
      loop.submit(balancer::start).await();
      return;
    }
    WarmStartLog seen = new WarmStartLog();
    handover =
        new HotRestart(
            files,
            balancer::processState,
            seen::all,
            (theirs, partners, clients, servers) ->
                loop.execute(() -> balancer.updatePartners(theirs, partners, clients, servers)));
    // Before the warm-up: who is told of this one tells what it has seen meanwhile.
    handover.start();
    Warmup.run(config, transport, log);
    List<Observation> past = files.takeObservations();
    loop.submit(
            () -> {
              balancer.recordObservations(seen);
              balancer.startAfter(past);
            })
        .await();
    if (!past.isEmpty()) {
      log.line("learned from " + past.size() + " attempts of the process before");
    }
    // Before the first request: what operators have said holds for every process of the node.
    handover.poll();
    loop.submit(() -> {}).await();
  }

  private InetSocketAddress listen() throws IOException, InterruptedException {
    balancer.awaitPushedList(FIRST_LIST_MILLIS);
    ChannelFuture bound =
        (inherited == null ? balancer.listen(config.listen()) : balancer.listen(inherited)).await();
    if (!bound.isSuccess()) {
      throw new IOException(bound.cause().getMessage());
    }
    // The future is done before its listener has run, which says of the balancer that it is ready.
    loop.submit(() -> {}).await();
    if (handover != null) {
      // First: whoever hears that this one is ready may end the other at once.
      handover.publish();
    }
    listening = true;
    return (InetSocketAddress) bound.channel().localAddress();
  }

  /** A planned restart; returns when all is answered. */
  void drain() {
    boolean successor = handover != null && handover.isSuccessorReady();
    loop.execute(
        () -> {
          if (successor) {
            balancer.handOver(drained::countDown);
          } else {
            balancer.drain(drained::countDown);
          }
        });
    try {
      boolean whole = awaitDrained(balancer.maxDrainMillis() + LINGER_MILLIS);
      log.line(
          whole ? "drained" : "not drained in time, " + balancer.clientConnections() + " left");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits for so long in which the process runs; false if not all was answered by then. Guards
   * against a pause that outlasts the wait: what the node had taken would go unanswered, though
   * there is time for it. The steps are counted, and a pause takes one of them.
   */
  private boolean awaitDrained(long millis) throws InterruptedException {
    for (long left = millis; left > 0; left -= DRAIN_STEP_MILLIS) {
      if (drained.await(DRAIN_STEP_MILLIS, TimeUnit.MILLISECONDS)) {
        return true;
      }
    }
    return false;
  }

  /** Where operators call, null for nowhere. */
  public InetSocketAddress adminAddress() {
    return door == null ? null : door.address();
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

  /** The edge at which any thread may hand calls in. */
  public Engine engine() {
    return balancer.engine();
  }

  /** Ends at once: every open request gets its one answer. Does nothing the second time. */
  @Override
  public void close() {
    if (!group.isShuttingDown()) {
      if (door != null) {
        door.close();
      }
      if (handover != null) {
        handover.close();
      }
      threads.allowShutdown();
      loop.submit(balancer::close).awaitUninterruptibly();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
