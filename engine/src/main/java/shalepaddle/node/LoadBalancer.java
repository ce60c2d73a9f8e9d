package shalepaddle.node;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import shalepaddle.admin.Telemetry;
import shalepaddle.coalescing.CoalescingSnapshot;
import shalepaddle.codec.meta.MetaClientCodec;
import shalepaddle.codec.meta.MetaServerCodec;
import shalepaddle.config.NodeConfig;
import shalepaddle.config.OperatorFile;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Engine;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.RequestMetricsSnapshot;
import shalepaddle.engine.WarmStartLog;
import shalepaddle.front.ClientFront;
import shalepaddle.hotrestart.ProcessState;
import shalepaddle.hotrestart.ServerExclusion;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;
import shalepaddle.membership.DiscoveryClient;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Observation;
import shalepaddle.model.Settings;
import shalepaddle.overload.OverloadControl;
import shalepaddle.overload.OverloadSnapshot;
import shalepaddle.upstream.ServerPools;

/**
 * One load balancer on one event loop, independent of the transport: wires the client front, the
 * request engine, the connections to cache servers and discovery. It does not depend on processes
 * and signals, so that the same code runs in a daemon, embedded in another program, and in virtual
 * time.
 *
 * <p>All methods are to be called on the event loop, except {@link #engine}, {@link
 * #awaitPushedList}, {@link #isReady} and the snapshots, which say so.
 */
public final class LoadBalancer {
  /** How long a removed service class is still accepted: clients may still use the old settings. */
  private static final long REMOVED_CLASS_GRACE_NANOS = 1_200_000_000L;

  /** The maximum fraction of the memory limit that bytes which wait may occupy. */
  private static final double MAX_MEMORY_RATIO = 5.0 / 16;

  /** The maximum fraction of all buffers that bytes which wait may occupy. */
  private static final double MAX_BUFFER_RATIO = 2.0 / 3;

  /** The maximum number of calls from other threads that wait for the event loop. */
  private static final int MAX_SUBMITTED_CALLS = 4096;

  private final EventLoop loop;
  private final LoopClock clock;
  private final Transport transport;
  private final Log log;
  private final DescriptorBudget descriptors;
  private final MemoryBudget memory;
  private final OverloadControl overload;
  private final Dispatcher dispatcher;
  private final Engine engine;
  private final ServerPools pools;
  private final MemberTracker members;
  private final DiscoveryClient discovery;
  private final OperatorExclusions exclusions;
  private final MetaClientCodec codec;
  private final ClientFront front;
  private final SnapshotPublisher snapshots;
  private final ResourceMonitor monitor;
  private final GracefulShutdown shutdown;

  /** The configuration at startup, with the settings of the latest reload. */
  private NodeConfig config;

  /**
   * The number of open client connections of this node's other processes, which share the node's
   * limits.
   */
  private int peerClientConnections;

  /**
   * Creates a load balancer with its share of the connections that all nodes may open to each
   * server.
   */
  public LoadBalancer(
      NodeConfig config,
      OperatorFile operator,
      EventLoop loop,
      LoopClock clock,
      Clock nodeClock,
      Transport transport,
      Log log) {
    this(
        config,
        operator,
        DescriptorBudget.connectionsPerServer(config),
        loop,
        clock,
        nodeClock,
        transport,
        log);
  }

  /**
   * Creates a load balancer that opens at most {@code connectionsPerServer} connections to a
   * server.
   */
  LoadBalancer(
      NodeConfig config,
      OperatorFile operator,
      int connectionsPerServer,
      EventLoop loop,
      LoopClock clock,
      Clock nodeClock,
      Transport transport,
      Log log) {
    this.config = config;
    this.loop = loop;
    this.clock = clock;
    this.transport = transport;
    this.log = log;
    Settings settings = config.settings();
    descriptors = DescriptorBudget.of(config);
    overload =
        new OverloadControl(
            settings, operator.overload(), config.seed(), ResourceMonitor.newLevelLog(log));
    dispatcher =
        new Dispatcher(
            settings, config.seed(), loop, clock, nodeClock, log, overload, operator.coalescing());
    engine = new Engine(loop, dispatcher, MAX_SUBMITTED_CALLS);
    memory = newBufferMemory();
    pools =
        new ServerPools(
            transport.connector(loop),
            new MetaServerCodec(memory),
            descriptors.serverLimits(settings.limits(), connectionsPerServer),
            memory,
            transport.sendQueues(),
            dispatcher);
    members = new MemberTracker(pools, dispatcher, nodeClock, log);
    exclusions = new OperatorExclusions(pools, dispatcher, nodeClock, log, this::publishState);
    discovery = newDiscoveryClient();
    codec = new MetaClientCodec(newWriteMemory(memory), settings, newAdmissionFilter());
    front =
        new ClientFront(
            dispatcher,
            codec,
            descriptors.maxClientConnections(),
            overload::degradationPolicy,
            transport.sendQueues(),
            memory);
    snapshots =
        new SnapshotPublisher(dispatcher, overload, front, pools, exclusions, members, memory);
    monitor =
        new ResourceMonitor(
            loop,
            clock,
            transport,
            descriptors,
            new ProcessorUse(config.cores()),
            overload,
            dispatcher,
            front,
            pools,
            snapshots);
    shutdown =
        new GracefulShutdown(
            loop,
            clock,
            dispatcher,
            front,
            snapshots,
            log,
            () -> this.config.longestDeadlineSeconds());
  }

