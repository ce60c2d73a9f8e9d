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
 * One load balancer on one event loop, whatever transport that runs: wires the clients' front, the
 * request engine, the connections to cache servers and discovery. It knows nothing of processes and
 * signals, so that the same code runs in a daemon, in another program, and in virtual time.
 *
 * <p>All methods are to be called on the event loop, but for {@link #engine}, {@link
 * #awaitPushedList}, {@link #isReady} and the snapshots, which say so.
 */
public final class LoadBalancer {
  /** How long a removed service class is still accepted: clients may not have the new settings. */
  private static final long REMOVED_CLASS_NANOS = 1_200_000_000L;

  /** All memory divided by this is the budget of the clients' inbound buffers. */
  private static final int INBOUND_BUFFER_DIVISOR = 64;

  /** The most calls from other threads that may wait for the event loop. */
  private static final int MAX_SUBMITTED = 4096;

  private final EventLoop loop;
  private final LoopClock clock;
  private final Transport transport;
  private final Log log;
  private final DescriptorBudget descriptors;
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

  /** The configuration that the node was started with, with the settings in force. */
  private NodeConfig config;

  /** Open client connections of this node's other processes, which share its limits. */
  private int peerClientConnections;

  /** A load balancer with its share of the connections that each server allows the whole tier. */
  public LoadBalancer(
      NodeConfig config,
      OperatorFile operator,
      EventLoop loop,
      LoopClock clock,
      Clock time,
      Transport transport,
      Log log) {
    this(
        config,
        operator,
        DescriptorBudget.connectionsPerServer(config),
        loop,
        clock,
        time,
        transport,
        log);
  }

  /** A load balancer that opens at most {@code connectionsPerServer} to each server. */
  LoadBalancer(
      NodeConfig config,
      OperatorFile operator,
      int connectionsPerServer,
      EventLoop loop,
      LoopClock clock,
      Clock time,
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
            settings, operator.overload(), config.seed(), ResourceMonitor.levelLog(log));
    dispatcher =
        new Dispatcher(
            settings, config.seed(), loop, clock, time, log, overload, operator.coalescing());
    engine = new Engine(loop, dispatcher, MAX_SUBMITTED);
    pools =
        new ServerPools(
            transport.connector(loop),
            new MetaServerCodec(),
            descriptors.serverLimits(settings.limits(), connectionsPerServer),
            dispatcher);
    members = new MemberTracker(pools, dispatcher, time, log);
    exclusions = new OperatorExclusions(pools, dispatcher, time, log, this::publishState);
    discovery = discoveryClient();
    codec = new MetaClientCodec(valueMemory(), settings, admissionFilter());
    front =
        new ClientFront(
            dispatcher,
            codec,
            descriptors.maxClientConnections(),
            overload::degradationPolicy,
            new MemoryBudget(((long) config.memoryMb() << 20) / INBOUND_BUFFER_DIVISOR));
    snapshots = new SnapshotPublisher(dispatcher, overload, front, pools, exclusions, members);
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

  private DiscoveryClient discoveryClient() {
    Settings settings = config.settings();
    return new DiscoveryClient(
        transport.connector(loop),
        loop,
        dispatcher.timers(),
        clock,
        config.discovery(),
        settings.pollsEndpointList(),
        settings.contract().drainGraceSeconds(),
        config.knownMembers().version(),
        members);
  }

  /** The memory that values of requests and answers may take. */
  private MemoryBudget valueMemory() {
    long quarterOfAll = (long) config.memoryMb() << 18;
    return new MemoryBudget(Math.min(quarterOfAll, transport.maxBufferBytes() / 2));
  }

  private AdmissionFilter admissionFilter() {
    return new AdmissionFilter(
        overload,
        dispatcher,
        clock,
        descriptors,
        () -> config.settings(),
        this::connectionsAwaitingResponse);
  }

  /** Those of this process; and all of other processes, which do not publish how many wait. */
  private int connectionsAwaitingResponse() {
    return front.connectionsAwaitingResponse() + peerClientConnections;
  }

  private void publishState() {
    snapshots.publishState();
  }

  /** From now on the outcomes of attempts are recorded there, for a process that takes over. */
  void recordObservations(WarmStartLog observations) {
    dispatcher.recordObservationsIn(observations);
  }

  /** Begins with the list as it was last known, and follows it. */
  public void start() {
    startAfter(List.of());
  }

  /** As {@link #start}, but first replays what another process of this node has observed. */
  void startAfter(List<Observation> past) {
    if (!past.isEmpty()) {
      dispatcher.replay(config.knownMembers().toUpdate(MembershipUpdate.Kind.CACHED), past);
    }
    dispatcher.start(pools, discovery);
    members.apply(config.knownMembers(), MembershipUpdate.Kind.CACHED);
    if (!config.settings().pollsEndpointList()) {
      discovery.follow();
    }
  }

  /**
   * Where lists are pushed, waits for the first one, at most {@code millis}: from the first request
   * on, the node has to follow the agent's list. From any thread but the event loop.
   */
  void awaitPushedList(long millis) throws InterruptedException {
    if (!config.settings().pollsEndpointList()) {
      members.awaitFirstList(millis);
    }
  }

  /** Listens for clients at the address; the future completes with the bound channel. */
  public ChannelFuture listen(SocketAddress address) {
    return serveWhenBound(transport.acceptor(loop).childHandler(front).bind(address));
  }

  /** Accepts clients from a socket that listens already, and is shared with other processes. */
  public ChannelFuture listen(ServerSocketChannel listening) {
    return serveWhenBound(transport.acceptor(loop, listening).childHandler(front).register());
  }

  private ChannelFuture serveWhenBound(ChannelFuture bound) {
    bound.addListener(
        done -> {
          if (done.isSuccess()) {
            shutdown.listensOn(bound.channel());
            snapshots.enter(ProcessState.Stage.READY);
            clock.forgetStalls();
            monitor.start();
          }
        });
    return bound;
  }

  /** The state of overload control, as it was some milliseconds ago. From any thread. */
  public OverloadSnapshot overloadSnapshot() {
    return snapshots.overload();
  }

  /**
   * What request coalescing has done, as it was some milliseconds ago; null where reads are not
   * coalesced. From any thread.
   */
  public CoalescingSnapshot coalescingSnapshot() {
    return snapshots.coalescing();
  }

  /** The state for other processes of this node, as it was some milliseconds ago. Any thread. */
  public ProcessState processState() {
    return snapshots.processState();
  }

  /** The metrics for operators, as they were some milliseconds ago. From any thread. */
  public Telemetry telemetry() {
    return snapshots.telemetry();
  }

  /** Whether a request that came now would be accepted and served. From any thread. */
  public boolean isReady() {
    return snapshots.isReady();
  }

  /** What became of requests and attempts, as of now. */
  public RequestMetricsSnapshot requestMetrics() {
    return dispatcher.metrics().snapshot();
  }

  /**
   * Applies what other processes of this node have published. All limits are for the processes of a
   * node together.
   *
   * @param partners how many processes there are besides this one
   * @param exclusions the cache servers that operators have excluded there
   * @param clients their open client connections
   * @param serverConnections their connections to cache servers
   */
  public void updatePartners(
      List<ServerExclusion> exclusions, int partners, int clients, int serverConnections) {
    this.exclusions.merge(exclusions);
    peerClientConnections = clients;
    front.setMaxConnections(descriptors.maxClientConnections() - clients);
    pools.setPeerProcessUsage(partners, serverConnections);
  }

  /** The cache servers that operators have excluded. */
  OperatorExclusions exclusions() {
    return exclusions;
  }

  /**
   * Applies new settings to all requests to come, and follows discovery at the address that they
   * give. Limits, addresses to listen on and the seed change at the next start.
   */
  public void applyConfiguration(NodeConfig next) {
    log.line("configuration taken, discovery at " + next.discovery());
    Settings settings = next.settings();
    dispatcher.retune(settings);
    long now = clock.now();
    codec.updateSettings(settings, now, now + REMOVED_CLASS_NANOS);
    dispatcher
        .timers()
        .runNoEarlierThan(REMOVED_CLASS_NANOS, () -> codec.expireRemovedClasses(clock.now()));
    config = config.withSettings(settings);
    discovery.switchTo(next.discovery());
    snapshots.countReloadApplied();
  }

  /** Logs and counts a configuration that was rejected; the one in force stays. */
  public void rejectConfiguration(String reason) {
    log.line("configuration not taken, the old one holds: " + reason);
    snapshots.countReloadRejected();
  }

  /** A turn of the loop ends that began then, see {@link LoopClock.Listener#onTurnEnd}. */
  public void recordLoopTurn(long begunAt, long now) {
    // Not while it starts: loading and compiling its classes is one long turn after the other.
    if (shutdown.isListening()) {
      overload.onLoopTurnEnd(begunAt, now, dispatcher.oldestQueuedNanos());
    }
  }

  /** The loop has been stalled for this many nanoseconds, until now. */
  public void recordStall(long nanos) {
    overload.onEventLoopStall(nanos, clock.now());
    dispatcher.onStall(nanos);
  }

  /** The longest that a {@link #drain} takes, but for clients that do not read their answers. */
  public long maxDrainMillis() {
    return shutdown.maxDrainMillis();
  }

  /**
   * A planned restart: accepts connections for as long as they may come, and serves until the end
   * is near; then closes each connection as it becomes idle, and runs the step when all requests
   * are answered. New requests get no more time than is left.
   *
   * <p>Prevents that clients are sent away while other nodes restart too and nobody serves them.
   * Cost: a restart takes its full time, also where it could have been quicker.
   */
  public void drain(Runnable onDrained) {
    shutdown.drain(onDrained);
  }

  /**
   * Another process of this node has taken over: accepts no more from now on, closes each
   * connection right after its next answer and idle ones after a while, and runs the step when all
   * requests are answered. Takes no longer than needed: meanwhile both processes use memory and
   * connections.
   */
  public void handOver(Runnable onDrained) {
    monitor.closeIdleConnections();
    shutdown.handOver(onDrained);
  }

  /** Ends at once: every open request gets its one answer, and nothing new is accepted or sent. */
  public void close() {
    monitor.stop();
    snapshots.enter(ProcessState.Stage.DRAINING);
    shutdown.stopAccepting();
    engine.close();
    pools.close();
  }

  /** Submits calls from other threads. From any thread. */
  public Engine engine() {
    return engine;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  /** Client connections that are open. */
  public int clientConnections() {
    return front.connectionCount();
  }

  /** Connections to cache servers that are open or being opened. */
  public int serverConnections() {
    return pools.connections();
  }

  /** Requests that are not complete, or of which an attempt is open. */
  public int openRequests() {
    return dispatcher.openRequests();
  }

  /** Timers that have not fired. */
  public int pendingTimers() {
    return dispatcher.timers().size();
  }
}
