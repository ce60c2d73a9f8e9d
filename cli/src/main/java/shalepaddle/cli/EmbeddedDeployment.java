package shalepaddle.cli;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import shalepaddle.config.NodeConfig;
import shalepaddle.config.OperatorFile;
import shalepaddle.node.Node;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;
import shalepaddle.testkit.EffectLog;
import shalepaddle.testkit.LoopbackTransport;
import shalepaddle.testkit.ServerModel;
import shalepaddle.testkit.StandInClients;
import shalepaddle.testkit.StandInDiscovery;
import shalepaddle.testkit.StandInOrigin;
import shalepaddle.testkit.StandInServer;
import shalepaddle.testkit.Traffic;

/**
 * A real node and stand-ins for its environment, connected by loopback sockets of this process:
 * cache servers in two zones, their origin and discovery run on one event loop, clients on another.
 */
final class EmbeddedDeployment implements AutoCloseable {
  private static final int MAX_CLIENT_CONNECTIONS = 200;

  /**
   * How long after its deadline an answer may still reach its client, and how long after an answer
   * a command that was sent before it may still reach a server.
   */
  private static final int MAX_LATENESS_MILLIS = 250;

  private static final long SEED = 20;

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final LoopbackTransport serverTransport = LoopbackTransport.sockets(eventLoops.next());
  private final LoopbackTransport clientTransport = LoopbackTransport.sockets(eventLoops.next());
  private final EffectLog effectLog = new EffectLog();
  private final List<StandInServer> fleet = new ArrayList<>();
  private final StandInOrigin origin = new StandInOrigin(serverTransport, SEED, 16, 0.03);
  private final StandInDiscovery discovery = new StandInDiscovery(serverTransport);
  private final StandInClients clients;
  private final Node node;

  /**
   * Counts since the start and the servers' state at one moment.
   *
   * @param requests requests that were due
   * @param servedRequests requests that were served successfully
   * @param refusedRequests requests that were refused
   * @param failedRequests requests that failed
   * @param withoutConnection requests for which there was no connection
   * @param cacheHits reads that the servers answered from their caches
   * @param cacheMisses reads that the servers could not answer from their caches
   * @param originFetches fetches from the origin
   * @param latencies times to the answer in microseconds
   * @param servers the state of each server
   */
  record Sample(
      int requests,
      int servedRequests,
      int refusedRequests,
      int failedRequests,
      int withoutConnection,
      int cacheHits,
      int cacheMisses,
      int originFetches,
      Histogram latencies,
      List<ServerSample> servers) {}

  /** State of one server and its numbers of requests in flight and of served requests. */
  record ServerSample(String id, String state, int requestsInFlight, int servedRequests) {}

  /**
   * Starts the stand-ins and the node.
   *
   * @param serverCount number of cache servers
   * @param port on which the node listens; 0 for any free one
   */
  EmbeddedDeployment(int serverCount, Traffic traffic, int port)
      throws IOException, FormatException, InterruptedException, ExecutionException {
    ServerModel model = ServerModel.defaults().withWorkers(4, 0.005).withColdStart(0.12, 10, 3, 2);
    try {
      onLoop(
          serverTransport,
          () -> {
            for (int i = 0; i < serverCount; i++) {
              createServer(model, "s" + i);
            }
            return null;
          });
      for (StandInServer server : List.copyOf(fleet)) {
        server.start().sync();
      }
      onLoop(
          serverTransport,
          () -> {
            fleet.forEach(server -> publishState(server, StandInDiscovery.State.ACTIVE, 0));
            return null;
          });
      discovery.start().sync();
      String serverList = onLoop(serverTransport, discovery::listJson);
      node =
          new Node(
              NodeConfig.parse(JsonObject.parse(config(port, serverList))), OperatorFile.DEFAULTS);
      InetSocketAddress address = node.start();
      clients =
          new StandInClients(
              clientTransport,
              effectLog,
              traffic,
              MAX_LATENESS_MILLIS,
              MAX_CLIENT_CONNECTIONS,
              SEED);
      onLoop(
          clientTransport,
          () -> {
            clients.addTarget("node", address);
            return null;
          });
    } catch (IOException | FormatException | RuntimeException e) {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      throw e;
    }
  }

  /** Creates a server, which adds itself to the fleet. */
  private StandInServer createServer(ServerModel model, String id) {
    String zone = fleet.size() % 2 == 0 ? "a" : "b";
    return new StandInServer(
        serverTransport, id, zone, model, origin, effectLog, fleet, SEED + fleet.size());
  }

  /** Replaces the state and start time of a server in discovery's list. */
  private void publishState(
      StandInServer server, StandInDiscovery.State state, long startTimeMillis) {
    discovery.put(
        new StandInDiscovery.Member(
            server.id(), server.address(), server.group(), 0, state, startTimeMillis));
  }

