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
 * Plays a {@link ScenarioPlan}: load balancers with their real engine, front, connections and
 * discovery client on local connections, and stand-ins for all else, in one thread and in virtual
 * time.
 *
 * <p>The rules are checked on what clients, cache servers and discovery saw, not on what the engine
 * says of itself. At the end everything is closed, and whatever is left then is a leak: a request,
 * a connection, a timer, a byte of a buffer.
 */
public final class ScenarioSimulation {
  /** What an answer may be late by, as the rules on sockets have it. */
  private static final int GRACE_MILLIS = 50;

  /** New connections go on coming for so long after a planned restart has begun. */
  private static final int NEW_CONNECTIONS_MILLIS = 300;

  /** How long past its time a drained load balancer may wait for clients that are to leave. */
  private static final int LINGER_MILLIS = 400;

  private static final int KEYS = 2000;
  private static final int JOINED_KEYS = 40;
  private static final int DRAIN_GRACE_MILLIS = 2000;
  private static final int DEADLINE_MILLIS = 2000;
  private static final double COLD_SHARE = 0.12;
  private static final double WARM_SECONDS = 10;
  private static final double FALL_MULTIPLE = 3;
  private static final double FALL_SECONDS = 2;

  /** How long an attempt that was decided before an answer may be on its way. */
  private static final long SETTLE_NANOS = 2_000_000;

  private static final long EPOCH_MILLIS = 1_767_225_600_000L;

  private static List<Traffic.RequestClass> classes(int hurry) {
    return List.of(
        new Traffic.RequestClass("read", 0.85, false, false, DEADLINE_MILLIS / hurry, 0),
        new Traffic.RequestClass("put", 0.1, true, false, 1000 / hurry, 20),
        new Traffic.RequestClass("note", 0.05, true, true, 1500 / hurry, 3000));
  }

