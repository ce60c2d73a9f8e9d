package shalepaddle.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import shalepaddle.admin.Telemetry;
import shalepaddle.coalescing.CoalescingSnapshot;
import shalepaddle.codec.meta.MetaClientCodec;
import shalepaddle.codec.meta.MetaServerCodec;
import shalepaddle.config.NodeConfig;
import shalepaddle.config.OperatorFile;
import shalepaddle.diagnostics.Event;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Engine;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.RequestMetricsSnapshot;
import shalepaddle.engine.WarmStartLog;
import shalepaddle.front.ClientFront;
import shalepaddle.front.ClientListener;
import shalepaddle.front.RequestAdmission;
import shalepaddle.hotrestart.ProcessState;
import shalepaddle.hotrestart.ServerExclusion;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;
import shalepaddle.membership.DiscoveryClient;
import shalepaddle.membership.MemberList;
import shalepaddle.membership.MemberListener;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Observation;
import shalepaddle.model.Settings;
import shalepaddle.overload.OverloadControl;
import shalepaddle.overload.OverloadSnapshot;
import shalepaddle.overload.PressureLevel;
import shalepaddle.overload.Resource;
import shalepaddle.upstream.ServerPool;
import shalepaddle.upstream.ServerPools;

/**
 * One load balancer on one event loop, whatever transport that runs: front, engine, connections to
 * cache servers and the list of them, put together. It knows nothing of processes and signals, so
 * that the same code runs in a daemon, in another program, and in virtual time.
 *
 * <p>All methods are to be called on the event loop, but for {@link #engine} and the readings,
 * which say so.
 */
public final class LoadBalancer {
  /**
   * The part of all descriptors that clients' connections may take; the protocol's own clients hold
   * a third at most. What is left is for cache servers, and {@link #OWN_DESCRIPTORS}. Guards
   * against a node that has no descriptor left: it can neither accept nor reach a server.
   */
  private static final double CLIENT_SHARE = 0.5;

  /**
   * The part of all descriptors that clients' connections for requests may take, by the protocol.
   */
  private static final double PLACES_SHARE = 1.0 / 3;

  /** Descriptors kept for files and pipes of the virtual machine, the selector and discovery. */
  private static final int OWN_DESCRIPTORS = 32;

  /** Those that a crowd at the operators' door may take besides, and files that are read. */
  private static final int DOOR_DESCRIPTORS = 8;

  /** How long a class that was dropped is still taken: so long its clients may not have heard. */
  private static final long DROPPED_NANOS = 1_200_000_000L;

  /** Connections to one server, over all nodes together, that this tier opens of itself. */
  private static final int TIER_CONNECTIONS = 28;

  /** How often connections are looked through for those that have been of no use for too long. */
  private static final long SWEEP_MILLIS = 100;

  /**
   * How often the use of memory and descriptors is read; also sets alarms where nothing else does.
   */
  private static final long MEASURE_NANOS = 25_000_000L;

  /** The part of all memory for what is read from clients whose commands are not taken yet. */
  private static final int AHEAD_PART = 64;

  /** Buffers kept for reuse are given back no more often: they would have to be made anew. */
  private static final long TRIM_NANOS = 1_000_000_000L;

  /** Calls from other threads that may wait for the event loop. */
  private static final int MAX_SUBMITTED = 4096;

  /** New connections go on coming for so long after a planned restart has begun. */
  private static final long ACCEPT_MILLIS = 500;

  /**
   * How long before it may be killed a node has answered all, at a planned restart, and how long
   * before that it lets its clients go. By the protocol it is killed no sooner than the longest
   * deadline, and {@link #KILL_MILLIS} more, after the signal.
   */
  private static final long KILL_MILLIS = 700;

  /** The platform waits for no longer deadline than this. */
  private static final long MOST_DEADLINE_MILLIS = 3000;

  /** How long clients may rest before their connections end, where another process took over. */
  private static final long REST_MILLIS = 1000;

  /** So long before all is answered nothing more is read: what was read last gets that time. */
  private static final long LAST_CALL_MILLIS = 80;

  private static final long ANSWERED_MILLIS = 150;
  private static final long RELEASE_MILLIS = 450;

