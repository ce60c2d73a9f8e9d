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
 * A real node between stand-ins, all on loopback sockets of this process: cache servers in two
 * zones with their origin and discovery on one event loop, clients on another.
 */
final class Embedded implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 200;
  private static final int GRACE_MILLIS = 250;
  private static final long SEED = 20;

  private final MultiThreadIoEventLoopGroup groups =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final LoopbackTransport servers = LoopbackTransport.sockets(groups.next());
  private final LoopbackTransport callers = LoopbackTransport.sockets(groups.next());
  private final EffectLog ledger = new EffectLog();
  private final List<StandInServer> fleet = new ArrayList<>();
  private final StandInOrigin origin = new StandInOrigin(servers, SEED, 16, 0.03);
  private final StandInDiscovery discovery = new StandInDiscovery(servers);
  private final StandInClients clients;
  private final Node node;

  /** What can be read off it at one moment. */
  record Sample(
      int asked,
      int served,
      int refused,
      int failed,
      int unsent,
      int hits,
      int misses,
      int fetches,
      Histogram latencies,
      List<Load> servers) {}

  /** One server's part of a sample. */
  record Load(String id, String state, int inFlight, int served) {}

  /** Starts everything; a port of 0 is any that is free. */
  Embedded(int size, Traffic traffic, int port)
      throws IOException, FormatException, InterruptedException, ExecutionException {
    ServerModel model = ServerModel.usual().working(4, 0.005).cold(0.12, 10, 3, 2);
    try {
      on(
          servers,
          () -> {
            for (int i = 0; i < size; i++) {
              fleet(model, "s" + i);
            }
            return null;
          });
      for (StandInServer server : List.copyOf(fleet)) {
        server.start().sync();
      }
      on(
          servers,
          () -> {
            fleet.forEach(server -> list(server, StandInDiscovery.State.ACTIVE, 0));
            return null;
          });
      discovery.start().sync();
      String list = on(servers, discovery::list);
      node =
          new Node(NodeConfig.parse(JsonObject.parse(config(port, list))), OperatorFile.DEFAULTS);
      InetSocketAddress address = node.start();
      clients = new StandInClients(callers, ledger, traffic, GRACE_MILLIS, MAX_CONNECTIONS, SEED);
      on(
          callers,
          () -> {
            clients.add("node", address);
            return null;
          });
    } catch (IOException | FormatException | RuntimeException e) {
      groups.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      throw e;
    }
  }

  private StandInServer fleet(ServerModel model, String id) {
    String zone = fleet.size() % 2 == 0 ? "a" : "b";
    return new StandInServer(servers, id, zone, model, origin, ledger, fleet, SEED + fleet.size());
  }

  private void list(StandInServer server, StandInDiscovery.State state, long startedMillis) {
    discovery.put(
        new StandInDiscovery.Member(
            server.id(), server.address(), server.group(), 0, state, startedMillis));
  }

  private String config(int port, String list) {
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
        .formatted(port, discovery.address(), list);
  }

  private static <T> T on(LoopbackTransport wire, Callable<T> step)
      throws InterruptedException, ExecutionException {
    EventLoop loop = wire.loop();
    return loop.submit(step).get();
  }

  /** Begins to ask, for so long. */
  void run(long millis) {
    callers.loop().execute(() -> clients.run(millis));
  }

  /** Asks no more. */
  void stop() {
    callers.loop().execute(clients::stop);
  }

  /** Kills a server after so long; it comes back cold 3 s later. */
  void kill(int which, long afterMillis) {
    later(
        afterMillis,
        () -> {
          StandInServer server = fleet.get(which % fleet.size());
          server.kill();
          later(
              3000,
              () ->
                  server
                      .startCold()
                      .addListener(
                          done ->
                              list(
                                  server,
                                  StandInDiscovery.State.ACTIVE,
                                  System.currentTimeMillis())));
        });
  }

  /** Drains a server after so long; it leaves 4 s later. */
  void drain(int which, long afterMillis) {
    later(
        afterMillis,
        () -> {
          StandInServer server = fleet.get(which % fleet.size());
          list(server, StandInDiscovery.State.LEAVING, 0);
          later(2500, server::drain);
          later(
              4000,
              () -> {
                server.kill();
                list(server, StandInDiscovery.State.LEFT, 0);
              });
        });
  }

  /** Slows the origin down after so long, for so long. */
  void slowOrigin(double times, long afterMillis, long millis) {
    later(afterMillis, () -> origin.slowness(times));
    later(afterMillis + millis, () -> origin.slowness(1));
  }

  private void later(long millis, Runnable step) {
    servers.loop().schedule(step, millis, TimeUnit.MILLISECONDS);
  }

  /** How everything stands now. */
  Sample sample() throws InterruptedException, ExecutionException {
    List<Load> loads =
        on(
            servers,
            () ->
                fleet.stream()
                    .map(s -> new Load(s.id(), state(s), s.inFlight(), s.served()))
                    .toList());
    int hits = on(servers, () -> fleet.stream().mapToInt(StandInServer::hits).sum());
    int misses = on(servers, () -> fleet.stream().mapToInt(StandInServer::misses).sum());
    int fetches = on(servers, origin::fetches);
    return on(
        callers,
        () ->
            new Sample(
                clients.asked(),
                clients.served(),
                clients.refused(),
                clients.failed(),
                clients.unsent(),
                hits,
                misses,
                fetches,
                clients.latencies().copy(),
                loads));
  }

  private String state(StandInServer server) {
    return !server.running()
        ? "down"
        : discovery.member(server.id()).state() == StandInDiscovery.State.ACTIVE ? "up" : "leaving";
  }

  /** Requests under way. */
  int open() throws InterruptedException, ExecutionException {
    return on(callers, clients::open);
  }

  /** What broke a rule, once nothing is under way. */
  List<String> breaches() throws InterruptedException, ExecutionException {
    // The servers' loop has written the ledger: what it did is seen from here on.
    boolean fallen = on(servers, () -> fleet.stream().anyMatch(StandInServer::fallen));
    List<String> breaches = new ArrayList<>();
    if (fallen) {
      breaches.add("a server was pushed over when it was cold");
    }
    breaches.addAll(
        on(
            callers,
            () -> {
              clients.check(TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS));
              return List.copyOf(clients.breaches());
            }));
    return breaches;
  }

  @Override
  public void close() {
    callers.loop().execute(clients::close);
    node.close();
    groups.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
