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
import shalepaddle.daemon.FaultySystemCalls.Errno;
import shalepaddle.testkit.EffectLog;
import shalepaddle.testkit.Fault;
import shalepaddle.testkit.LoopbackTransport;
import shalepaddle.testkit.MisbehavingClients;
import shalepaddle.testkit.ServerLink;
import shalepaddle.testkit.ServerModel;
import shalepaddle.testkit.StandInClients;
import shalepaddle.testkit.StandInDiscovery;
import shalepaddle.testkit.StandInOrigin;
import shalepaddle.testkit.StandInServer;
import shalepaddle.testkit.Traffic;

/**
 * Runs a fleet of real node processes under overlapping faults drawn from a seed. Checks the
 * protocol's requirements on answers, attempts, retries, server states and slow start by what
 * clients and servers observe, and by the violations that the nodes themselves count and log.
 *
 * <p>All stand-ins run on one event loop; methods that access them run there.
 */
final class FaultSoak implements Closeable {
  private static final List<Fault> ANSWER_FAULTS = List.of(Fault.values());
  private static final int SERVER_COUNT = 6;
  private static final int MAX_DESCRIPTORS = 256;
  private static final int MAX_CLIENT_CONNECTIONS = MAX_DESCRIPTORS / 3;
  private static final int REQUESTS_PER_SECOND_PER_NODE = 40;
  private static final int BAD_CLIENT_COUNT = 10;
  private static final int CROWD_CLIENT_COUNT = 60;
  private static final int SERIAL_PAUSE_MILLIS = 150;

  /** The least time between the longest deadline and SIGKILL, counted from SIGTERM. */
  private static final long KILL_MARGIN_MILLIS = 700;

  /** Replies that may arrive twice; the empty text stands for all of them. */
  private static final String[] COPIED_REPLIES = {
    "SERVER_ERROR busy", "SERVER_ERROR failed", "VA", "HD", ""
  };

  private static final double REJECTED_SHARE_WITH_COPIES = 0.25;
  private static final double MAX_WRONG_ID_SHARE = 0.2;
  private static final int[] MAX_COPY_DELAYS_MILLIS = {12, 60, 400};
  private static final long[] CLOCK_STEPS_SECONDS = {0, 5, -5, 3600, -3600};

  private static final FaultySystemCalls.Call[] FAILING_CALLS = {
    FaultySystemCalls.Call.READ,
    FaultySystemCalls.Call.WRITE,
    FaultySystemCalls.Call.ACCEPT,
    FaultySystemCalls.Call.CONNECT,
    FaultySystemCalls.Call.SOCKET
  };

  private static final Errno[] HARMLESS_ERRORS = {Errno.EINTR, Errno.EAGAIN, Errno.SHORT};

  private static final Errno[] ACCEPT_ERRORS = {
    Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM, Errno.EPERM, Errno.EINTR
  };

  private static final Errno[] CONNECT_ERRORS = {
    Errno.EADDRNOTAVAIL, Errno.ENETUNREACH, Errno.EPERM, Errno.ENOBUFS, Errno.ENOMEM, Errno.EMFILE
  };

  /** How late an answer may be: the protocol's tolerance, and delays of a busy test machine. */
  private static final long MAX_LATENESS_MILLIS = 250;

  /** How long after an answer a command that was sent before it may still reach a server. */
  private static final long MAX_DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final double ABANDONED_REQUESTS_FRACTION = 0.05;

  /** How long clients open new connections to a process after its SIGTERM. */
  private static final long CONNECTS_AFTER_SIGTERM_MILLIS = 300;

  private static final long MAX_DRAIN_MILLIS = 6000;

  /** Bound on the random part of a fault's duration, to which 100 ms are added. */
  private static final int MAX_RANDOM_FAULT_MILLIS = 2500;

  /** Violations that a pause by SIGSTOP causes: an answer was due while the process was paused. */
  private static final List<String> KINDS_EXCUSED_BY_PAUSES =
      List.of("answered_late", "unanswered");

  /** The kinds of faults, several of which may be active at a time. */
  private enum FaultKind {
    PAUSE_NODE,
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
    REJECTING_SERVER,
    COPIED_REPLIES,
    PAUSE_SERIES,
    BAD_CLIENTS,
    BURST
  }

  /** A node's process and what the test has done to it. */
  private static final class NodeProcess {
    private final String name;
    private final PausableNode daemon;
    private final FaultySystemCalls calls;
    private boolean isPaused;
    private boolean wasEverPaused;
    private boolean isEnding;
    private boolean isKilled;