  private final EventLoop loop;
  private final LoopClock clock;
  private final Clock time;
  private final Transport transport;
  private final Log log;
  private NodeConfig config;
  private final Dispatcher dispatcher;
  private final Engine engine;
  private final ServerPools pools;
  private final DiscoveryClient discovery;
  private final ClientFront front;
  private final MetaClientCodec codec;
  private final OverloadControl overload;
  private final ProcessorUse processor;
  private final long pid = ProcessHandle.current().pid();
  private Channel listener;
  private final OperatorExclusions words;

  /** All servers of the list, null before it has begun. */
  private MemberList whole;

  /** Open until discovery has told of the list, after that for good. */
  private final CountDownLatch listed = new CountDownLatch(1);

  private boolean handedOver;

  /** Connections of clients that another process of this node holds. */
  private int clientsElsewhere;

  private long trimmedAt;
  private volatile OverloadSnapshot reading;
  private volatile CoalescingSnapshot joining;
  private volatile Telemetry telemetry;
  private volatile ProcessState.Stage stage = ProcessState.Stage.STARTING;
  private volatile ProcessState process;
  private long hangupsApplied;
  private long hangupsRejected;
  private boolean closed;

  /** One that opens as many connections to each server as its part of the tier allows. */
  public LoadBalancer(
      NodeConfig config,
      OperatorFile operator,
      EventLoop loop,
      LoopClock clock,
      Clock time,
      Transport transport,
      Log log) {
    this(config, operator, defaultConnectionsPerServer(config), loop, clock, time, transport, log);
  }

  /** How many connections to each server are this node's part of the tier's. */
  static int defaultConnectionsPerServer(NodeConfig config) {
    return Math.max(1, TIER_CONNECTIONS / config.settings().instances());
  }

  /** One that opens so many connections to each server at most. */
  LoadBalancer(
      NodeConfig config,
      OperatorFile operator,
      int connections,
      EventLoop loop,
      LoopClock clock,
      Clock time,
      Transport transport,
      Log log) {
    this.config = config;
    this.loop = loop;
    this.clock = clock;
    this.time = time;
    this.transport = transport;
    this.log = log;
    Settings settings = config.settings();
    overload = new OverloadControl(settings, operator.overload(), config.seed(), this::told);
    reading = overload.snapshot();
    processor = new ProcessorUse(config.cores());
    dispatcher =
        new Dispatcher(
            settings, config.seed(), loop, clock, time, log, overload, operator.coalescing());
    joining = dispatcher.coalescingSnapshot();
    engine = new Engine(loop, dispatcher, MAX_SUBMITTED);
    pools =
        new ServerPools(
            transport.connector(loop),
            new MetaServerCodec(),
            serverLimits(config, connections),
            dispatcher);
    words = new OperatorExclusions(pools, dispatcher, time, log, this::publish);
    discovery =
        new DiscoveryClient(
            transport.connector(loop),
            loop,
            dispatcher.timers(),
            clock,
            config.discovery(),
            settings.pollsEndpointList(),
            settings.contract().drainGraceSeconds(),
            config.knownMembers().version(),
            new Members());
    MemoryBudget values =
        new MemoryBudget(Math.min((long) config.memoryMb() << 18, transport.maxBufferBytes() / 2));
    codec = new MetaClientCodec(values, settings, new Entrance());
    front =
        new ClientFront(
            dispatcher,
            codec,
            (int) (config.maxDescriptors() * CLIENT_SHARE),
            overload::degradationPolicy,
            new MemoryBudget(((long) config.memoryMb() << 20) / AHEAD_PART));
    publish();
  }

  /** Asks whether a request is admitted, at the time of the loop. */
  private final class Entrance implements RequestAdmission {
    @Override
    public boolean mayReject() {
      overload.onConnectionSlotUsage(
          (front.connectionsAwaitingResponse() + clientsElsewhere)
              / (config.maxDescriptors() * PLACES_SHARE));
      return overload.isShedding();
    }

    @Override
    public long admit(int serviceClass, int tenant, long subject, boolean repeat) {
      long advice = overload.admit(serviceClass, tenant, subject, repeat, clock.now());
      if (advice != ADMITTED) {
        dispatcher.recorder().count(Event.REJECTED_ADMISSION, 1);
        dispatcher
            .metrics()
            .rejectedBeforeParsing(config.settings().services().get(serviceClass).name());
      }
      return advice;
    }

    @Override
    public void rejectedAfterAdmission(String serviceClass) {
      dispatcher.recorder().count(Event.REJECTED_MEMORY, 1);
      dispatcher.metrics().rejectedBeforeParsing(serviceClass);
    }
  }