  private final ScenarioPlan plan;
  private final Tampering tampering;
  private final VirtualTime time = new VirtualTime();
  private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false, true);
  private final LoopbackTransport wire =
      LoopbackTransport.local(time.loop(LocalIoHandler.newFactory()), allocator);
  private final EffectLog ledger = new EffectLog();
  private final List<StandInServer> fleet = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, String> zones = new LinkedHashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private final SplittableRandom delays;
  private final StandInOrigin origin;
  private final StandInClients clients;
  private final MisbehavingClients rude;

  /** For how long load balancers did not run, by their names. */
  private final Map<String, Long> heldMillis = new HashMap<>();

  private final Set<String> restarted = new HashSet<>();
  private final Set<String> drained = new HashSet<>();
  private int replaced;

  /** One load balancer and the discovery service that it alone asks. */
  private record Instance(
      String name,
      SocketAddress address,
      ManualIoEventLoop loop,
      LoadBalancer balancer,
      StandInDiscovery discovery) {}

  /**
   * What somebody does to the load balancers' connections, to see that the checks find it.
   *
   * @param opened shown each connection to a server or discovery
   * @param accepted shown each connection of a client
   */
  record Tampering(Consumer<Channel> opened, Consumer<Channel> accepted) {
    static final Tampering NONE = new Tampering(channel -> {}, channel -> {});
  }

  private ScenarioSimulation(ScenarioPlan plan, Tampering tampering) {
    this.plan = plan;
    this.tampering = tampering;
    origin = new StandInOrigin(wire, plan.seed() + 1, 12, 0.06);
    rude = new MisbehavingClients(wire, plan.seed() + 3);
    delays = new SplittableRandom(plan.seed() + 4);
    Traffic traffic =
        new Traffic(
            plan.ratePerSecond(),
            plan.joining() ? JOINED_KEYS : KEYS,
            plan.skew(),
            classes(plan.world().hurry()),
            plan.goneShare());
    clients = new StandInClients(wire, ledger, traffic, GRACE_MILLIS, 80, plan.seed() + 2);
    if (plan.joining()) {
      clients.mayShareAnswers();
    }
  }

  /** Plays this day. */
  public static ScenarioReport play(ScenarioPlan plan) {
    return play(plan, Tampering.NONE);
  }

  /** Plays this day with load balancers whose connections somebody has tampered with. */
  static ScenarioReport play(ScenarioPlan plan, Tampering tampering) {
    return new ScenarioSimulation(plan, tampering).play();
  }

  private ScenarioReport play() {
    for (int i = 0; i < plan.servers(); i++) {
      addServer("s" + i).start();
    }
    time.pass(1);
    for (int i = 0; i < plan.nodes(); i++) {
      addInstance("n" + i);
      time.pass(1);
    }
    time.pass(200);
    clients.run(plan.millis());
    for (ScenarioPlan.Trouble trouble : plan.troubles()) {
      later(trouble.atMillis(), () -> begin(trouble));
    }
    time.pass(plan.millis() + 4 * DEADLINE_MILLIS);
    end();
    clients.check(SETTLE_NANOS);
    breaches.addAll(clients.breaches());
    breaches.addAll(rude.breaches());
    checkServers();
    return new ScenarioReport(
        plan,
        List.copyOf(breaches),
        clients.asked(),
        clients.served(),
        clients.refused(),
        clients.failed(),
        clients.crossed(),
        origin.fetches(),
        instances.stream().mapToLong(ScenarioSimulation::shared).sum(),
        clients.latencies().getValueAtPercentile(99),
        clients.digest());
  }

  private static long shared(Instance instance) {
    CoalescingSnapshot joining = instance.balancer().coalescingSnapshot();
    return joining == null ? 0 : joining.shared();
  }

  private void later(long millis, Runnable step) {
    wire.loop().schedule(step, millis, TimeUnit.MILLISECONDS);
  }

  private StandInServer addServer(String id) {
    ServerModel model =
        ServerModel.usual()
            .working(4, 0.02)
            .cold(COLD_SHARE, WARM_SECONDS, FALL_MULTIPLE, FALL_SECONDS);
    String zone = fleet.size() % 2 == 0 ? "a" : "b";
    zones.put(id, zone);
    return new StandInServer(
        wire, id, zone, model, origin, ledger, fleet, 31 * plan.seed() + fleet.size());
  }

  /** Starts a load balancer with the list as it is now; clients ask it once it listens. */
  private void addInstance(String name) {
    StandInDiscovery discovery = new StandInDiscovery(wire);
    for (StandInServer server : fleet) {
      StandInDiscovery.Member member =
          instances.isEmpty()
              ? member(server, StandInDiscovery.State.ACTIVE, 0)
              : instances.get(0).discovery().member(server.id());
      if (member != null && member.state() != StandInDiscovery.State.LEFT) {
        discovery.put(member);
      }
    }
    discovery.lag(plan.lagMillis());
    if (plan.world().indented()) {
      discovery.indent();
    }
    discovery.start().addListener(done -> addInstance(name, discovery));
  }

  private void addInstance(String name, StandInDiscovery discovery) throws FormatException {
    Pauses pauses = new Pauses();
    LoopClock clock = new LoopClock(time.ticker(), pauses);
    ManualIoEventLoop loop =
        time.loop(WatchedIoHandler.factory(LocalIoHandler.newFactory(), clock));
    LoadBalancer balancer =
        new LoadBalancer(
            NodeConfig.parse(JsonObject.parse(config(discovery))),
            plan.joining()
                ? new OperatorFile(OverloadConfig.DEFAULT, CoalescingConfig.DEFAULTS)
                : OperatorFile.DEFAULTS,
            loop,
            clock,
            new Clock(time.ticker(), EPOCH_MILLIS + time.millis()),
            transport(),
            new Log(time.ticker(), line -> logged(name, line)));
    pauses.balancer = balancer;
    SocketAddress address = wire.address();
    instances.add(new Instance(name, address, loop, balancer, discovery));
    loop.execute(balancer::start);
    loop.execute(
        () ->
            balancer
                .listen(address)
                .addListener(done -> wire.loop().execute(() -> clients.add(name, address))));
  }

  /** Work takes no virtual time: whoever finds its loop late for good mistakes a pause for load. */
  private void logged(String name, String line) {
    if (line.startsWith("overload: CPU")) {
      breaches.add(name + " took a pause for " + line + ", at " + time.millis() + " ms");
    }
  }

  private static final class Pauses implements LoopClock.Listener {
    private LoadBalancer balancer;

    @Override
    public void onStall(long nanos) {
      if (balancer != null) {
        balancer.recordStall(nanos);
      }
    }

    @Override
    public void onTurnEnd(long begunAt, long now) {
      balancer.recordLoopTurn(begunAt, now);
    }

    @Override
    public void onTaskFailure(RuntimeException cause) {
      throw cause;
    }
  }

  private Transport transport() {
    return new Transport() {
      @Override
      public ByteBufAllocator allocator() {
        return allocator;
      }

      @Override
      public Bootstrap connector(EventLoop loop) {
        return LoopbackTransport.local(loop, allocator, ScenarioSimulation.this::opened)
            .connector();
      }

      @Override
      public ServerBootstrap acceptor(EventLoop loop) {
        return LoopbackTransport.local(loop, allocator, tampering.accepted()).acceptor();
      }
    };
  }

  private void opened(Channel channel) {
    tampering.opened().accept(channel);
    if (delays.nextDouble() < plan.world().lateShare()) {
      channel.pipeline().addFirst(new DelayedConnect(plan.world().lateMillis()));
    }
  }

  private String config(StandInDiscovery discovery) {
    int hurry = plan.world().hurry();
    return """
        {"listen":"127.0.0.1:0","discovery":"%s","seed":"%x",
         "limits":{"memory_mb":128,"sockets":512},"known":%s,
         "settings":{"instances":%d,"discovery":"%s","zone":"a","azs":["a","b"],
          "caps":{"attempts-cap":%d,"cancel":%b,"parallel-tries":%b,"multiplex":%d,
                  "connect-timeout":0.15,"conn-idle":30,"retry-after":true,"max-retry-after":1},
          "contract":{"grace-to-answer":0.05,"ask-within":10,"drain-grace":%s,"cold-from":%s,
                      "warm-within":%s,"overload-factor":%s,"overload-for":%s},
          "services":[
           {"name":"read","effect":"retryable","slo":%s,"give-up":%s,"credit":2,"late-share":0.3},
           {"name":"put","effect":"fragile","slo":%s,"give-up":%s,"credit":5,"late-share":0.3},
           {"name":"note","effect":"dedup","group":"zone","repeat-window":5,"slo":%s,
            "give-up":%s,"credit":3,"late-share":0.3}]}}
        """
        .formatted(
            discovery.address(),
            plan.seed() + instances.size(),
            discovery.list(),
            plan.nodes(),
            plan.asksForList() ? "ask" : "push",
            plan.maxAttempts(),
            plan.world().cancel(),
            plan.parallel(),
            plan.perConnection(),
            DRAIN_GRACE_MILLIS / 1e3,
            COLD_SHARE,
            WARM_SECONDS,
            FALL_MULTIPLE,
            FALL_SECONDS,
            0.75 / hurry,
            2.0 / hurry,
            0.3 / hurry,
            1.0 / hurry,
            0.5 / hurry,
            1.5 / hurry);
  }

  // The list.

  private StandInDiscovery.Member member(
      StandInServer server, StandInDiscovery.State state, long startedMillis) {
    return new StandInDiscovery.Member(
        server.id(), server.address(), zones.get(server.id()), 0, state, startedMillis);
  }

  private void list(StandInServer server, StandInDiscovery.State state) {
    for (Instance instance : instances) {
      StandInDiscovery.Member before = instance.discovery().member(server.id());
      long started = before == null ? 0 : before.startedMillis();
      instance.discovery().put(member(server, state, started));
    }
  }

  private void listStarted(StandInServer server) {
    long now = EPOCH_MILLIS + time.millis();
    for (Instance instance : instances) {
      instance.discovery().put(member(server, StandInDiscovery.State.ACTIVE, now));
    }
  }

  // What goes wrong.

  private void begin(ScenarioPlan.Trouble trouble) {
    StandInServer server = fleet.get(trouble.which() % fleet.size());
    long millis = trouble.millis();
    switch (trouble.kind()) {
      case KILL -> killFor(server, millis);
      case KILL_SOME -> {
        for (int i = 0; i < Math.max(1, plan.servers() / 4); i++) {
          killFor(fleet.get((trouble.which() + i) % plan.servers()), millis);
        }
      }
      case REPLACE -> replace(server);
      case SILENT -> {
        server.silent(true);
        later(millis, () -> server.silent(false));
      }
      case FAULT -> {
        server.fault(trouble.fault(), trouble.strength());
        later(millis, server::mend);
      }
      case FAULT_EVERYWHERE -> {
        fleet.forEach(each -> each.fault(trouble.fault(), trouble.strength()));
        later(millis, () -> fleet.forEach(StandInServer::mend));
      }
      case RESET -> server.resetConnections(trouble.strength());
      case CLOSE_IDLE -> fleet.forEach(StandInServer::closeIdle);
      case SLOW_ORIGIN -> {
        origin.slowness(trouble.strength());
        later(millis, () -> origin.slowness(1));
      }
      case DISCOVERY_DOWN -> {
        instances.forEach(instance -> instance.discovery().down());
        later(millis, () -> instances.forEach(instance -> instance.discovery().start()));
      }
      case DISCOVERY_SILENT -> {
        instances.forEach(instance -> instance.discovery().silent(true));
        later(millis, () -> instances.forEach(instance -> instance.discovery().silent(false)));
      }
      case NODE_PAUSE -> {
        Instance instance = instances.get(trouble.which() % instances.size());
        time.hold(instance.loop(), millis);
        clients.paused(instance.name(), millis);
        heldMillis.merge(instance.name(), millis, Long::sum);
        rude.paused(millis);
      }
      case SLOW_READER -> {
        server.slowReader((int) trouble.strength());
        later(millis, () -> server.slowReader(0));
      }
      case RUDE ->
          instances.forEach(instance -> rude.come(instance.address(), (int) trouble.strength()));
      case RESTART -> restart(trouble.which());
      case MUTE_WATCHES -> instances.forEach(instance -> instance.discovery().muteWatches());
      case RETUNE -> instances.forEach(this::retune);
      case RUSH -> {
        clients.rush(trouble.strength());
        later(millis, () -> clients.rush(1));
      }
    }
  }

  private void retune(Instance instance) {
    try {
      NodeConfig same = NodeConfig.parse(JsonObject.parse(config(instance.discovery())));
      instance.loop().execute(() -> instance.balancer().applyConfiguration(same));
    } catch (FormatException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * A load balancer ends as planned while another that has started before takes new connections.
   * What is left of it once it is drained is a leak.
   */
  private void restart(int which) {
    Instance old = instances.get(which % instances.size());
    if (!restarted.add(old.name())) {
      return;
    }
    addInstance(old.name() + "x");
    later(NEW_CONNECTIONS_MILLIS, () -> clients.leaving(old.name()));
    old.loop().execute(() -> old.balancer().drain(() -> drained.add(old.name())));
    long latest = old.balancer().maxDrainMillis();
    later(
        latest + LINGER_MILLIS,
        () -> later(heldMillis.getOrDefault(old.name(), 0L), () -> checkDrained(old)));
  }

  private void checkDrained(Instance old) {
    if (!drained.contains(old.name())) {
      breaches.add(old.name() + " was not drained in time");
    }
  }

  private void killFor(StandInServer server, long millis) {
    if (!server.running() || leaving(server)) {
      return;
    }
    server.kill();
    later(
        millis,
        () -> {
          if (!server.running() && !leaving(server)) {
            server.startCold();
            listStarted(server);
          }
        });
  }

  private boolean leaving(StandInServer server) {
    StandInDiscovery.Member member = instances.get(0).discovery().member(server.id());
    return member.state() != StandInDiscovery.State.ACTIVE;
  }

  /** A server leaves as it should, and another takes its place under a new id. */
  private void replace(StandInServer server) {
    if (!server.running() || leaving(server)) {
      return;
    }
    list(server, StandInDiscovery.State.LEAVING);
    later(plan.lagMillis() + DRAIN_GRACE_MILLIS, server::drain);
    later(
        plan.lagMillis() + 2 * DRAIN_GRACE_MILLIS,
        () -> {
          server.kill();
          list(server, StandInDiscovery.State.LEFT);
          StandInServer next = addServer("t" + replaced++);
          next.startCold().addListener(done -> listStarted(next));
        });
  }

  // What must hold.

  private void checkServers() {
    for (StandInServer server : fleet) {
      if (server.fallen()) {
        breaches.add(server.id() + " was pushed over when it was cold");
      }
    }
    for (String id : clients.ids()) {
      EffectLog.Entry entry = ledger.of(id);
      if (entry.arrivals().size() > plan.maxAttempts()) {
        breaches.add(id + " had " + entry.arrivals().size() + " attempts");
      }
      if (!plan.parallel() && entry.mostOut() > 1) {
        breaches.add(
            id + " had " + entry.mostOut() + " attempts out together: " + entry.arrivals());
      }
      for (EffectLog.Arrival arrival : entry.arrivals()) {
        checkDrain(id, arrival);
      }
    }
  }

  private void checkDrain(String id, EffectLog.Arrival arrival) {
    String name = clients.targetOf(id);
    for (Instance instance : instances) {
      if (!instance.name().equals(name)) {
        continue;
      }
      long told = instance.discovery().toldAt(arrival.server(), StandInDiscovery.State.LEAVING);
      long late = (arrival.atNanos() - told) / 1_000_000 - DRAIN_GRACE_MILLIS - GRACE_MILLIS;
      if (told >= 0 && late > 0) {
        breaches.add(
            id + " went to " + arrival.server() + " " + late + " ms past the grace of its drain");
      }
    }
  }

  /** Ends the day in order, and looks for what is left. */
  private void end() {
    if (clients.open() > 0) {
      breaches.add(clients.open() + " requests never ended");
    }
    for (Instance instance : instances) {
      expectNone(instance, "open requests", instance.balancer().openRequests());
      expectTrueFigures(instance);
    }
    clients.close();
    time.pass(1000);
    for (Instance instance : instances) {
      expectNone(instance, "clients' connections", instance.balancer().clientConnections());
      instance.loop().execute(instance.balancer()::close);
    }
    time.pass(1000);
    for (Instance instance : instances) {
      expectNone(instance, "timers", instance.balancer().pendingTimers());
      expectNone(instance, "connections to servers", instance.balancer().serverConnections());
      instance.discovery().down();
    }
    fleet.forEach(StandInServer::kill);
    time.pass(1000);
    time.close();
    long bytes = allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    if (bytes > 0) {
      breaches.add(bytes + " bytes of buffers leaked");
    }
  }

  /** Every request that was taken has ended under exactly one disposition, or its client left. */
  private void expectTrueFigures(Instance instance) {
    RequestMetricsSnapshot figures = instance.balancer().requestMetrics();
    long ended = figures.disconnected();
    for (RequestMetricsSnapshot.Results results : figures.results()) {
      ended += results.succeeded() + results.rejected() + results.failed();
    }
    if (ended != figures.received() || figures.outstanding() != 0) {
      breaches.add(
          "%s took %d requests, of which %d ended and %d are outstanding"
              .formatted(instance.name(), figures.received(), ended, figures.outstanding()));
    }
  }

  private void expectNone(Instance instance, String what, int count) {
    if (count > 0) {
      breaches.add(instance.name() + " was left with " + count + " " + what);
    }
  }
}