  private DiscoveryClient newDiscoveryClient() {
    Settings settings = config.settings();
    return new DiscoveryClient(
        transport.connector(loop),
        loop,
        dispatcher.timers(),
        clock,
        config.discoveryAddress(),
        settings.pollsEndpointList(),
        settings.contract().drainGraceSeconds(),
        config.knownMembers().version(),
        members);
  }

  /**
   * The memory for all bytes that wait; the rest of the buffers is for the event loop's own use.
   */
  private MemoryBudget newBufferMemory() {
    long ratioOfMemoryBytes = (long) (MAX_MEMORY_RATIO * (config.memoryMb() << 20));
    long ratioOfBuffersBytes = (long) (MAX_BUFFER_RATIO * transport.maxBufferBytes());
    return new MemoryBudget(Math.min(ratioOfMemoryBytes, ratioOfBuffersBytes));
  }

  /** The part of the memory that the values of writes may occupy. */
  private MemoryBudget newWriteMemory(MemoryBudget memory) {
    long quarterMemoryBytes = (long) config.memoryMb() << 18;
    return memory.newPart(Math.min(quarterMemoryBytes, transport.maxBufferBytes() / 2));
  }

  private AdmissionFilter newAdmissionFilter() {
    return new AdmissionFilter(
        overload,
        dispatcher,
        clock,
        descriptors,
        () -> config.settings(),
        this::connectionsAwaitingResponse);
  }

  /**
   * The number of client connections with a pending response in this process, plus all client
   * connections of the other processes, which do not publish how many have a pending response.
   */
  private int connectionsAwaitingResponse() {
    return front.connectionsAwaitingResponse() + peerClientConnections;
  }

  private void publishState() {
    snapshots.publishState();
  }

  /** Records the outcomes of attempts from now on, for a process that replaces this one. */
  void recordObservations(WarmStartLog observations) {
    dispatcher.recordObservationsIn(observations);
  }

  /** Starts with the endpoint list of the configuration, and follows its changes. */
  public void start() {
    startWithObservations(List.of());
  }

  /** Like {@link #start}, but first replays what another process of this node has observed. */
  void startWithObservations(List<Observation> pastObservations) {
    if (!pastObservations.isEmpty()) {
      dispatcher.replay(
          config.knownMembers().toUpdate(MembershipUpdate.Kind.CACHED), pastObservations);
    }
    dispatcher.start(pools, discovery);
    members.apply(config.knownMembers(), MembershipUpdate.Kind.CACHED);
    if (!config.settings().pollsEndpointList()) {
      discovery.follow();
    }
  }

  /**
   * If discovery pushes its lists, waits for the first one, for at most {@code timeoutMillis}: from
   * the first request on, the node has to follow the agent's list. May be called from any thread
   * except the event loop.
   */
  void awaitPushedList(long timeoutMillis) throws InterruptedException {
    if (!config.settings().pollsEndpointList()) {
      members.awaitFirstList(timeoutMillis);
    }
  }

  /** Listens for clients at the address; the future completes with the bound channel. */
  public ChannelFuture listen(SocketAddress address) {
    return serveWhenBound(transport.acceptor(loop).childHandler(front).bind(address));
  }

  /** Accepts clients from a listening socket that is shared with other processes. */
  public ChannelFuture listen(ServerSocketChannel listeningSocket) {
    return serveWhenBound(transport.acceptor(loop, listeningSocket).childHandler(front).register());
  }

  private ChannelFuture serveWhenBound(ChannelFuture bindFuture) {
    bindFuture.addListener(
        done -> {
          if (done.isSuccess()) {
            shutdown.setListener(bindFuture.channel());
            snapshots.enterStage(ProcessState.Stage.READY);
            clock.forgetStalls();
            monitor.start();
          }
        });
    return bindFuture;
  }

  /** The bytes that wait in the node. Called on the event loop only. */
  long bufferedBytes() {
    return memory.reservedBytes();
  }

  /** The state of overload control, a few milliseconds old. May be called from any thread. */
  public OverloadSnapshot overloadSnapshot() {
    return snapshots.overloadSnapshot();
  }

  /**
   * The counters of request coalescing, a few milliseconds old; null if reads are not coalesced.
   * May be called from any thread.
   */
  public CoalescingSnapshot coalescingSnapshot() {
    return snapshots.coalescingSnapshot();
  }

  /**
   * The state for other processes of this node, a few milliseconds old. May be called from any
   * thread.
   */
  public ProcessState processState() {
    return snapshots.processState();
  }