  private static int own(NodeConfig config) {
    return OWN_DESCRIPTORS + (config.adminAddress() == null ? 0 : DOOR_DESCRIPTORS);
  }

  private static ServerPool.Limits serverLimits(NodeConfig config, int connections) {
    Settings.Limits limits = config.settings().limits();
    return new ServerPool.Limits(
        connections,
        (int) (config.maxDescriptors() * (1 - CLIENT_SHARE)) - own(config),
        // Where a request may not have two attempts out, one that is given up must be off its
        // connection before the next goes out: nothing may share it.
        limits.allowsParallelAttempts() ? Math.max(1, limits.maxAttemptsPerConnection()) : 1,
        (long) (Math.max(1, limits.idleTimeoutSeconds() / 2) * 1e9),
        (long) (Math.max(0.001, limits.connectTimeoutSeconds()) * 1e9));
  }

  /** Tells first the connections and then the module of what discovery says. */
  private final class Members implements MemberListener {
    /** What was last written of a failure, null since the last list. */
    private String toldFailure;

    @Override
    public void onList(MemberList list) {
      toldFailure = null;
      take(list, list.full() ? MembershipUpdate.Kind.FULL : MembershipUpdate.Kind.DELTA);
      listed.countDown();
    }

    @Override
    public void onFailure(String why) {
      // Once until the next list: while discovery is down an agent is asked again and again.
      if (!why.equals(toldFailure)) {
        toldFailure = why;
        log.line("discovery: " + why);
      }
      dispatcher.membership(new MembershipUpdate(MembershipUpdate.Kind.FAILED, 0, List.of()));
    }
  }

  private void take(MemberList news, MembershipUpdate.Kind kind) {
    MemberList list = news.withKnownDrains(whole);
    whole = list.appliedTo(whole);
    pools.update(list, time.now());
    dispatcher.membership(list.toUpdate(kind));
    pools.failUnroutable();
  }

  /** From now on what attempts show is kept there, for a process that takes this one's place. */
  void recordObservations(WarmStartLog seen) {
    dispatcher.recordObservationsIn(seen);
  }

  /** Begins with the list as it was last known, and to follow it. */
  public void start() {
    startAfter(List.of());
  }

  /** The same, after learning from what another process of this node has seen. */
  void startAfter(List<Observation> past) {
    if (!past.isEmpty()) {
      dispatcher.replay(config.knownMembers().toUpdate(MembershipUpdate.Kind.CACHED), past);
    }
    dispatcher.start(pools, discovery);
    take(config.knownMembers(), MembershipUpdate.Kind.CACHED);
    if (!config.settings().pollsEndpointList()) {
      discovery.follow();
    }
  }

  /**
   * Where lists are pushed, waits until the first has come, for so long at most: what the agent has
   * binds from the first moment on, and the list that the node was started with may be old. Not to
   * be called on the event loop.
   */
  void awaitPushedList(long millis) throws InterruptedException {
    if (!config.settings().pollsEndpointList()) {
      listed.await(millis, TimeUnit.MILLISECONDS);
    }
  }

  /** Listens for clients there; the future tells of the bound channel. */
  public ChannelFuture listen(SocketAddress address) {
    return listens(transport.acceptor(loop).childHandler(front).bind(address));
  }

  /** Takes clients from a socket that listens already, and is shared with other processes. */
  public ChannelFuture listen(ServerSocketChannel listening) {
    return listens(transport.acceptor(loop, listening).childHandler(front).register());
  }

  private ChannelFuture listens(ChannelFuture begun) {
    begun.addListener(
        done -> {
          if (done.isSuccess()) {
            listener = begun.channel();
            stage = ProcessState.Stage.READY;
            clock.forgetStalls();
            sweepLater();
            measure();
          }
        });
    return begun;
  }

  /** Reads how much of its limits the process uses, again and again. */
  private void measure() {
    if (closed) {
      return;
    }
    Runtime heap = Runtime.getRuntime();
    double heapShare = (double) (heap.totalMemory() - heap.freeMemory()) / heap.maxMemory();
    double buffers = transport.bufferMemoryRatio();
    double descriptors = own(config) + front.connectionCount() + pools.connections();
    long now = clock.now();
    overload.onResourceUsage(
        processor.usedRatio(now),
        Double.isNaN(buffers) ? heapShare : Math.max(heapShare, buffers),
        descriptors / config.maxDescriptors(),
        now);
    reading = overload.snapshot();
    joining = dispatcher.coalescingSnapshot();
    publish();
    if (overload.degradationPolicy().shrinksBuffers() && now - trimmedAt > TRIM_NANOS) {
      trimmedAt = now;
      transport.releaseCachedBuffers();
    }
    dispatcher.timers().runNoEarlierThan(MEASURE_NANOS, this::measure);
  }

