package shalepaddle.simulation;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.coalescing.CoalescingSnapshot;
import shalepaddle.config.NodeConfig;
import shalepaddle.config.OperatorFile;
import shalepaddle.engine.RequestMetricsSnapshot;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.WatchedIoHandler;
import shalepaddle.node.LoadBalancer;
import shalepaddle.node.Transport;
import shalepaddle.overload.OverloadConfig;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;
import shalepaddle.testkit.EffectLog;
import shalepaddle.testkit.LoopbackTransport;
import shalepaddle.testkit.MisbehavingClients;
import shalepaddle.testkit.ServerModel;
import shalepaddle.testkit.StandInClients;
import shalepaddle.testkit.StandInDiscovery;
import shalepaddle.testkit.StandInOrigin;
import shalepaddle.testkit.StandInServer;
import shalepaddle.testkit.Traffic;

/**
 * Runs a {@link ScenarioPlan}: load balancers with their real engine, front, connections and
 * discovery client on in-process connections, and stand-ins for everything else, in one thread and
 * in virtual time.
 *
 * <p>The rules are checked against what clients, cache servers and discovery observed, not against
 * what the engine reports. At the end everything is closed; any request, connection, timer or
 * buffer that remains is a leak.
 */
public final class ScenarioSimulation {
  /**
   * How long after its deadline a response may arrive; equal to {@code grace-to-answer} in {@link
   * ScenarioNodeConfig}.
   */
  private static final int GRACE_MILLIS = 50;

  /**
   * How long after the start of a planned restart clients still open connections to the old load
   * balancer.
   */
  private static final int NEW_CONNECTIONS_PERIOD_MILLIS = 300;

  /** How long beyond its maximum drain time a load balancer may wait for clients to disconnect. */
  private static final int MAX_DRAIN_OVERRUN_MILLIS = 400;

  private static final int KEY_COUNT = 2000;
  private static final int COALESCING_KEY_COUNT = 40;
  static final int DRAIN_GRACE_MILLIS = 2000;
  private static final int MAX_DEADLINE_MILLIS = 2000;
  static final double COLD_CAPACITY_SHARE = 0.12;
  static final double WARM_UP_SECONDS = 10;
  static final double COLLAPSE_CAPACITY_MULTIPLE = 3;
  static final double COLLAPSE_WINDOW_SECONDS = 2;

  /**
   * Maximum time between the end of a request and the arrival at a server of an attempt that the
   * load balancer decided to send before that end.
   */
  private static final long MAX_ATTEMPT_DELAY_NANOS = 2_000_000;

  /** Unix time at which virtual time starts, 2026-01-01. */
  private static final long START_UNIX_MILLIS = 1_767_225_600_000L;

  private static List<Traffic.RequestClass> requestClasses(int deadlineDivisor) {
    return List.of(
        new Traffic.RequestClass(
            "read", 0.85, false, false, MAX_DEADLINE_MILLIS / deadlineDivisor, 0),
        new Traffic.RequestClass("put", 0.1, true, false, 1000 / deadlineDivisor, 20),
        new Traffic.RequestClass("note", 0.05, true, true, 1500 / deadlineDivisor, 3000));
  }

