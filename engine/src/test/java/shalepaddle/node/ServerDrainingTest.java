package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.testkit.ScriptedPeer;

/**
 * Attempts that were routed to a server before it was known to be draining, excluded or in another
 * cell, and are not written by then. They go to another server: a connection may become free for
 * them only after the drain grace.
 */
@Timeout(30)
class ServerDrainingTest {
  private static final String CAPS_SETTING =
      """
      ,"instances":%d,"caps":{"attempts-cap":3,"cancel":false,"parallel-tries":%b,\
      "multiplex":%d,"connect-timeout":8,"conn-idle":60}""";

  private static final String ADMIN_SERVER_SETTING =
      "},\"management\":\"127.0.0.1:0\",\"unused\":{";

  private ServerSocket otherServer;
  private NodeFixture rig;
  private ScriptedPeer client;
  private ScriptedPeer waitingClient;

  @BeforeEach
  void listenAsOtherServer() throws Exception {
    otherServer = NodeFixture.listen();
  }

  @AfterEach
  void closeNodeAndServer() throws Exception {
    rig.close();
    otherServer.close();
  }

  private void sendList(int version, String state) throws Exception {
    ScriptedPeer discovery = rig.acceptDiscovery();
    while (!discovery.readLine().isEmpty()) {
      // Skips the header lines of the call.
    }
    int port = rig.cache.getLocalPort();
    boolean isMoved = state.equals("moved");
    String list =
        "{\"version\":%d,\"full\":true,\"servers\":[%s,%s]}"
            .formatted(
                version,
                NodeFixture.serverJson("s-" + port, port, isMoved ? "active" : state)
                    .replace("\"cell\":0", isMoved ? "\"cell\":1" : "\"cell\":0"),
                NodeFixture.serverJson("s-other", otherServer.getLocalPort(), "active"));
    discovery.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    discovery.write(NodeFixture.chunk(list + "\n"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"leaving", "left", "moved", "active"})
  void whatWaitsForAPlaceGoesElsewhere(String state) throws Exception {
    rig = new NodeFixture(CAPS_SETTING.formatted(28, false, 1) + ADMIN_SERVER_SETTING);
    client = rig.connectClient().write(NodeFixture.readCommand("a1", 20_000));
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.readLine().contains("Oa1 "));
    waitingClient = rig.connectClient().write(NodeFixture.writeCommand("b1", 20_000, "v"));
    rig.awaitLoopTurns();
    sendList(8, state);
    if (state.equals("active")) {
      // The list does not change the server; an operator excludes it instead.
      new AdminClient(rig.node.adminAddress()).awaitMetric("app_discovered", 2);
      try (ScriptedPeer caller = ScriptedPeer.connect(rig.node.adminAddress())) {
        String serverId = "s-" + rig.cache.getLocalPort();
        caller.write("PUT /api/exclude?member=" + serverId + " HTTP/1.1\r\nHost: node\r\n\r\n");
        assertTrue(caller.readLine().contains(" 200 "));
      }
    }
    try (ScriptedPeer otherConnection = new ScriptedPeer(otherServer.accept())) {
      assertTrue(otherConnection.readLine().contains("Ob1 "));
      otherConnection.readLine();
      otherConnection.write("HD Ob1 c1\r\n");
      assertEquals("HD Ob1 c1", waitingClient.readLine());
    }
    // The attempt in flight may complete; the node sends nothing more to its server.
    cache.write("VA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.readLine());
    rig.awaitLoopTurns();
    rig.node.close();
    assertNull(cache.readLine());
  }

  /**
   * After a new connection rejects its attempt, the attempt goes to the other server, although the
   * open connection to the draining server has a free place for it.
   */
  @Test
  void doesNotRewriteRejectedAttemptToDrainingServer() throws Exception {
    rig = new NodeFixture(CAPS_SETTING.formatted(1, true, 32));
    client = rig.connectClient().write(NodeFixture.readCommand("a1", 20_000));
    ScriptedPeer openConnection = rig.acceptCache();
    assertTrue(openConnection.readLine().contains("Oa1 "));
    waitingClient = rig.connectClient().write(NodeFixture.writeCommand("b1", 20_000, "v"));
    ScriptedPeer newConnection = rig.acceptCache();
    assertTrue(newConnection.readLine().contains("Ob1 "));
    newConnection.readLine();
    sendList(8, "leaving");
    // When a request goes to the other server, the node has applied the list.
    ScriptedPeer probeClient = rig.connectClient().write(NodeFixture.readCommand("c1", 20_000));
    try (ScriptedPeer otherConnection = new ScriptedPeer(otherServer.accept())) {
      assertTrue(otherConnection.readLine().contains("Oc1 "));
      otherConnection.write("VA 1 Oc1\r\nx\r\n");
      assertEquals("VA 1 Oc1", probeClient.readLine());
      newConnection.write("SERVER_ERROR busy\r\n");
      newConnection.close();
      assertTrue(otherConnection.readLine().contains("Ob1 "));
      otherConnection.readLine();
      otherConnection.write("HD Ob1 c1\r\n");
      assertEquals("HD Ob1 c1", waitingClient.readLine());
    }
    openConnection.write("VA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.readLine());
    assertFalse(client.readLine().isEmpty());
  }
}
