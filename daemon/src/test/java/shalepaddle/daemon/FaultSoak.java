package shalepaddle.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import shalepaddle.daemon.FaultyCalls.Errno;
import shalepaddle.testkit.EffectLog;
import shalepaddle.testkit.Fault;
import shalepaddle.testkit.LoopbackTransport;
import shalepaddle.testkit.MisbehavingClients;
import shalepaddle.testkit.ServerModel;
import shalepaddle.testkit.StandInClients;
import shalepaddle.testkit.StandInDiscovery;
import shalepaddle.testkit.StandInOrigin;
import shalepaddle.testkit.StandInServer;
import shalepaddle.testkit.Traffic;

/**
 * A fleet of real node processes under faults that are drawn from a seed and overlap in time. What
 * its clients and servers see is held against the four rules, and so are the violations that the
 * nodes themselves count and log.
 *
 * <p>All stand-ins run on one event loop; methods that touch them run there.
 */
final class FaultSoak implements Closeable {
  private static final List<Fault> FAULTS = List.of(Fault.values());
  private static final int SERVERS = 6;
  private static final int SOCKETS = 256;
  private static final int CLIENT_CONNECTIONS = SOCKETS / 3;
  private static final int REQUESTS_A_NODE = 40;
  private static final int READ_DEADLINE_MILLIS = 800;
  private static final int WRITE_DEADLINE_MILLIS = 600;
  private static final long[] CLOCK_STEPS_SECONDS = {0, 5, -5, 3600, -3600};

  private static final FaultyCalls.Call[] FAILING_CALLS = {
    FaultyCalls.Call.READ,
    FaultyCalls.Call.WRITE,
    FaultyCalls.Call.ACCEPT,
    FaultyCalls.Call.CONNECT,
    FaultyCalls.Call.SOCKET
  };

  private static final Errno[] HARMLESS_ERRORS = {Errno.EINTR, Errno.EAGAIN, Errno.SHORT};

  private static final Errno[] ACCEPT_ERRORS = {
    Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM, Errno.EPERM, Errno.EINTR
  };

  private static final Errno[] CONNECT_ERRORS = {
    Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EPERM, Errno.ENOBUFS, Errno.ENOMEM, Errno.EMFILE
  };

  /** For the protocol's slack, and for this machine with so many processes. */
  private static final long GRACE_MILLIS = 250;

  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
  private static final double GONE_SHARE = 0.05;

  /** New connections go on coming to a process that is told to end, for so long. */
  private static final long NEW_CONNECTIONS_MILLIS = 300;

  private static final long DRAIN_MILLIS = 6000;

  /** How long a drawn fault lasts at most. */
  private static final int FAULT_MILLIS = 2500;

  /** Violations that a stopped process can't help: an answer was due while it did not run. */
  private static final List<String> EXCUSED_BY_STOPS = List.of("answered_late", "unanswered");

  /** What can go wrong; several at a time. */
  private enum Trouble {
    STOP_NODE,
    RESTART_NODE,
    KILL_NODE,
    RELOAD_NODE,
    SHORT_DESCRIPTORS,
    PIPELINE_AFTER_ERROR,
    REPEATED_REQUESTS,
    STEP_NODE_CLOCK,
    STEP_LIST_CLOCK,
    FAILING_CALLS,
    KILL_SERVER,
    SILENT_SERVER,
    FAULTY_SERVER,
    RESET_CONNECTIONS,
    CLOSE_IDLE_CONNECTIONS,
    DISCOVERY_DOWN,
    DISCOVERY_SILENT,
    MUTE_WATCHES,
    SLOW_ORIGIN,
    BAD_CLIENTS,
    BURST
  }

  /** A node's process. */
  private static final class NodeProcess {
    private final String name;
    private final StoppableNode daemon;
    private final FaultyCalls calls;
    private boolean stopped;
    private boolean everStopped;
    private boolean ending;
    private boolean killed;

    NodeProcess(String name, StoppableNode daemon, FaultyCalls calls) {
      this.name = name;
      this.daemon = daemon;
      this.calls = calls;
    }
  }

  private final long seed;
  private final SplittableRandom random;
  private final Path folder;
  private final Path library;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final LoopbackTransport wire = LoopbackTransport.sockets(loop);
  private final EffectLog ledger = new EffectLog();
  private final StandInOrigin origin;
  private final List<StandInServer> servers = new ArrayList<>();
  private final StandInDiscovery discovery = new StandInDiscovery(wire);
  private final StandInClients clients;
  private final MisbehavingClients rude;
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<Trouble, Integer> played = new LinkedHashMap<>();
  private int started;
  private int directs;

