package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shalepaddle.testkit.EffectLog;
import shalepaddle.testkit.Fault;
import shalepaddle.testkit.LoopbackTransport;
import shalepaddle.testkit.ServerLink;
import shalepaddle.testkit.ServerModel;
import shalepaddle.testkit.StandInClients;
import shalepaddle.testkit.StandInDiscovery;
import shalepaddle.testkit.StandInOrigin;
import shalepaddle.testkit.StandInServer;
import shalepaddle.testkit.Traffic;

/** A second copy of a server's reply must not be taken for the answer to a later request. */
@Timeout(90)
class RepeatedReplyIT {
  private static final int SERVER_COUNT = 4;
  private static final int FAR_SERVER_COUNT = 2;
  private static final int FAR_LATENCY_MILLIS = 15;
  private static final double REJECTED_SHARE = 1.0 / 12;
  private static final double WRONG_ID_SHARE = 0.15;
  private static final double REJECTED_SHARE_WITH_WRONG_IDS = 0.25;
  private static final int REQUESTS_PER_SECOND = 320;
  private static final int RUN_MILLIS = 6000;
  private static final int DEADLINE_MILLIS = 1000;
  private static final int DEDUP_WINDOW_SECONDS = 5;
  private static final int MAX_CLIENT_CONNECTIONS = 300;
  private static final long MAX_LATENESS_MILLIS = 250;
  private static final long MAX_DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long SEED = 59;

  @TempDir private Path folder;
  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = eventLoops.next();
  private final LoopbackTransport transport = LoopbackTransport.sockets(loop);
  private final ServerLink farLink = new ServerLink(FAR_LATENCY_MILLIS, SEED);
  private final LoopbackTransport farTransport = LoopbackTransport.sockets(loop, farLink);
  private final EffectLog effectLog = new EffectLog();
  private final List<StandInServer> servers = new ArrayList<>();
  private final StandInDiscovery discovery = new StandInDiscovery(transport);
  private PausableNode node;

  @BeforeEach
  void startServers() throws Exception {
    StandInOrigin origin = new StandInOrigin(transport, SEED, 64, 0.02);
    for (int i = 0; i < SERVER_COUNT; i++) {
      servers.add(
          new StandInServer(
              i < FAR_SERVER_COUNT ? farTransport : transport,
              "s" + i,
              "cell" + i,
              ServerModel.defaults(),
              origin,
              effectLog,
              new ArrayList<>(),
              SEED + i));
      servers.get(i).start().sync();
    }
    runOnLoop(
        () -> {
          for (int i = 0; i < SERVER_COUNT; i++) {
            discovery.put(
                new StandInDiscovery.Member(
                    "s" + i, servers.get(i).address(), "a", i, StandInDiscovery.State.ACTIVE, 0));
            servers.get(i).injectFault(Fault.BUSY, i < FAR_SERVER_COUNT ? REJECTED_SHARE : 0);
          }
        });
    discovery.start().sync();
  }