  /** The metrics for operators, a few milliseconds old. May be called from any thread. */
  public Telemetry telemetry() {
    return snapshots.telemetry();
  }

  /** Whether the load balancer accepts and serves new requests. May be called from any thread. */
  public boolean isReady() {
    return snapshots.isReady();
  }

  /** The current counts of requests and attempts by outcome. */
  public RequestMetricsSnapshot requestMetrics() {
    return dispatcher.metrics().snapshot();
  }

  /**
   * Applies what other processes of this node have published. Limits apply to all processes of a
   * node together.
   *
   * @param exclusions the exclusions and inclusions of cache servers that the other processes know
   * @param processCount the number of other processes
   * @param clientConnections the number of open client connections of the other processes
   * @param serverConnections the number of connections of the other processes to cache servers
   */
  public void updatePeerProcesses(
      List<ServerExclusion> exclusions,
      int processCount,
      int clientConnections,
      int serverConnections) {
    this.exclusions.merge(exclusions);
    peerClientConnections = clientConnections;
    front.setMaxConnections(descriptors.maxClientConnections() - clientConnections);
    pools.setPeerProcessUsage(processCount, serverConnections);
  }

  /** The cache servers that operators have excluded. */
  OperatorExclusions exclusions() {
    return exclusions;
  }

  /**
   * Applies new settings to all future requests, and follows discovery at the configured address.
   * New limits, listen addresses and seeds take effect only at the next start.
   */
  public void applyConfiguration(NodeConfig newConfig) {
    log.writeLine("configuration applied, discovery at " + newConfig.discoveryAddress());
    Settings settings = newConfig.settings();
    dispatcher.updateSettings(settings);
    long now = clock.now();
    codec.updateSettings(settings, now, now + REMOVED_CLASS_GRACE_NANOS);
    dispatcher
        .timers()
        .runNoEarlierThan(REMOVED_CLASS_GRACE_NANOS, () -> codec.expireRemovedClasses(clock.now()));
    config = config.withSettings(settings);
    discovery.switchTo(newConfig.discoveryAddress());
    snapshots.countReloadApplied();
  }

  /** Logs and counts a configuration that was rejected; the current one remains in force. */
  public void rejectConfiguration(String reason) {
    log.writeLine("configuration rejected, keeping the current one: " + reason);
    snapshots.countReloadRejected();
  }

  /** Records the end of a turn of the loop, see {@link LoopClock.Listener#onTurnEnd}. */
  public void recordLoopTurn(long startedAtNanos, long now) {
    // Turns during startup are not recorded: loading and compiling classes makes them all long.
    if (shutdown.isListening()) {
      overload.onLoopTurnEnd(startedAtNanos, now, dispatcher.oldestQueuedNanos());
    }
  }

  /** Records a stall of the loop that lasted this many nanoseconds and has just ended. */
  public void recordStall(long stallNanos) {
    overload.onEventLoopStall(stallNanos, clock.now());
    dispatcher.onStall(stallNanos);
  }

  /** The maximum duration of a {@link #drain}, unless clients do not read their responses. */
  public long maxDrainMillis() {
    return shutdown.maxDrainMillis();
  }

  /**
   * Drains for a planned restart: ends idle connections at once and each other one after its
   * pending responses, accepts new ones for as long as the platform sends them, and runs the given
   * step when all requests are answered. Deadlines of requests are limited to the time that is
   * left.
   *
   * <p>Cost: a client that finds no other node is not served until this one is started again. If it
   * were served here meanwhile, its requests would be lost whenever the process is held up until it
   * is killed.
   *
   * @param requestedNanos when the process learned of the restart, by the loop's clock
   */
  public void drain(long requestedNanos, Runnable onDrained) {
    shutdown.drain(requestedNanos, onDrained);
  }

  /**
   * Drains after another process of this node has taken over: accepts no more connections, closes
   * each one right after its next response and idle ones after a delay, and runs the given step
   * when all requests are answered. May be called in a {@link #drain}, which then accepts no more.
   *
   * @param requestedNanos when the process learned of the restart, by the loop's clock
   */
  public void handOver(long requestedNanos, Runnable onDrained) {
    monitor.closeIdleConnections();
    shutdown.handOver(requestedNanos, onDrained);
  }

  /** Closes at once: answers every open request, and accepts and sends nothing new. */
  public void close() {
    monitor.stop();
    snapshots.enterStage(ProcessState.Stage.DRAINING);
    shutdown.stopAccepting();
    engine.close();
    pools.close();
  }

  /** The engine, to which other threads submit calls. May be called from any thread. */
  public Engine engine() {
    return engine;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  /** The number of open client connections. */
  public int clientConnections() {
    return front.connectionCount();
  }

  /** The number of connections to cache servers that are open or being opened. */
  public int serverConnections() {
    return pools.connectionCount();
  }

  /** The number of requests that have not ended, or of which an attempt is in flight. */
  public int openRequests() {
    return dispatcher.openRequests();
  }

  /** The number of timers that have not fired. */
  public int pendingTimers() {
    return dispatcher.timers().size();
  }
}