    NodeProcess(String name, PausableNode daemon, FaultySystemCalls calls) {
      this.name = name;
      this.daemon = daemon;
      this.calls = calls;
    }
  }

  private final long seed;
  private final SplittableRandom random;
  private final Path folder;
  private final Path library;
  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = eventLoops.next();
  private final LoopbackTransport transport = LoopbackTransport.sockets(loop);
  private final EffectLog effectLog = new EffectLog();
  private final StandInOrigin origin;
  private final SoakDeployment deployment;
  private final List<StandInServer> servers = new ArrayList<>();
  private final List<ServerLink> links = new ArrayList<>();
  private final StandInDiscovery discovery = new StandInDiscovery(transport);
  private final StandInClients clients;
  private final MisbehavingClients misbehavingClients;
  private final List<NodeProcess> nodes = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<FaultKind, Integer> injectedFaults = new LinkedHashMap<>();
  private int startedNodes;
  private int nextDirectClientNumber;

  /** By how much discovery's clock, which stamps the servers' starts, is ahead of the machine's. */
  private volatile long listClockOffsetMillis;

  FaultSoak(long seed, int nodeCount, Path folder) throws Exception {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
    this.deployment = SoakDeployment.draw(seed);
    this.folder = folder;
    this.library = FaultySystemCalls.buildLibrary(folder);
    this.origin = new StandInOrigin(transport, seed, 16, 0.02);
    this.misbehavingClients = new MisbehavingClients(transport, seed);
    this.clients =
        new StandInClients(
            transport,
            effectLog,
            new Traffic(
                REQUESTS_PER_SECOND_PER_NODE * nodeCount,
                2000,
                1,
                deployment.classes(),
                ABANDONED_REQUESTS_FRACTION),
            MAX_LATENESS_MILLIS,
            MAX_CLIENT_CONNECTIONS,
            seed);
    for (int i = 0; i < SERVER_COUNT; i++) {
      startServer(i);
    }
    runOnLoop(
        () -> {
          servers.forEach(server -> discovery.put(listEntry(server, 0)));
        });
    discovery.start().sync();
    for (int i = 0; i < nodeCount; i++) {
      startNode();
    }
    for (NodeProcess node : List.copyOf(nodes)) {
      awaitReady(node);
    }
  }

  private void startServer(int index) throws Exception {
    ServerLink link = new ServerLink(deployment.latencyMillisOf(index), seed + index);
    links.add(link);
    ServerModel model = ServerModel.defaults();
    StandInServer server =
        new StandInServer(
            LoopbackTransport.sockets(loop, link),
            "s" + index,
            deployment.groupOf(index),
            model.withDedupWindow(deployment.repeatWindowSeconds()),
            origin,
            effectLog,
            servers,
            seed + index);
    server.start().sync();
  }