  /** How far the clock that stamps starts in the list is off from the machine's. */
  private volatile long listClockMillis;

  FaultSoak(long seed, int nodeCount, Path folder) throws Exception {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.folder = folder;
    this.library = FaultyCalls.build(folder);
    this.origin = new StandInOrigin(wire, seed, 16, 0.02);
    this.rude = new MisbehavingClients(wire, seed);
    this.clients =
        new StandInClients(
            wire,
            ledger,
            new Traffic(
                REQUESTS_A_NODE * nodeCount,
                2000,
                1,
                List.of(
                    new Traffic.RequestClass("read", 0.85, false, false, READ_DEADLINE_MILLIS, 0),
                    new Traffic.RequestClass("put", 0.15, true, false, WRITE_DEADLINE_MILLIS, 64)),
                GONE_SHARE),
            GRACE_MILLIS,
            CLIENT_CONNECTIONS,
            seed);
    for (int i = 0; i < SERVERS; i++) {
      StandInServer server =
          new StandInServer(
              wire, "s" + i, "a", ServerModel.usual(), origin, ledger, servers, seed + i);
      server.start().sync();
    }
    runOnLoop(
        () -> {
          servers.forEach(server -> discovery.put(member(server, 0)));
        });
    discovery.start().sync();
    for (int i = 0; i < nodeCount; i++) {
      startNode();
    }
    for (NodeProcess node : List.copyOf(nodes)) {
      awaitReady(node);
    }
  }

  private <T> T onLoop(Callable<T> work) throws Exception {
    return loop.submit(work).get();
  }

  private void runOnLoop(Runnable work) throws Exception {
    loop.submit(work).get();
  }

  private static StandInDiscovery.Member member(StandInServer server, long startedMillis) {
    return new StandInDiscovery.Member(
        server.id(), server.address(), "a", 0, StandInDiscovery.State.ACTIVE, startedMillis);
  }

  private String config(int port, String members) {
    return """
        {"listen":"127.0.0.1:%d","discovery":"%s","seed":"%x",
         "limits":{"memory_mb":128,"sockets":%d},"known":%s,
         "settings":{"instances":%d,"discovery":"push",
          "caps":{"attempts-cap":3,"cancel":true,"parallel-tries":true,"multiplex":8,
                  "connect-timeout":0.15,"conn-idle":60},
          "contract":{"ask-within":10,"drain-grace":1,"cold-from":0.3,"warm-within":1},
          "services":[{"name":"read","effect":"retryable","slo":0.4,"give-up":1},
                      {"name":"put","effect":"fragile","slo":0.4,"give-up":1}]}}
        """
        .formatted(
            port, discovery.address(), seed + port, SOCKETS, members, Math.max(1, nodes.size()));
  }

  private NodeProcess startNode() throws Exception {
    String name = "n" + started++;
    String members = onLoop(discovery::list);
    FaultyCalls calls = new FaultyCalls(library, folder.resolve(name + ".control"));
    calls.stepWallClock(drawClockStep());
    StoppableNode daemon =
        new StoppableNode(folder, name, port -> config(port, members), calls.environment());
    NodeProcess node = new NodeProcess(name, daemon, calls);
    nodes.add(node);
    return node;
  }

  private void awaitReady(NodeProcess node) throws Exception {
    if (node.daemon.awaitListening()) {
      runOnLoop(() -> clients.add(node.name, node.daemon.address()));
    } else {
      violations.add(node.name + " is not ready");
    }
  }