  /** One line for each change of a level, for who runs it. */
  private void told(Resource resource, PressureLevel before, PressureLevel now, double figure) {
    String what =
        resource == Resource.CPU
            ? String.format(Locale.ROOT, "%.1f ms stand in the event loop", figure * 1e3)
            : String.format(Locale.ROOT, "%.0f%% in use", figure * 100);
    log.line("overload: " + resource + " " + before + " -> " + now + ", " + what);
  }

  /**
   * What is measured and decided of the process's own overload, as it stood some milliseconds ago.
   * From any thread.
   */
  public OverloadSnapshot overloadSnapshot() {
    return reading;
  }

  /**
   * What joining has done, as it stood some milliseconds ago; null where reads are not joined. From
   * any thread.
   */
  public CoalescingSnapshot coalescingSnapshot() {
    return joining;
  }

  private void sweepLater() {
    loop.schedule(
        () -> {
          clock.refresh();
          clock.whenBacklogRead(this::sweep);
        },
        SWEEP_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void sweep() {
    if (!closed) {
      sweepLater();
      front.closeExpired();
      // Who takes this process's place needs the servers' places.
      pools.closeExpiredIdle(
          clock.refresh(), handedOver ? 0 : overload.degradationPolicy().maxIdleNanos());
      pools.closeStalled();
    }
  }

  /** Lets other threads see how things stand now. */
  private void publish() {
    telemetry =
        new Telemetry(
            dispatcher.metrics().snapshot(),
            dispatcher.recorder().counts(),
            dispatcher.serverCount(false),
            dispatcher.serverCount(true),
            hangupsApplied,
            hangupsRejected);
    process =
        new ProcessState(
            pid, stage, front.connectionCount(), pools.connections(), words.all(), whole);
  }

  /** What other processes of this node are told, as it stood some milliseconds ago. Any thread. */
  public ProcessState processState() {
    return process;
  }

  /**
   * So many other processes of this node have told of operators' words, and of the connections that
   * they hold: to every limit all are one.
   */
  public void updatePartners(
      List<ServerExclusion> theirs, int partners, int clients, int serverConnections) {
    words.merge(theirs);
    clientsElsewhere = clients;
    front.setMaxConnections((int) (config.maxDescriptors() * CLIENT_SHARE) - clients);
    pools.setPeerProcessUsage(partners, serverConnections);
  }

  /** What has become of requests and attempts, as it stands now. */
  public RequestMetricsSnapshot requestMetrics() {
    return dispatcher.metrics().snapshot();
  }

  /** What operators see, as it stood some milliseconds ago. From any thread. */
  public Telemetry telemetry() {
    return telemetry;
  }

  /** Whether a request that came now would be taken and served. From any thread. */
  public boolean isReady() {
    return stage == ProcessState.Stage.READY;
  }

  /** What operators have said of cache servers, and where it comes in. */
  OperatorExclusions exclusions() {
    return words;
  }

  /**
   * From now on these settings hold for what comes, and the list comes from where they say. Limits,
   * addresses to listen on and the seed hold from the next start on.
   */
  public void applyConfiguration(NodeConfig next) {
    log.line("configuration taken, discovery at " + next.discovery());
    Settings settings = next.settings();
    dispatcher.retune(settings);
    long now = clock.now();
    codec.updateSettings(settings, now, now + DROPPED_NANOS);
    dispatcher
        .timers()
        .runNoEarlierThan(DROPPED_NANOS, () -> codec.expireRemovedClasses(clock.now()));
    config = config.withSettings(settings);
    discovery.switchTo(next.discovery());
    hangupsApplied++;
    publish();
  }

  /** A configuration was turned down. */
  public void rejectConfiguration(String why) {
    log.line("configuration not taken, the old one holds: " + why);
    hangupsRejected++;
    publish();
  }

  /** A turn of the loop ends that began then, see {@link LoopClock.Listener#onTurnEnd}. */
  public void recordLoopTurn(long begunAt, long now) {
    // Not while it starts: loading and compiling its classes is one long turn after the other.
    if (listener != null) {
      overload.onLoopTurnEnd(begunAt, now, dispatcher.oldestQueuedNanos());
    }
  }

  /** The loop has stood still until now. */
  public void recordStall(long nanos) {
    overload.onEventLoopStall(nanos, clock.now());
    dispatcher.onStall(nanos);
  }

  /** How long a {@link #drain} goes on at most, but for clients that do not read their answers. */
  public long maxDrainMillis() {
    long deadline = Math.min(MOST_DEADLINE_MILLIS, (long) (config.longestDeadlineSeconds() * 1e3));
    return deadline + KILL_MILLIS - ANSWERED_MILLIS;
  }

  /**
   * A planned restart: goes on accepting for as long as connections may come, and serving until the
   * end is near; then ends each connection as it falls idle, and runs the step when all is
   * answered.
   *
   * <p>Guards against sending clients away early: where the other nodes are restarting too, nobody
   * else is there for them yet. Requests that come meanwhile get no more time than is left. Harms
   * whoever waits for a restart that could have been quicker.
   */
  public void drain(Runnable then) {
    long answered = beginDrain();
    long release = Math.max(ACCEPT_MILLIS, answered - RELEASE_MILLIS);
    // After a pause only once what came in it is accepted and read.
    dispatcher
        .timers()
        .runNoEarlierThan(TimeUnit.MILLISECONDS.toNanos(ACCEPT_MILLIS), this::stopAccepting);
    dispatcher
        .timers()
        .runNoEarlierThan(
            TimeUnit.MILLISECONDS.toNanos(release),
            () -> {
              log.line("draining " + front.connectionCount() + " client connections");
              front.drain(loop, 0, lastCall(answered - release), then);
            });
  }

  /**
   * Another process of this node has taken over: accepts no more from now on, ends each connection
   * right behind its next answer and those that rest after a while, and runs the step when all is
   * answered. Not for the longest time that it may take: meanwhile both hold memory, connections
   * and places at servers.
   */
  public void handOver(Runnable then) {
    long answered = beginDrain();
    handedOver = true;
    stopAccepting();
    log.line("handing over " + front.connectionCount() + " client connections");
    // Where deadlines are short the process is killed before clients have rested for as long.
    long rest = Math.min(REST_MILLIS, Math.max(0, answered - RELEASE_MILLIS));
    front.drain(loop, rest, lastCall(Math.min(answered - rest, RELEASE_MILLIS)), then);
  }

  /** When the last connections are told to leave, of so much time in which all is answered. */
  private static long lastCall(long millis) {
    return Math.max(0, millis - LAST_CALL_MILLIS);
  }

  /** Returns in how many milliseconds all has been answered. */
  private long beginDrain() {
    stage = ProcessState.Stage.DRAINING;
    publish();
    log.line("event=totals " + dispatcher.recorder().totals());
    // The signal may have come while the process was stalled: its time runs since then.
    long sinceSignal = TimeUnit.NANOSECONDS.toMillis(clock.now() - clock.earliestArrival());
    long answered = Math.max(0, maxDrainMillis() - sinceSignal);
    dispatcher.drainBy(clock.now() + TimeUnit.MILLISECONDS.toNanos(answered));
    return answered;
  }

  /** Accepts no more clients; those that are there are served on. */
  private void stopAccepting() {
    front.listenerClosed();
    if (listener instanceof ClientListener shared) {
      shared.stop();
    } else if (listener != null) {
      listener.close();
    }
  }

  /** Ends at once: every open request gets its one answer, and nothing new is taken or sent. */
  public void close() {
    closed = true;
    stage = ProcessState.Stage.DRAINING;
    stopAccepting();
    engine.close();
    pools.close();
  }

  /** The edge at which any thread may hand calls in. */
  public Engine engine() {
    return engine;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  /** Connections of clients that are open. */
  public int clientConnections() {
    return front.connectionCount();
  }

  /** Connections to cache servers that are open or on their way. */
  public int serverConnections() {
    return pools.connections();
  }

  /** Requests that are not over, or of which an attempt is out. */
  public int openRequests() {
    return dispatcher.openRequests();
  }

  /** Timers that are due. */
  public int pendingTimers() {
    return dispatcher.timers().size();
  }
}
