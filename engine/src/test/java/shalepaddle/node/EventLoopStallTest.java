package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.testkit.ScriptedPeer;

/**
 * Tests how a node handles events that arrive during a stall of its event loop. A task blocks the
 * loop while the kernel still receives for it, so that the test sets the order of events in the
 * stall.
 */
class EventLoopStallTest {
  private NodeFixture rig;

  @BeforeEach
  void start() throws Exception {
    rig = new NodeFixture();
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  /** Serves one read, after which the client's connection is idle. */
  private ScriptedPeer serveFirstRead(ScriptedPeer client, String id) throws Exception {
    client.write(NodeFixture.readCommand(id, 2000));
    ScriptedPeer cache = rig.acceptCache();
    serve(cache, id);
    assertEquals("VA 1 O" + id, client.readLine());
    assertEquals("x", client.readLine());
    return cache;
  }

  private static void serve(ScriptedPeer cache, String id) throws Exception {
    String line = cache.readLine();
    assertTrue(line != null && line.contains("O" + id + " "), line);
    cache.write("VA 1 O" + id + "\r\nx\r\n");
  }

  @Test
  void answersRequestThatArrivedInStallOnIdleConnection() throws Exception {
    ScriptedPeer client = rig.connectClient();
    ScriptedPeer cache = serveFirstRead(client, "a1");
    // When the loop runs again, the connection has been idle for more than 4 s of real time, after
    // which the node closes idle connections.
    rig.stallLoopWhile(
        () -> {
          Thread.sleep(4300);
          // The deadline must be long enough even if the request was sent as the stall began,
          // which is what the node has to assume.
          client.write(NodeFixture.readCommand("a2", 6500));
        });
    serve(cache, "a2");
    assertEquals("VA 1 Oa2", client.readLine());
  }

  /** A turn accepts a limited number of connections, and does not check whether more wait. */
  @Test
  void doesNotShortenDeadlineOfClientThatConnectsLongAfterStall() throws Exception {
    ScriptedPeer cache = serveFirstRead(rig.connectClient(), "a1");
    rig.stallLoopWhile(
        () -> {
          for (int i = 0; i < 16; i++) {
            rig.connectClient();
          }
        });
    Thread.sleep(1500);
    ScriptedPeer client = rig.connectClient().write(NodeFixture.readCommand("a2", 1000));
    serve(cache, "a2");
    assertEquals("VA 1 Oa2", client.readLine());
  }

  @Test
  void answersFirstRequestThatArrivedInStall() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write("mg key v Oa1 Pc=read");
    rig.stallLoopWhile(
        () -> {
          Thread.sleep(2300);
          client.write(",d=4500\r\n");
        });
    serve(rig.acceptCache(), "a1");
    assertEquals("VA 1 Oa1", client.readLine());
  }