  private final ScenarioPlan plan;
  private final Tampering tampering;
  private final VirtualTime virtualTime = new VirtualTime();
  private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false, true);
  private final LoopbackTransport loopback =
      LoopbackTransport.local(virtualTime.newLoop(LocalIoHandler.newFactory()), allocator);
  private final EffectLog effectLog = new EffectLog();
  private final List<StandInServer> fleet = new ArrayList<>();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, String> zonesByServerId = new LinkedHashMap<>();
  private final List<String> violations = new ArrayList<>();
  private final SplittableRandom connectDelayRandom;
  private final StandInOrigin origin;
  private final StandInClients clients;
  private final MisbehavingClients misbehavingClients;

  /** Total time for which each load balancer was paused, by its name. */
  private final Map<String, Long> pausedMillis = new HashMap<>();

  private final Set<String> restartedNodes = new HashSet<>();
  private final Set<String> drainedNodes = new HashSet<>();
  private int replacementCount;

  /** A load balancer and its own discovery service. */
  private record Node(
      String name,
      SocketAddress address,
      ManualIoEventLoop loop,
      LoadBalancer balancer,
      StandInDiscovery discovery) {}

  /**
   * Handlers that tests add to the load balancers' connections to make the load balancers violate a
   * rule, and so verify that the checks detect the violation.
   *
   * @param onOpened called with each connection that is opened to a server or discovery
   * @param onAccepted called with each connection that is accepted from a client
   */
  record Tampering(Consumer<Channel> onOpened, Consumer<Channel> onAccepted) {
    static final Tampering NONE = new Tampering(channel -> {}, channel -> {});
  }

  private ScenarioSimulation(ScenarioPlan plan, Tampering tampering) {
    this.plan = plan;
    this.tampering = tampering;
    origin = new StandInOrigin(loopback, plan.seed() + 1, 12, 0.06);
    misbehavingClients = new MisbehavingClients(loopback, plan.seed() + 3);
    connectDelayRandom = new SplittableRandom(plan.seed() + 4);
    Traffic traffic =
        new Traffic(
            plan.ratePerSecond(),
            plan.coalescing() ? COALESCING_KEY_COUNT : KEY_COUNT,
            plan.zipfExponent(),
            requestClasses(plan.deployment().deadlineDivisor()),
            plan.disconnectShare());
    clients = new StandInClients(loopback, effectLog, traffic, GRACE_MILLIS, 80, plan.seed() + 2);
    if (plan.coalescing()) {
      clients.allowSharedResponses();
    }
  }

  /** Runs this scenario and checks all rules. */
  public static ScenarioReport play(ScenarioPlan plan) {
    return play(plan, Tampering.NONE);
  }

  /** Runs this scenario with load balancers whose connections are tampered with. */
  static ScenarioReport play(ScenarioPlan plan, Tampering tampering) {
    return new ScenarioSimulation(plan, tampering).play();
  }

  private ScenarioReport play() {
    for (int i = 0; i < plan.serverCount(); i++) {
      addServer("s" + i).start();
    }
    virtualTime.advance(1);
    for (int i = 0; i < plan.nodeCount(); i++) {
      addNode("n" + i);
      virtualTime.advance(1);
    }
    virtualTime.advance(200);
    clients.run(plan.durationMillis());
    for (ScenarioPlan.Event event : plan.events()) {
      schedule(event.atMillis(), () -> startEvent(event));
    }
    virtualTime.advance(plan.durationMillis() + 4 * MAX_DEADLINE_MILLIS);
    shutDown();
    clients.checkEffects(MAX_ATTEMPT_DELAY_NANOS);
    violations.addAll(clients.violations());
    violations.addAll(misbehavingClients.violations());
    checkServers();
    return new ScenarioReport(
        plan,
        List.copyOf(violations),
        clients.requests(),
        clients.servedRequests(),
        clients.refusedRequests(),
        clients.failedRequests(),
        clients.closeRaces(),
        origin.fetches(),
        nodes.stream().mapToLong(ScenarioSimulation::sharedReads).sum(),
        clients.latencyMicros().getValueAtPercentile(99),
        clients.digest());
  }

  private static long sharedReads(Node node) {
    CoalescingSnapshot coalescingSnapshot = node.balancer().coalescingSnapshot();
    return coalescingSnapshot == null ? 0 : coalescingSnapshot.sharedAnswers();
  }

  private void schedule(long delayMillis, Runnable task) {
    loopback.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  private StandInServer addServer(String id) {
    ServerModel model =
        ServerModel.defaults()
            .withWorkers(4, 0.02)
            .withColdStart(
                COLD_CAPACITY_SHARE,
                WARM_UP_SECONDS,
                COLLAPSE_CAPACITY_MULTIPLE,
                COLLAPSE_WINDOW_SECONDS);
    String zone = fleet.size() % 2 == 0 ? "a" : "b";
    zonesByServerId.put(id, zone);
    return new StandInServer(
        loopback, id, zone, model, origin, effectLog, fleet, 31 * plan.seed() + fleet.size());
  }

  /** Starts a load balancer with the current endpoint list; once it listens, clients use it. */
  private void addNode(String name) {
    StandInDiscovery discovery = new StandInDiscovery(loopback);
    for (StandInServer server : fleet) {
      StandInDiscovery.Member member =
          nodes.isEmpty()
              ? newMember(server, StandInDiscovery.State.ACTIVE, 0)
              : nodes.get(0).discovery().member(server.id());
      if (member != null && member.state() != StandInDiscovery.State.LEFT) {
        discovery.put(member);
      }
    }
    discovery.setLagMillis(plan.discoveryLagMillis());
    if (plan.deployment().indentedLists()) {
      discovery.indentLists();
    }
    discovery.start().addListener(done -> addNode(name, discovery));
  }

  private void addNode(String name, StandInDiscovery discovery) throws FormatException {
    LoopListener loopListener = new LoopListener();
    LoopClock clock = new LoopClock(virtualTime.ticker(), loopListener);
    ManualIoEventLoop loop =
        virtualTime.newLoop(WatchedIoHandler.factory(LocalIoHandler.newFactory(), clock));
    LoadBalancer balancer =
        new LoadBalancer(
            NodeConfig.parse(JsonObject.parse(configJson(discovery))),
            plan.coalescing()
                ? new OperatorFile(OverloadConfig.DEFAULT, CoalescingConfig.DEFAULTS)
                : OperatorFile.DEFAULTS,
            loop,
            clock,
            new Clock(virtualTime.ticker(), START_UNIX_MILLIS + virtualTime.elapsedMillis()),
            newTransport(),
            new Log(virtualTime.ticker(), line -> checkLogLine(name, line)));
    loopListener.balancer = balancer;
    SocketAddress address = loopback.newAddress();
    nodes.add(new Node(name, address, loop, balancer, discovery));
    loop.execute(balancer::start);
    loop.execute(
        () ->
            balancer
                .listen(address)
                .addListener(
                    done -> loopback.loop().execute(() -> clients.addTarget(name, address))));
  }

  /**
   * Work takes no virtual time, so a load balancer that reports CPU overload has mistaken a pause
   * for load.
   */
  private void checkLogLine(String nodeName, String logLine) {
    if (logLine.startsWith("overload: CPU")) {
      violations.add(
          nodeName
              + " mistook a pause for load: "
              + logLine
              + ", at "
              + virtualTime.elapsedMillis()
              + " ms");
    }
  }

  private Transport newTransport() {
    return new Transport() {
      @Override
      public ByteBufAllocator allocator() {
        return allocator;
      }

      @Override
      public Bootstrap connector(EventLoop loop) {
        return LoopbackTransport.local(loop, allocator, ScenarioSimulation.this::onOpened)
            .connector();
      }

      @Override
      public ServerBootstrap acceptor(EventLoop loop) {
        return LoopbackTransport.local(loop, allocator, tampering.onAccepted()).acceptor();
      }
    };
  }

  private void onOpened(Channel channel) {
    tampering.onOpened().accept(channel);
    if (connectDelayRandom.nextDouble() < plan.deployment().delayedConnectShare()) {
      channel.pipeline().addFirst(new DelayedConnect(plan.deployment().connectDelayMillis()));
    }
  }

  private String configJson(StandInDiscovery discovery) {
    return ScenarioNodeConfig.json(plan, discovery, nodes.size());
  }

  private StandInDiscovery.Member newMember(
      StandInServer server, StandInDiscovery.State state, long startUnixMillis) {
    return new StandInDiscovery.Member(
        server.id(), server.address(), zonesByServerId.get(server.id()), 0, state, startUnixMillis);
  }

  private void publishState(StandInServer server, StandInDiscovery.State state) {
    for (Node node : nodes) {
      StandInDiscovery.Member previousMember = node.discovery().member(server.id());
      long startUnixMillis = previousMember == null ? 0 : previousMember.startUnixMillis();
      node.discovery().put(newMember(server, state, startUnixMillis));
    }
  }

  private void publishStart(StandInServer server) {
    long startUnixMillis = START_UNIX_MILLIS + virtualTime.elapsedMillis();
    for (Node node : nodes) {
      node.discovery().put(newMember(server, StandInDiscovery.State.ACTIVE, startUnixMillis));
    }
  }

  private void startEvent(ScenarioPlan.Event event) {
    StandInServer server = fleet.get(event.targetIndex() % fleet.size());
    long durationMillis = event.durationMillis();
    switch (event.kind()) {
      case KILL -> killFor(server, durationMillis);
      case KILL_SEVERAL -> {
        for (int i = 0; i < Math.max(1, plan.serverCount() / 4); i++) {
          killFor(fleet.get((event.targetIndex() + i) % plan.serverCount()), durationMillis);
        }
      }
      case REPLACE -> replace(server);
      case SERVER_UNRESPONSIVE -> {
        server.setUnresponsive(true);
        schedule(durationMillis, () -> server.setUnresponsive(false));
      }
      case FAULT -> {
        server.injectFault(event.fault(), event.strength());
        schedule(durationMillis, server::clearFaults);
      }
      case FAULT_EVERYWHERE -> {
        fleet.forEach(target -> target.injectFault(event.fault(), event.strength()));
        schedule(durationMillis, () -> fleet.forEach(StandInServer::clearFaults));
      }
      case CLOSE_CONNECTIONS -> server.closeConnections(event.strength());
      case CLOSE_IDLE_CONNECTIONS -> fleet.forEach(StandInServer::closeIdleConnections);
      case SLOW_ORIGIN -> {
        origin.setSlowdown(event.strength());
        schedule(durationMillis, () -> origin.setSlowdown(1));
      }
      case DISCOVERY_DOWN -> {
        nodes.forEach(node -> node.discovery().stop());
        schedule(durationMillis, () -> nodes.forEach(node -> node.discovery().start()));
      }
      case DISCOVERY_SILENT -> {
        nodes.forEach(node -> node.discovery().setSilent(true));
        schedule(durationMillis, () -> nodes.forEach(node -> node.discovery().setSilent(false)));
      }
      case NODE_PAUSE -> {
        Node node = nodes.get(event.targetIndex() % nodes.size());
        virtualTime.suspend(node.loop(), durationMillis);
        clients.recordPause(node.name(), durationMillis);
        pausedMillis.merge(node.name(), durationMillis, Long::sum);
        misbehavingClients.recordPause(durationMillis);
      }
      case SLOW_READER -> {
        server.limitReadBytes((int) event.strength());
        schedule(durationMillis, () -> server.limitReadBytes(0));
      }
      case MISBEHAVING_CLIENTS ->
          nodes.forEach(node -> misbehavingClients.connect(node.address(), (int) event.strength()));
      case RESTART -> restart(event.targetIndex());
      case MUTE_WATCHES -> nodes.forEach(node -> node.discovery().muteWatches());
      case RELOAD_CONFIGURATION -> nodes.forEach(this::reloadConfiguration);
      case LOAD_SPIKE -> {
        clients.setRateFactor(event.strength());
        schedule(durationMillis, () -> clients.setRateFactor(1));
      }
    }
  }

  private void reloadConfiguration(Node node) {
    try {
      NodeConfig unchangedConfig = NodeConfig.parse(JsonObject.parse(configJson(node.discovery())));
      node.loop().execute(() -> node.balancer().applyConfiguration(unchangedConfig));
    } catch (FormatException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Starts a load balancer, then drains the old one while the new one accepts connections. The old
   * load balancer must be drained within its maximum drain time plus a margin and the time for
   * which it was paused.
   */
  private void restart(int nodeIndex) {
    Node oldNode = nodes.get(nodeIndex % nodes.size());
    if (!restartedNodes.add(oldNode.name())) {
      return;
    }
    addNode(oldNode.name() + "x");
    schedule(NEW_CONNECTIONS_PERIOD_MILLIS, () -> clients.markRestarting(oldNode.name()));
    long requestedNanos = virtualTime.ticker().nanoTime();
    oldNode
        .loop()
        .execute(
            () -> oldNode.balancer().drain(requestedNanos, () -> drainedNodes.add(oldNode.name())));
    long maxDrainMillis = oldNode.balancer().maxDrainMillis();
    schedule(
        maxDrainMillis + MAX_DRAIN_OVERRUN_MILLIS,
        () ->
            schedule(
                pausedMillis.getOrDefault(oldNode.name(), 0L), () -> checkNodeDrained(oldNode)));
  }

  private void checkNodeDrained(Node oldNode) {
    if (!drainedNodes.contains(oldNode.name())) {
      violations.add(oldNode.name() + " was not drained in time");
    }
  }

  private void killFor(StandInServer server, long downMillis) {
    if (!server.isRunning() || isLeaving(server)) {
      return;
    }
    server.kill();
    schedule(
        downMillis,
        () -> {
          if (!server.isRunning() && !isLeaving(server)) {
            server.startCold();
            publishStart(server);
          }
        });
  }

  private boolean isLeaving(StandInServer server) {
    StandInDiscovery.Member member = nodes.get(0).discovery().member(server.id());
    return member.state() != StandInDiscovery.State.ACTIVE;
  }

  /** Drains and removes a server, and replaces it by one with a new id. */
  private void replace(StandInServer server) {
    if (!server.isRunning() || isLeaving(server)) {
      return;
    }
    publishState(server, StandInDiscovery.State.LEAVING);
    schedule(plan.discoveryLagMillis() + DRAIN_GRACE_MILLIS, server::drain);
    schedule(
        plan.discoveryLagMillis() + 2 * DRAIN_GRACE_MILLIS,
        () -> {
          server.kill();
          publishState(server, StandInDiscovery.State.LEFT);
          StandInServer replacement = addServer("t" + replacementCount++);
          replacement.startCold().addListener(done -> publishStart(replacement));
        });
  }

  private void checkServers() {
    for (StandInServer server : fleet) {
      if (server.collapsed()) {
        violations.add(server.id() + " collapsed under overload while it was warming up");
      }
    }
    for (String id : clients.endedRequestIds()) {
      EffectLog.Entry entry = effectLog.entryOf(id);
      if (entry.arrivals().size() > plan.maxAttempts()) {
        violations.add(id + " had " + entry.arrivals().size() + " attempts");
      }
      if (!plan.parallelAttempts() && entry.maxInFlight() > 1) {
        violations.add(
            id
                + " had "
                + entry.maxInFlight()
                + " attempts in flight together: "
                + entry.arrivals());
      }
      for (EffectLog.Arrival arrival : entry.arrivals()) {
        checkDrainGrace(id, arrival);
      }
    }
  }

  private void checkDrainGrace(String requestId, EffectLog.Arrival arrival) {
    String nodeName = clients.targetOf(requestId);
    for (Node node : nodes) {
      if (!node.name().equals(nodeName)) {
        continue;
      }
      long drainSentNanos =
          node.discovery().firstSentNanos(arrival.serverId(), StandInDiscovery.State.LEAVING);
      long lateMillis =
          (arrival.atNanos() - drainSentNanos) / 1_000_000 - DRAIN_GRACE_MILLIS - GRACE_MILLIS;
      if (drainSentNanos >= 0 && lateMillis > 0) {
        violations.add(
            requestId
                + " was sent to "
                + arrival.serverId()
                + " "
                + lateMillis
                + " ms after the grace of its drain");
      }
    }
  }

  /** Shuts down clients, load balancers and servers, and checks for leaks. */
  private void shutDown() {
    if (clients.outstanding() > 0) {
      violations.add(clients.outstanding() + " requests never ended");
    }
    for (Node node : nodes) {
      checkNoneLeft(node, "open requests", node.balancer().openRequests());
      checkRequestTotals(node);
    }
    clients.close();
    virtualTime.advance(1000);
    for (Node node : nodes) {
      checkNoneLeft(node, "client connections", node.balancer().clientConnections());
      node.loop().execute(node.balancer()::close);
    }
    virtualTime.advance(1000);
    for (Node node : nodes) {
      checkNoneLeft(node, "timers", node.balancer().pendingTimers());
      checkNoneLeft(node, "server connections", node.balancer().serverConnections());
      node.discovery().stop();
    }
    fleet.forEach(StandInServer::kill);
    virtualTime.advance(1000);
    virtualTime.close();
    long leakedBytes = allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    if (leakedBytes > 0) {
      violations.add(leakedBytes + " bytes of buffers leaked");
    }
  }

  /**
   * Checks that each request that the load balancer received has exactly one result or ended with
   * its client's disconnect.
   */
  private void checkRequestTotals(Node node) {
    RequestMetricsSnapshot metrics = node.balancer().requestMetrics();
    long endedRequests = metrics.disconnectedRequests();
    for (RequestMetricsSnapshot.Results results : metrics.results()) {
      endedRequests +=
          results.succeededRequests() + results.rejectedRequests() + results.failedRequests();
    }
    if (endedRequests != metrics.receivedRequests() || metrics.outstandingRequests() != 0) {
      violations.add(
          "%s received %d requests, of which %d ended and %d are outstanding"
              .formatted(
                  node.name(),
                  metrics.receivedRequests(),
                  endedRequests,
                  metrics.outstandingRequests()));
    }
  }

  private void checkNoneLeft(Node node, String resource, int count) {
    if (count > 0) {
      violations.add(node.name() + " still has " + count + " " + resource);
    }
  }
}
