package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import shalepaddle.testkit.ScriptedPeer;

/**
 * Guards against requests that are lost when a node ends. Each request that comes between the
 * signal to end and the time at which the process may be killed is answered, or its connection
 * ends, which shows the client that the node never read the request.
 */
@Timeout(30)
class DrainTest {
  /**
   * Setting of the service classes. The platform may kill the process 0.7 s after the longest
   * deadline of them.
   */
  private static final String SERVICES_SETTING = ",\"services\":[%s,%s]";

  private static String servicesSetting(double longestDeadlineSeconds) {
    return SERVICES_SETTING.formatted(
        "{\"name\":\"read\",\"effect\":\"retryable\",\"slo\":0.05,\"give-up\":"
            + longestDeadlineSeconds
            + "}",
        "{\"name\":\"put\",\"effect\":\"fragile\",\"slo\":0.05,\"give-up\":"
            + longestDeadlineSeconds
            + "}");
  }

  private NodeFixture rig;
  private Thread drainThread;

  @AfterEach
  void awaitDrainAndClose() throws Exception {
    if (drainThread != null) {
      drainThread.join(ScriptedPeer.TIMEOUT_MILLIS);
      assertFalse(drainThread.isAlive());
    }
    rig.close();
  }

  private long startDrain() {
    drainThread = new Thread(rig.node::drain);
    long startedAtNanos = System.nanoTime();
    drainThread.start();
    return startedAtNanos;
  }

  private static long millisSince(long startedAtNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
  }

  /** Answers each request after 3 ms; returns a set to which arriving request ids are added. */
  private Set<String> serveAll() throws IOException {
    Set<String> arrivedIds = ConcurrentHashMap.newKeySet();
    ScriptedPeer cache = rig.acceptCache();
    Thread serverThread =
        new Thread(
            () -> {
              try {
                for (String line = cache.readLine(); line != null; line = cache.readLine()) {
                  String id = line.replaceAll(".* O(\\S+) .*", "$1");
                  arrivedIds.add(id);
                  Thread.sleep(3);
                  cache.write("VA 1 O" + id + "\r\nx\r\n");
                }
              } catch (IOException | InterruptedException e) {
                // The node has closed the connection.
              }
            });
    serverThread.setDaemon(true);
    serverThread.start();
    return arrivedIds;
  }

  @Test
  void closesConnectionsOfBusyClientWithoutLosingRequests() throws Exception {
    rig = new NodeFixture(",\"instances\":28" + servicesSetting(0.3));
    ScriptedPeer client = rig.connectClient().write(NodeFixture.readCommand("r0", 300));
    Set<String> arrivedIds = serveAll();
    Set<String> answeredIds = ConcurrentHashMap.newKeySet();
    long startedAtNanos = startDrain();
    int nextId = sendUntilConnectionEnds(client, 1, answeredIds);
    long firstEndMillis = millisSince(startedAtNanos);
    while (millisSince(startedAtNanos) < 5000) {
      try {
        client = rig.connectClient().write(NodeFixture.readCommand("r" + nextId++, 300));
      } catch (IOException e) {
        break;
      }
      nextId = sendUntilConnectionEnds(client, nextId, answeredIds);
    }
    assertTrue(firstEndMillis < 600, "the first connection ended after " + firstEndMillis + " ms");
    assertTrue(
        millisSince(startedAtNanos) < 1000,
        "the last connection ended after " + millisSince(startedAtNanos) + " ms");
    arrivedIds.removeAll(answeredIds);
    assertEquals(Set.of(), arrivedIds, "ids of requests that were forwarded, but not answered");
    assertTrue(nextId > 50, "sent " + nextId + " requests");
  }

  /** Sends each request before the answer to the one before it is read; returns the next id. */
  private static int sendUntilConnectionEnds(
      ScriptedPeer client, int firstId, Set<String> answeredIds) throws IOException {
    int nextId = firstId;
    for (String line = ""; line != null; ) {
      try {
        client.write(NodeFixture.readCommand("r" + nextId++, 300));
      } catch (IOException e) {
        // The connection is closed; responses that were sent before that can still be read.
      }
      line = client.readLine();
      if (line != null && line.startsWith("VA")) {
        answeredIds.add(line.substring("VA 1 O".length()));
        client.readLine();
      } else if (line != null) {
        // A rejection answers the oldest open request.
        assertEquals("SERVER_ERROR busy", line.substring(0, "SERVER_ERROR busy".length()));
      }
    }
    client.close();
    return nextId;
  }

  @Test
  void closesSilentClientBeforeProcessMayBeKilled() throws Exception {
    rig = new NodeFixture(servicesSetting(0.1));
    ScriptedPeer earlyClient = rig.connectClient();
    ScriptedPeer incompleteClient = rig.connectClient().write("mg ke");
    rig.awaitLoopTurns();
    long startedAtNanos = startDrain();
    ScriptedPeer lateClient = rig.connectClient();
    assertTrue(lateClient.closedByPeer());
    assertTrue(incompleteClient.closedByPeer());
    assertTrue(earlyClient.closedByPeer());
    assertTrue(
        millisSince(startedAtNanos) < 790,
        "the client connection was closed after " + millisSince(startedAtNanos) + " ms");
    earlyClient.close();
    incompleteClient.close();
    lateClient.close();
  }

  @Test
  void closesIdleClientOnHandOverBeforeProcessMayBeKilled() throws Exception {
    rig = new NodeFixture(servicesSetting(0.1));
    ScriptedPeer client = rig.connectClient().write(NodeFixture.readCommand("a1", 5000));
    serveAll();
    assertEquals("VA 1 Oa1", client.readLine());
    client.readLine();
    CountDownLatch handOverEnded = new CountDownLatch(1);
    long startedAtNanos = System.nanoTime();
    long requestedNanos = rig.node.loop().ticker().nanoTime();
    rig.node
        .loop()
        .execute(() -> rig.node.balancer().handOver(requestedNanos, handOverEnded::countDown));
    assertTrue(client.closedByPeer());
    assertTrue(
        millisSince(startedAtNanos) < 790,
        "the client connection was closed after " + millisSince(startedAtNanos) + " ms");
    client.close();
    assertTrue(handOverEnded.await(ScriptedPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
  }

  /** Guards against attempts for clients that have left while nothing more is read. */
  @Test
  void sendsNothingForClientThatLeavesAfterReadingHasStopped() throws Exception {
    rig = new NodeFixture(servicesSetting(2));
    ScriptedPeer client = rig.connectClient().write(NodeFixture.readCommand("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    long startedAtNanos = startDrain();
    rig.awaitClosedListener();
    Thread.sleep(150);
    client.close();
    assertTrue(cache.closedByPeer());
    drainThread.join(ScriptedPeer.TIMEOUT_MILLIS);
    assertTrue(
        millisSince(startedAtNanos) < 1500,
        "the client's close was found after " + millisSince(startedAtNanos) + " ms");
  }

  @Test
  void acceptsConnectionsOfStallBeforeListenerCloses() throws Exception {
    rig = new NodeFixture();
    ScriptedPeer[] lateClients = new ScriptedPeer[20];
    startDrain();
    rig.stallLoopWhile(
        600,
        () -> {
          for (int i = 0; i < lateClients.length; i++) {
            lateClients[i] = rig.connectClient().write("mn\r\n");
          }
        });
    for (ScriptedPeer client : lateClients) {
      assertEquals("MN", client.readLine());
      client.close();
    }
  }
}