  /** Plays faults for so long while clients ask, and returns what broke. */
  List<String> run(int seconds) throws Exception {
    long millis = TimeUnit.SECONDS.toMillis(seconds);
    runOnLoop(
        () -> {
          clients.run(millis);
        });
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() - end < 0) {
      TimeUnit.MILLISECONDS.sleep(50 + random.nextInt(400));
      begin(Trouble.values()[random.nextInt(Trouble.values().length)]);
    }
    mendAll();
    TimeUnit.MILLISECONDS.sleep(READ_DEADLINE_MILLIS + FAULT_MILLIS + SETTLE_NANOS / 1_000_000);
    endNodes();
    check();
    return violations;
  }

  private void later(long millis, Runnable step) {
    loop.schedule(step, millis, TimeUnit.MILLISECONDS);
  }

  private void begin(Trouble trouble) throws Exception {
    played.merge(trouble, 1, Integer::sum);
    int millis = 100 + random.nextInt(FAULT_MILLIS);
    StandInServer server = servers.get(random.nextInt(SERVERS));
    switch (trouble) {
      case STOP_NODE -> stop(drawNode());
      case RESTART_NODE -> restart(drawNode());
      case KILL_NODE -> kill(drawNode());
      case RELOAD_NODE -> reload(drawNode());
      case SHORT_DESCRIPTORS -> shortenDescriptors(drawNode());
      case PIPELINE_AFTER_ERROR -> check(drawNode(), DirectClient::pipelineAfterError);
      case REPEATED_REQUESTS -> check(drawNode(), DirectClient::repeatRejected);
      case STEP_NODE_CLOCK -> stepClock(drawNode());
      case STEP_LIST_CLOCK -> listClockMillis = TimeUnit.SECONDS.toMillis(drawClockStep());
      case FAILING_CALLS -> failCalls(drawNode(), millis);
      default ->
          runOnLoop(
              () -> {
                beginOnLoop(trouble, server, millis);
              });
    }
  }

  private void beginOnLoop(Trouble trouble, StandInServer server, int millis) {
    switch (trouble) {
      case KILL_SERVER -> killServer(server, millis);
      case SILENT_SERVER -> {
        server.silent(true);
        later(millis, () -> server.silent(false));
      }
      case FAULTY_SERVER -> {
        server.fault(FAULTS.get(random.nextInt(FAULTS.size())), random.nextDouble());
        later(millis, server::mend);
      }
      case RESET_CONNECTIONS -> server.resetConnections(random.nextDouble());
      case CLOSE_IDLE_CONNECTIONS -> servers.forEach(StandInServer::closeIdle);
      case DISCOVERY_DOWN -> {
        discovery.down();
        later(millis, discovery::start);
      }
      case DISCOVERY_SILENT -> {
        discovery.silent(true);
        later(millis, () -> discovery.silent(false));
      }
      case MUTE_WATCHES -> discovery.muteWatches();
      case SLOW_ORIGIN -> {
        origin.slowness(10);
        later(millis, () -> origin.slowness(1));
      }
      case BAD_CLIENTS -> {
        NodeProcess node = drawNode();
        if (node != null && !node.stopped) {
          rude.come(node.daemon.address(), 10);
        }
      }
      case BURST -> {
        clients.rush(2);
        later(millis, () -> clients.rush(1));
      }
      default -> throw new IllegalArgumentException(trouble.name());
    }
  }

  private void killServer(StandInServer server, int millis) {
    if (server.running()) {
      server.kill();
      later(
          millis,
          () -> {
            server.startCold();
            discovery.put(member(server, System.currentTimeMillis() + listClockMillis));
          });
    }
  }

  /** A process that takes clients and is not about to end; null if there are too few. */
  private NodeProcess drawNode() {
    List<NodeProcess> able =
        nodes.stream().filter(node -> !node.ending && !node.killed && !node.stopped).toList();
    return able.size() < 3 ? null : able.get(random.nextInt(able.size()));
  }

  private void stop(NodeProcess node) throws Exception {
    if (node == null) {
      return;
    }
    int millis = 30 + random.nextInt(420);
    node.stopped = true;
    node.everStopped = true;
    runOnLoop(
        () -> {
          // Signals take their time.
          clients.paused(node.name, millis + 50);
          rude.paused(millis + 50);
        });
    node.daemon.stopFor(millis);
    node.stopped = false;
  }

  private void restart(NodeProcess node) throws Exception {
    if (node == null) {
      return;
    }
    node.ending = true;
    node.daemon.terminate();
    later(NEW_CONNECTIONS_MILLIS, () -> clients.leaving(node.name));
    awaitReady(startNode());
  }

  private void kill(NodeProcess node) throws Exception {
    if (node == null) {
      return;
    }
    node.killed = true;
    runOnLoop(
        () -> {
          clients.excuse(node.name);
        });
    node.daemon.process().destroyForcibly();
    awaitReady(startNode());
  }

  private void reload(NodeProcess node) throws Exception {
    if (node != null) {
      String members = onLoop(discovery::list);
      node.daemon.configure(config(node.daemon.address().getPort(), members));
      node.daemon.hangUp();
    }
  }

  /** The node gets no more descriptors for a moment. */
  private void shortenDescriptors(NodeProcess node) throws Exception {
    if (node == null) {
      return;
    }
    DescriptorLimit limit = node.daemon.descriptors();
    limit.set(limit.inUse());
    TimeUnit.MILLISECONDS.sleep(30 + random.nextInt(170));
    limit.set(SOCKETS);
  }

  private long drawClockStep() {
    return CLOCK_STEPS_SECONDS[random.nextInt(CLOCK_STEPS_SECONDS.length)];
  }

  private void stepClock(NodeProcess node) {
    if (node != null) {
      node.calls.stepWallClock(drawClockStep());
    }
  }

  /** Some of a node's calls fail for a while, such that no client loses its connection by it. */
  private void failCalls(NodeProcess node, int millis) {
    if (node == null) {
      return;
    }
    FaultyCalls.Call call = FAILING_CALLS[random.nextInt(FAILING_CALLS.length)];
    Errno[] errors =
        switch (call) {
          case READ, WRITE -> HARMLESS_ERRORS;
          case ACCEPT -> ACCEPT_ERRORS;
          default -> CONNECT_ERRORS;
        };
    node.calls.fail(call, errors[random.nextInt(errors.length)], 0, 2 + random.nextInt(6));
    later(millis, node.calls::clear);
  }

  private interface DirectCheck {
    String broken(DirectClient client) throws IOException;
  }

  private void check(NodeProcess node, DirectCheck check) throws IOException {
    if (node == null) {
      return;
    }
    String broken = check.broken(new DirectClient(node.daemon.address(), GRACE_MILLIS, directs++));
    if (broken != null) {
      violations.add(node.name + ": " + broken);
    }
  }

  private void mendAll() throws Exception {
    runOnLoop(
        () -> {
          clients.stop();
          servers.forEach(StandInServer::mend);
          servers.forEach(server -> server.silent(false));
          discovery.silent(false);
          nodes.forEach(node -> node.calls.clear());
        });
  }

  private void endNodes() throws Exception {
    for (NodeProcess node : nodes) {
      if (!node.killed && !node.ending) {
        Process process = node.daemon.process();
        if (!process.isAlive()) {
          violations.add(node.name + " ended by itself, code " + process.exitValue());
        }
        node.daemon.terminate();
      }
    }
    for (NodeProcess node : nodes) {
      boolean ended = node.daemon.awaitEnd(DRAIN_MILLIS);
      if (!ended && !node.killed) {
        violations.add(node.name + " goes on after its drain");
      }
    }
  }

  private void check() throws Exception {
    runOnLoop(
        () -> {
          if (clients.open() > 0) {
            violations.add(clients.open() + " requests never ended");
          }
          clients.check(SETTLE_NANOS);
          violations.addAll(clients.breaches());
          violations.addAll(rude.breaches());
        });
    for (NodeProcess node : nodes) {
      for (String line : node.daemon.logged()) {
        if (counts(node, line)) {
          violations.add(node.name + ": " + line);
        }
      }
    }
  }

  /** Whether a line tells of a failure, or of a violation that stops do not excuse. */
  private static boolean counts(NodeProcess node, String line) {
    if (line.startsWith("event=totals")) {
      return Stream.of(line.split(" ")).anyMatch(total -> violates(node, total, "violations."));
    }
    return violates(node, line, "event=violation kind=")
        || line.contains("Exception")
        || line.contains("Error:");
  }

  private static boolean violates(NodeProcess node, String text, String prefix) {
    boolean excused =
        node.everStopped
            && EXCUSED_BY_STOPS.stream().anyMatch(kind -> text.startsWith(prefix + kind));
    return text.startsWith(prefix) && !excused;
  }

  /** What was played and asked, in one line. */
  String summary() throws Exception {
    return onLoop(
        () ->
            "seed %d: %d processes, %d asked, %d served, %d rejected, %d failed, %d crossed, %s"
                .formatted(
                    seed,
                    started,
                    clients.asked(),
                    clients.served(),
                    clients.refused(),
                    clients.failed(),
                    clients.crossed(),
                    played));
  }

  @Override
  public void close() {
    for (NodeProcess node : nodes) {
      node.daemon.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