  @AfterEach
  void stop() {
    node.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void runOnLoop(Runnable task) throws Exception {
    loop.submit(task).get();
  }

  private void startNode(boolean allowsParallelAttempts) throws Exception {
    String serverList = loop.submit(discovery::listJson).get();
    node =
        new PausableNode(
            folder,
            "node",
            port ->
                """
                {"listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"memory_mb":192,"sockets":1024},"known":%s,
                 "settings":{"instances":1,"discovery":"push",
                  "caps":{"attempts-cap":6,"cancel":true,"parallel-tries":%b,"multiplex":32,
                          "connect-timeout":0.15,"conn-idle":60},
                  "contract":{"ask-within":10,"drain-grace":2,"cold-from":0.1,"warm-within":1},
                  "services":[
                    {"name":"read","effect":"retryable","slo":0.5,"give-up":1},
                    {"name":"put","effect":"fragile","slo":0.5,"give-up":1},
                    {"name":"keyed","effect":"dedup","group":"cell","repeat-window":%d,
                     "slo":0.5,"give-up":1}]}}
                """
                    .formatted(
                        port,
                        discovery.address(),
                        serverList,
                        allowsParallelAttempts,
                        DEDUP_WINDOW_SECONDS));
    assertTrue(node.awaitListening(), "the node does not listen");
  }

  private void sendWrongIds(ServerLink.OtherId otherId, boolean endsReplies) throws Exception {
    farLink.setWrongIds(new ServerLink.WrongIds(WRONG_ID_SHARE, otherId, endsReplies));
    runOnLoop(
        () -> {
          for (StandInServer server : servers.subList(0, FAR_SERVER_COUNT)) {
            server.injectFault(Fault.BUSY, REJECTED_SHARE_WITH_WRONG_IDS);
          }
        });
  }

  private StandInClients runClients(Traffic.RequestClass... classes) throws Exception {
    StandInClients clients =
        new StandInClients(
            transport,
            effectLog,
            new Traffic(REQUESTS_PER_SECOND, 500, 1, List.of(classes), 0),
            MAX_LATENESS_MILLIS,
            MAX_CLIENT_CONNECTIONS,
            SEED);
    runOnLoop(() -> clients.addTarget("node", node.address()));
    runOnLoop(() -> clients.run(RUN_MILLIS));
    TimeUnit.MILLISECONDS.sleep(RUN_MILLIS + DEADLINE_MILLIS + MAX_LATENESS_MILLIS);
    runOnLoop(() -> clients.checkEffects(MAX_DELIVERY_NANOS));
    System.out.printf(
        "%d requests, %d served, %d rejected, %d failed, %d copies, %d rejections by servers,"
            + " %d connections to far servers%n",
        clients.requests(),
        clients.servedRequests(),
        clients.refusedRequests(),
        clients.failedRequests(),
        farLink.sentCopies(),
        rejections(),
        farLink.acceptedConnections());
    return clients;
  }

  private int rejections() {
    return servers.stream().mapToInt(StandInServer::rejected).sum();
  }

  private static Traffic.RequestClass writes(String name, double share) {
    return new Traffic.RequestClass(name, share, true, name.equals("keyed"), DEADLINE_MILLIS, 16);
  }

  private static Traffic.RequestClass reads(double share) {
    return new Traffic.RequestClass("read", share, false, false, DEADLINE_MILLIS, 0);
  }

  @ParameterizedTest
  @CsvSource({"put, 2, 12", "put, 100, 400", "keyed, 2, 12", "keyed, 100, 400"})
  void writeIsNotRepeatedAfterCopyOfEarlierRejection(
      String writeClass, int minDelayMillis, int maxDelayMillis) throws Exception {
    startNode(true);
    farLink.setCopies(
        new ServerLink.Copies("SERVER_ERROR busy", 1, minDelayMillis, maxDelayMillis));
    StandInClients clients = runClients(writes(writeClass, 1));
    assertEquals(List.of(), clients.violations());
    assertTrue(farLink.sentCopies() > 50, "copies: " + farLink.sentCopies());
  }

  /** A copied rejection, then an answer with another request's id, must prove nothing. */
  @ParameterizedTest
  @CsvSource({
    "put, 2, 12, NEXT, true",
    "put, 100, 400, NEXT, false",
    "put, 2, 12, PREVIOUS, false",
    "keyed, 2, 12, NEXT, true"
  })
  void writeIsNotRepeatedAfterCopyAndWrongId(
      String writeClass,
      int minDelayMillis,
      int maxDelayMillis,
      ServerLink.OtherId otherId,
      boolean endsReplies)
      throws Exception {
    startNode(true);
    farLink.setCopies(
        new ServerLink.Copies("SERVER_ERROR busy", 1, minDelayMillis, maxDelayMillis));
    sendWrongIds(otherId, endsReplies);
    StandInClients clients = runClients(writes(writeClass, 0.8), reads(0.2));
    assertEquals(List.of(), clients.violations());
    assertTrue(farLink.sentWrongIds() > 20, "wrong ids: " + farLink.sentWrongIds());
  }

  /** A value that bears another read's id, after a copied rejection, must not serve that read. */
  @ParameterizedTest
  @CsvSource({"NEXT, true", "NEXT, false"})
  void readIsServedWithItsOwnValueAfterCopyAndWrongId(
      ServerLink.OtherId otherId, boolean endsReplies) throws Exception {
    startNode(true);
    farLink.setCopies(new ServerLink.Copies("SERVER_ERROR busy", 1, 2, 12));
    sendWrongIds(otherId, endsReplies);
    StandInClients clients = runClients(reads(1));
    assertEquals(List.of(), clients.violations());
    assertTrue(farLink.sentWrongIds() > 20, "wrong ids: " + farLink.sentWrongIds());
  }

  @Test
  void readIsInFlightOnceAfterCopyOfEarlierRejection() throws Exception {
    startNode(false);
    farLink.setCopies(new ServerLink.Copies("SERVER_ERROR busy", 1, 2, 12));
    StandInClients clients = runClients(reads(1));
    List<String> violations = new ArrayList<>(clients.violations());
    for (String id : clients.endedRequestIds()) {
      if (effectLog.entryOf(id).maxInFlight() > 1) {
        violations.add(id + " was in flight twice");
      }
    }
    assertEquals(List.of(), violations);
  }

  /** Without copies a rejection costs a retry, and no connection for each. */
  @Test
  void nearlyAllWritesAreServedWhenServersRejectOnce() throws Exception {
    startNode(true);
    StandInClients clients = runClients(writes("put", 1));
    assertEquals(List.of(), clients.violations());
    assertTrue(
        clients.servedRequests() >= 0.98 * clients.requests(),
        clients.servedRequests() + " of " + clients.requests() + " served");
    assertTrue(
        farLink.acceptedConnections() < rejections() / 2,
        farLink.acceptedConnections() + " connections for " + rejections() + " rejections");
  }
}