  private String config(int port, String serverList) {
    return """
        {"listen":"127.0.0.1:%d","discovery":"%s","seed":"14",
         "limits":{"memory_mb":192,"sockets":1024},"known":%s,
         "settings":{"instances":1,"discovery":"push","zone":"a","azs":["a","b"],
          "caps":{"attempts-cap":3,"cancel":true,"parallel-tries":true,"multiplex":8,
                  "connect-timeout":0.15,"conn-idle":30,"retry-after":true,"max-retry-after":1},
          "contract":{"grace-to-answer":0.05,"ask-within":10,"drain-grace":2,"cold-from":0.12,
                      "warm-within":10,"overload-factor":3,"overload-for":2},
          "services":[
           {"name":"read","effect":"retryable","slo":0.75,"give-up":2,"credit":2,"late-share":0.3},
           {"name":"put","effect":"fragile","slo":0.3,"give-up":1,"credit":5,"late-share":0.3}]}}
        """
        .formatted(port, discovery.address(), serverList);
  }

  /** Runs a task on the event loop of a transport and returns its result. */
  private static <T> T onLoop(LoopbackTransport transport, Callable<T> task)
      throws InterruptedException, ExecutionException {
    EventLoop loop = transport.loop();
    return loop.submit(task).get();
  }

  /** Lets the clients send requests for the given duration. */
  void startLoad(long durationMillis) {
    clientTransport.loop().execute(() -> clients.run(durationMillis));
  }

  /** Stops sending requests; those in flight continue. */
  void stopLoad() {
    clientTransport.loop().execute(clients::stop);
  }

  /** Kills a server after a delay; the server restarts with a cold cache 3 s later. */
  void killServer(int serverIndex, long afterMillis) {
    schedule(
        afterMillis,
        () -> {
          StandInServer server = fleet.get(serverIndex % fleet.size());
          server.kill();
          schedule(
              3000,
              () ->
                  server
                      .startCold()
                      .addListener(
                          done ->
                              publishState(
                                  server,
                                  StandInDiscovery.State.ACTIVE,
                                  System.currentTimeMillis())));
        });
  }

  /** Starts draining a server after a delay; the server shuts down 4 s later. */
  void drainServer(int serverIndex, long afterMillis) {
    schedule(
        afterMillis,
        () -> {
          StandInServer server = fleet.get(serverIndex % fleet.size());
          publishState(server, StandInDiscovery.State.LEAVING, 0);
          schedule(2500, server::drain);
          schedule(
              4000,
              () -> {
                server.kill();
                publishState(server, StandInDiscovery.State.LEFT, 0);
              });
        });
  }

  /**
   * Slows the origin down temporarily.
   *
   * @param slowdownFactor how many times as long each fetch takes
   * @param afterMillis delay until the origin becomes slow
   * @param durationMillis how long the origin stays slow
   */
  void slowOrigin(double slowdownFactor, long afterMillis, long durationMillis) {
    schedule(afterMillis, () -> origin.setSlowdown(slowdownFactor));
    schedule(afterMillis + durationMillis, () -> origin.setSlowdown(1));
  }

  private void schedule(long delayMillis, Runnable task) {
    serverTransport.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Returns the current counts and the state of each server. */
  Sample takeSample() throws InterruptedException, ExecutionException {
    List<ServerSample> serverSamples =
        onLoop(
            serverTransport,
            () ->
                fleet.stream()
                    .map(
                        s ->
                            new ServerSample(
                                s.id(), displayedState(s), s.inFlight(), s.servedRequests()))
                    .toList());
    int hits =
        onLoop(serverTransport, () -> fleet.stream().mapToInt(StandInServer::cacheHits).sum());
    int misses =
        onLoop(serverTransport, () -> fleet.stream().mapToInt(StandInServer::cacheMisses).sum());
    int originFetches = onLoop(serverTransport, origin::fetches);
    return onLoop(
        clientTransport,
        () ->
            new Sample(
                clients.requests(),
                clients.servedRequests(),
                clients.refusedRequests(),
                clients.failedRequests(),
                clients.unsentRequests(),
                hits,
                misses,
                originFetches,
                clients.latencyMicros().copy(),
                serverSamples));
  }

  /** Returns a server's state as it is printed: up, leaving or down. */
  private String displayedState(StandInServer server) {
    return !server.isRunning()
        ? "down"
        : discovery.member(server.id()).state() == StandInDiscovery.State.ACTIVE ? "up" : "leaving";
  }

  /** Returns the number of requests in flight. */
  int requestsInFlight() throws InterruptedException, ExecutionException {
    return onLoop(clientTransport, clients::outstanding);
  }

  /**
   * Returns all violations found: late, missing or wrong answers, writes executed more than once,
   * commands that reached a server after their request's end, and overloaded cold servers. Call
   * this method when no request is in flight.
   */
  List<String> violations() throws InterruptedException, ExecutionException {
    // The servers record executed requests in the effect log on their event loop. Waiting for a
    // task there makes these records visible to the check, which runs on the clients' event loop.
    boolean hasServerCollapsed =
        onLoop(serverTransport, () -> fleet.stream().anyMatch(StandInServer::collapsed));
    List<String> violations = new ArrayList<>();
    if (hasServerCollapsed) {
      violations.add("a cold server received more load than it can survive");
    }
    violations.addAll(
        onLoop(
            clientTransport,
            () -> {
              clients.checkEffects(TimeUnit.MILLISECONDS.toNanos(MAX_LATENESS_MILLIS));
              return List.copyOf(clients.violations());
            }));
    return violations;
  }

  @Override
  public void close() {
    clientTransport.loop().execute(clients::close);
    node.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