  private <T> T callOnLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get();
  }

  private void runOnLoop(Runnable task) throws Exception {
    loop.submit(task).get();
  }

  private StandInDiscovery.Member listEntry(StandInServer server, long startTimeMillis) {
    int index = servers.indexOf(server);
    return new StandInDiscovery.Member(
        server.id(),
        server.address(),
        deployment.zoneOf(index),
        deployment.cellOf(index),
        StandInDiscovery.State.ACTIVE,
        startTimeMillis);
  }

  private String config(int port, String serverList) {
    return """
        {"listen":"127.0.0.1:%d","discovery":"%s","seed":"%x",
         "limits":{"memory_mb":128,"sockets":%d},"known":%s,
         "settings":%s}
        """
        .formatted(
            port,
            discovery.address(),
            seed + port,
            MAX_DESCRIPTORS,
            serverList,
            deployment.settingsJson(Math.max(1, nodes.size())));
  }

  private NodeProcess startNode() throws Exception {
    String name = "n" + startedNodes++;
    String serverList = callOnLoop(discovery::listJson);
    FaultySystemCalls calls = new FaultySystemCalls(library, folder.resolve(name + ".control"));
    calls.setWallClockOffset(drawClockStep());
    PausableNode daemon =
        new PausableNode(folder, name, port -> config(port, serverList), calls.environment());
    NodeProcess node = new NodeProcess(name, daemon, calls);
    nodes.add(node);
    return node;
  }

  private void awaitReady(NodeProcess node) throws Exception {
    if (node.daemon.awaitListening()) {
      runOnLoop(() -> clients.addTarget(node.name, node.daemon.address()));
    } else {
      violations.add(node.name + " did not listen after its start");
    }
  }

  /** Injects faults while clients send requests, and returns all violations. */
  List<String> run(int durationSeconds) throws Exception {
    long durationMillis = TimeUnit.SECONDS.toMillis(durationSeconds);
    runOnLoop(
        () -> {
          clients.run(durationMillis);
        });
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
    while (System.nanoTime() - endNanos < 0) {
      TimeUnit.MILLISECONDS.sleep(50 + random.nextInt(400));
      injectFault(FaultKind.values()[random.nextInt(FaultKind.values().length)]);
    }
    clearFaults();
    TimeUnit.MILLISECONDS.sleep(
        deployment.longestDeadlineMillis()
            + MAX_RANDOM_FAULT_MILLIS
            + MAX_DELIVERY_NANOS / 1_000_000);
    endNodes();
    collectViolations();
    return violations;
  }

  private void schedule(long delayMillis, Runnable task) {
    loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  private void injectFault(FaultKind kind) throws Exception {
    injectedFaults.merge(kind, 1, Integer::sum);
    int durationMillis = 100 + random.nextInt(MAX_RANDOM_FAULT_MILLIS);
    StandInServer server = servers.get(random.nextInt(SERVER_COUNT));
    switch (kind) {
      case PAUSE_NODE -> pause(drawNode(), 30 + random.nextInt(420));
      case PAUSE_SERIES -> pauseInSeries(drawNode());
      case RESTART_NODE -> restart(drawNode());
      case KILL_NODE -> kill(drawNode());
      case RELOAD_NODE -> reload(drawNode());
      case SHORT_DESCRIPTORS -> exhaustDescriptors(drawNode());
      case PIPELINE_AFTER_ERROR -> runDirectCheck(drawNode(), DirectClient::pipelineAfterError);
      case REPEATED_REQUESTS -> runDirectCheck(drawNode(), DirectClient::repeatWithoutBackoff);
      case STEP_NODE_CLOCK -> stepClock(drawNode());
      case STEP_LIST_CLOCK -> listClockOffsetMillis = TimeUnit.SECONDS.toMillis(drawClockStep());
      case FAILING_CALLS -> failCalls(drawNode(), durationMillis);
      default ->
          runOnLoop(
              () -> {
                injectOnLoop(kind, server, durationMillis);
              });
    }
  }

  private void injectOnLoop(FaultKind kind, StandInServer server, int durationMillis) {
    switch (kind) {
      case KILL_SERVER -> killServer(server, durationMillis);
      case SILENT_SERVER -> {
        server.setUnresponsive(true);
        schedule(durationMillis, () -> server.setUnresponsive(false));
      }
      case FAULTY_SERVER -> {
        server.injectFault(
            ANSWER_FAULTS.get(random.nextInt(ANSWER_FAULTS.size())), random.nextDouble());
        schedule(durationMillis, server::clearFaults);
      }
      case REJECTING_SERVER -> {
        server.injectFault(Fault.BUSY, 0.05 + 0.4 * random.nextDouble());
        schedule(durationMillis, server::clearFaults);
      }
      case COPIED_REPLIES -> copyReplies(durationMillis);
      case RESET_CONNECTIONS -> server.closeConnections(random.nextDouble());
      case CLOSE_IDLE_CONNECTIONS -> servers.forEach(StandInServer::closeIdleConnections);
      case DISCOVERY_DOWN -> {
        discovery.stop();
        schedule(durationMillis, discovery::start);
      }
      case DISCOVERY_SILENT -> {
        discovery.setSilent(true);
        schedule(durationMillis, () -> discovery.setSilent(false));
      }
      case MUTE_WATCHES -> discovery.muteWatches();
      case SLOW_ORIGIN -> {
        origin.setSlowdown(10);
        schedule(durationMillis, () -> origin.setSlowdown(1));
      }
      case BAD_CLIENTS -> {
        NodeProcess node = drawNode();
        if (node != null && !node.isPaused) {
          misbehavingClients.connect(
              node.daemon.address(), deployment.hasCrowd() ? CROWD_CLIENT_COUNT : BAD_CLIENT_COUNT);
        }
      }
      case BURST -> {
        clients.setRateFactor(2);
        schedule(durationMillis, () -> clients.setRateFactor(1));
      }
      default -> throw new IllegalArgumentException(kind.name());
    }
  }

  /**
   * Copies replies of all servers, which reject some requests meanwhile. Other replies bear the id
   * of another request.
   */
  private void copyReplies(int durationMillis) {
    ServerLink.Copies copies = drawCopies();
    ServerLink.WrongIds wrongIds = drawWrongIds();
    links.forEach(link -> link.setCopies(copies));
    links.forEach(link -> link.setWrongIds(wrongIds));
    servers.forEach(server -> server.injectFault(Fault.BUSY, REJECTED_SHARE_WITH_COPIES));
    schedule(
        durationMillis,
        () -> {
          links.forEach(link -> link.setCopies(null));
          links.forEach(link -> link.setWrongIds(null));
          servers.forEach(StandInServer::clearFaults);
        });
  }

  private ServerLink.WrongIds drawWrongIds() {
    ServerLink.OtherId[] otherIds = ServerLink.OtherId.values();
    return new ServerLink.WrongIds(
        MAX_WRONG_ID_SHARE * random.nextDouble(),
        otherIds[random.nextInt(otherIds.length)],
        random.nextBoolean());
  }

  private ServerLink.Copies drawCopies() {
    return new ServerLink.Copies(
        COPIED_REPLIES[random.nextInt(COPIED_REPLIES.length)],
        0.3 + 0.7 * random.nextDouble(),
        2,
        MAX_COPY_DELAYS_MILLIS[random.nextInt(MAX_COPY_DELAYS_MILLIS.length)]);
  }

  private void killServer(StandInServer server, int downMillis) {
    if (server.isRunning()) {
      server.kill();
      schedule(
          downMillis,
          () -> {
            server.startCold();
            discovery.put(listEntry(server, System.currentTimeMillis() + listClockOffsetMillis));
          });
    }
  }

  /** Draws a process that accepts clients; returns null if fewer than three accept clients. */
  private NodeProcess drawNode() {
    List<NodeProcess> availableNodes =
        nodes.stream().filter(node -> !node.isEnding && !node.isKilled && !node.isPaused).toList();
    return availableNodes.size() < 3
        ? null
        : availableNodes.get(random.nextInt(availableNodes.size()));
  }

  private void pauseInSeries(NodeProcess node) throws Exception {
    int pauses = 2 + random.nextInt(3);
    for (int i = 0; i < pauses; i++) {
      pause(node, SERIAL_PAUSE_MILLIS);
      TimeUnit.MILLISECONDS.sleep(random.nextInt(100));
    }
  }

  private void pause(NodeProcess node, int pauseMillis) throws Exception {
    if (node == null) {
      return;
    }
    node.isPaused = true;
    node.wasEverPaused = true;
    runOnLoop(
        () -> {
          // The delivery of the signals may take 50 ms more.
          clients.recordPause(node.name, pauseMillis + 50);
          misbehavingClients.recordPause(pauseMillis + 50);
        });
    node.daemon.pauseFor(pauseMillis);
    node.isPaused = false;
  }

  private void restart(NodeProcess node) throws Exception {
    if (node == null) {
      return;
    }
    node.isEnding = true;
    node.daemon.terminate();
    schedule(CONNECTS_AFTER_SIGTERM_MILLIS, () -> clients.markRestarting(node.name));
    schedule(
        deployment.longestDeadlineMillis() + KILL_MARGIN_MILLIS,
        () -> node.daemon.process().destroyForcibly());
    awaitReady(startNode());
  }

  private void kill(NodeProcess node) throws Exception {
    if (node == null) {
      return;
    }
    node.isKilled = true;
    runOnLoop(
        () -> {
          clients.markKilled(node.name);
        });
    node.daemon.process().destroyForcibly();
    awaitReady(startNode());
  }

  private void reload(NodeProcess node) throws Exception {
    if (node != null) {
      String serverList = callOnLoop(discovery::listJson);
      node.daemon.replaceConfig(config(node.daemon.address().getPort(), serverList));
      node.daemon.sendReloadSignal();
    }
  }

  /** Keeps the node from opening more descriptors for 30 to 200 ms. */
  private void exhaustDescriptors(NodeProcess node) throws Exception {
    if (node == null) {
      return;
    }
    DescriptorLimit descriptorLimit = node.daemon.descriptorLimit();
    descriptorLimit.setSoftLimit(descriptorLimit.openDescriptors());
    TimeUnit.MILLISECONDS.sleep(30 + random.nextInt(170));
    descriptorLimit.setSoftLimit(MAX_DESCRIPTORS);
  }

  private long drawClockStep() {
    return CLOCK_STEPS_SECONDS[random.nextInt(CLOCK_STEPS_SECONDS.length)];
  }

  private void stepClock(NodeProcess node) {
    if (node != null) {
      node.calls.setWallClockOffset(drawClockStep());
    }
  }

  /**
   * Makes some of a node's system calls fail for a time, with errors that close no client
   * connection.
   */
  private void failCalls(NodeProcess node, int durationMillis) {
    if (node == null) {
      return;
    }
    FaultySystemCalls.Call call = FAILING_CALLS[random.nextInt(FAILING_CALLS.length)];
    Errno[] errors =
        switch (call) {
          case READ, WRITE -> HARMLESS_ERRORS;
          case ACCEPT -> ACCEPT_ERRORS;
          default -> CONNECT_ERRORS;
        };
    node.calls.addRule(call, errors[random.nextInt(errors.length)], 0, 2 + random.nextInt(6));
    schedule(durationMillis, node.calls::clearRules);
  }

  /** A check by a client, which returns a violation, or null if there is none. */
  private interface DirectCheck {
    String findViolation(DirectClient client) throws IOException;
  }

  private void runDirectCheck(NodeProcess node, DirectCheck check) throws IOException {
    if (node == null) {
      return;
    }
    String violation =
        check.findViolation(
            new DirectClient(node.daemon.address(), MAX_LATENESS_MILLIS, nextDirectClientNumber++));
    if (violation != null) {
      violations.add(node.name + ": " + violation);
    }
  }

  private void clearFaults() throws Exception {
    runOnLoop(
        () -> {
          clients.stop();
          servers.forEach(StandInServer::clearFaults);
          servers.forEach(server -> server.setUnresponsive(false));
          discovery.setSilent(false);
          links.forEach(link -> link.setCopies(null));
          links.forEach(link -> link.setWrongIds(null));
          nodes.forEach(node -> node.calls.clearRules());
        });
  }

  private void endNodes() throws Exception {
    for (NodeProcess node : nodes) {
      if (!node.isKilled && !node.isEnding) {
        Process process = node.daemon.process();
        if (!process.isAlive()) {
          violations.add(node.name + " ended unexpectedly with code " + process.exitValue());
        }
        node.daemon.terminate();
      }
    }
    for (NodeProcess node : nodes) {
      boolean hasEnded = node.daemon.awaitEnd(MAX_DRAIN_MILLIS);
      if (!hasEnded && !node.isKilled) {
        violations.add(node.name + " still runs after " + MAX_DRAIN_MILLIS + " ms of draining");
      }
    }
  }

  private void collectViolations() throws Exception {
    runOnLoop(
        () -> {
          if (clients.outstanding() > 0) {
            violations.add(clients.outstanding() + " requests were still in flight at the end");
          }
          clients.checkEffects(MAX_DELIVERY_NANOS);
          violations.addAll(clients.violations());
          violations.addAll(misbehavingClients.violations());
        });
    for (NodeProcess node : nodes) {
      for (String line : node.daemon.logLines()) {
        if (isViolation(node, line)) {
          violations.add(node.name + ": " + line);
        }
      }
    }
  }

  /** Whether a log line reports an exception, or a violation that no pause of the node explains. */
  private static boolean isViolation(NodeProcess node, String line) {
    if (line.startsWith("event=totals")) {
      return Stream.of(line.split(" "))
          .anyMatch(total -> reportsViolation(node, total, "violations."));
    }
    return reportsViolation(node, line, "event=violation kind=")
        || line.contains("Exception")
        || line.contains("Error:");
  }

  /**
   * Whether a text starts with the prefix, and the node's pauses don't explain the violation whose
   * kind follows the prefix.
   */
  private static boolean reportsViolation(NodeProcess node, String text, String prefix) {
    boolean isExcused =
        node.wasEverPaused
            && KINDS_EXCUSED_BY_PAUSES.stream().anyMatch(kind -> text.startsWith(prefix + kind));
    return text.startsWith(prefix) && !isExcused;
  }

  /** Returns the counts of requests and of injected faults in one line. */
  String summary() throws Exception {
    return callOnLoop(
        () ->
            ("seed %d: %s, %d processes, %d requests, %d served, %d rejected, %d failed,"
                    + " %d sent again after a close, %s")
                .formatted(
                    seed,
                    deployment,
                    startedNodes,
                    clients.requests(),
                    clients.servedRequests(),
                    clients.refusedRequests(),
                    clients.failedRequests(),
                    clients.closeRaces(),
                    injectedFaults));
  }

  @Override
  public void close() {
    for (NodeProcess node : nodes) {
      node.daemon.close();
    }
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