  @Test
  void keepsClientsWithUnreadRequestsWhenConnectionLimitIsReached() throws Exception {
    rig.close();
    rig = new NodeFixture(1, 128);
    List<ScriptedPeer> clients = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      clients.add(rig.connectClient());
    }
    rig.connectClient().write("mn\r\n").readLine(); // All earlier clients are accepted.
    Thread.sleep(100); // Unused connections may now be closed for new ones.
    rig.stallLoopWhile(
        () -> {
          for (ScriptedPeer client : clients) {
            client.write("mn\r\n");
          }
          for (int i = 0; i < 20; i++) {
            rig.connectClient();
          }
        });
    for (ScriptedPeer client : clients) {
      assertEquals("MN", client.readLine());
    }
  }

  @Test
  void keepsConnectionToServerThatAnsweredInStall() throws Exception {
    ScriptedPeer client = rig.connectClient();
    ScriptedPeer cache = serveFirstRead(client, "a1");
    client.write(NodeFixture.readCommand("a2", 1000));
    String line = cache.readLine();
    assertTrue(line.contains("Oa2 "), line);
    // The server answers in the stall, in which the time allowed for its answer passes.
    rig.stallLoopWhile(
        1100,
        () -> {
          cache.write("VA 1 Oa2\r\nx\r\n");
          Thread.sleep(100);
        });
    assertEquals("VA 1 Oa2", client.readLine());
    assertEquals("x", client.readLine());
    // The connection to this server is kept: the next request is sent on it.
    client.write(NodeFixture.readCommand("a3", 2000));
    serve(cache, "a3");
  }

  @Test
  void servesResponseThatBeginsBeforeStallAndEndsAfterIt() throws Exception {
    ScriptedPeer client = rig.connectClient();
    ScriptedPeer cache = serveFirstRead(client, "a1");
    client.write(NodeFixture.readCommand("a2", 3000));
    cache.readLine();
    cache.write("VA 10 Oa2\r\n01234");
    rig.awaitLoopTurns();
    rig.stallLoopWhile(
        () -> {
          Thread.sleep(500);
        });
    Thread.sleep(50);
    cache.write("56789\r\n");
    assertEquals("VA 10 Oa2", client.readLine());
    assertEquals("0123456789", client.readLine());
  }

  @Test
  void doesNotWriteToConnectionThatWasClosedInStall() throws Exception {
    ScriptedPeer client = rig.connectClient();
    ScriptedPeer cache = serveFirstRead(client, "a1");
    rig.stallLoopWhile(
        () -> {
          client.write(NodeFixture.writeCommand("a2", 2000, "v"));
          cache.close();
          Thread.sleep(300);
        });
    ScriptedPeer newConnection = rig.acceptCache();
    assertTrue(newConnection.readLine().contains("Oa2 "));
    newConnection.readLine();
    newConnection.write("HD Oa2 c1\r\n");
    assertEquals("HD Oa2 c1", client.readLine());
  }

  @Test
  void answersRequestsThatExpiredInStallOnceWithoutSendingThemAgain() throws Exception {
    ScriptedPeer reader = rig.connectClient();
    ScriptedPeer cache = serveFirstRead(reader, "a1");
    ScriptedPeer writer = rig.connectClient();
    writer.write(NodeFixture.writeCommand("w1", 300, "v"));
    String writeLine = cache.readLine();
    assertTrue(writeLine.startsWith("ms ") && writeLine.contains("Ow1 "), writeLine);
    cache.readLine();
    rig.stallLoopWhile(
        () -> {
          reader.write(NodeFixture.readCommand("a2", 300));
          Thread.sleep(1000);
        });
    assertEquals("SERVER_ERROR failed", writer.readLine());
    // A request's deadline counts from when the client sent it: a2's has passed in the stall, so
    // a2 is not forwarded.
    String rejection = reader.readLine();
    assertTrue(rejection.startsWith("SERVER_ERROR busy"), rejection);
    assertTrue(cache.closedByPeer(), "more bytes were sent on the connection of the write");
    assertFalse(rig.sendsOnNewConnection(100), "a2 was forwarded after its deadline");
    // Neither client gets another response.
    writer.write("mn\r\n");
    reader.write("mn\r\n");
    assertEquals("MN", writer.readLine());
    assertEquals("MN", reader.readLine());
  }

  @ParameterizedTest
  @ValueSource(ints = {300, 3000})
  void keepsWatchOpenWhenDiscoverySendsInStall(int stallMillis) throws Exception {
    ScriptedPeer watch = rig.acceptDiscovery();
    String line = watch.readLine();
    assertTrue(line.startsWith("GET "), line);
    while (!line.isEmpty()) {
      line = watch.readLine();
    }
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    rig.awaitLoopTurns();
    Thread.sleep(2000);
    rig.stallLoopWhile(
        () -> {
          // Discovery goes on sending empty lines, which the kernel receives for the node.
          for (int remainingMillis = stallMillis; remainingMillis > 0; remainingMillis -= 1000) {
            Thread.sleep(Math.min(remainingMillis, 1000));
            watch.write("1\r\n\n\r\n");
          }
        });
    rig.awaitLoopTurns();
    String list = NodeFixture.serverListJson(8, false, rig.cache.getLocalPort()) + "\n";
    watch.write(Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
    rig.awaitLoopTurns();
    watch.write("1\r\n\n\r\n");
    assertFalse(rig.hasAnotherDiscoveryCall(300), "the watch was closed and reopened");
  }

  /**
   * A node must have the current list again at most 6 s after its watch fell silent. The time of a
   * stall counts, so the node must not wait longer because of it.
   */
  @Test
  void reopensSilentWatchAfterStallAsSoonAsWithoutStall() throws Exception {
    ScriptedPeer watch = rig.acceptDiscovery();
    String line = watch.readLine();
    while (!line.isEmpty()) {
      line = watch.readLine();
    }
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    rig.awaitLoopTurns();
    rig.stallLoopWhile(() -> Thread.sleep(3300));
    assertTrue(rig.hasAnotherDiscoveryCall(1000), "the silent watch was not reopened");
  }
}
