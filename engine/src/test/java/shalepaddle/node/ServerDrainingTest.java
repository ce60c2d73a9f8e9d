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
 * What was decided on before a server was known to leave, or to be in another group, and has not
 * gone out by then: a place, or a connection, may come free after the grace.
 */
@Timeout(30)
class ServerDrainingTest {
  private static final String CAPS =
      """
      ,"instances":%d,"caps":{"attempts-cap":3,"cancel":false,"parallel-tries":%b,\
      "multiplex":%d,"connect-timeout":8,"conn-idle":60}""";

  private static final String ADMIN_SERVER = "},\"management\":\"127.0.0.1:0\",\"unused\":{";

  private ServerSocket other;
  private NodeFixture rig;
  private ScriptedPeer client;
  private ScriptedPeer waiting;

  @BeforeEach
  void begin() throws Exception {
    other = NodeFixture.listen();
  }

  @AfterEach
  void end() throws Exception {
    rig.close();
    other.close();
  }

  private void tell(int version, String state) throws Exception {
    ScriptedPeer discovery = rig.acceptDiscovery();
    while (!discovery.line().isEmpty()) {
      // The call.
    }
    int port = rig.cache.getLocalPort();
    boolean moved = state.equals("moved");
    String list =
        "{\"version\":%d,\"full\":true,\"servers\":[%s,%s]}"
            .formatted(
                version,
                NodeFixture.member("s-" + port, port, moved ? "active" : state)
                    .replace("\"cell\":0", moved ? "\"cell\":1" : "\"cell\":0"),
                NodeFixture.member("s-other", other.getLocalPort(), "active"));
    discovery.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    discovery.write(NodeFixture.chunk(list + "\n"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"leaving", "left", "moved", "active"})
  void whatWaitsForAPlaceGoesElsewhere(String state) throws Exception {
    rig = new NodeFixture(CAPS.formatted(28, false, 1) + ADMIN_SERVER);
    client = rig.client().write(NodeFixture.get("a1", 20_000));
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.line().contains("Oa1 "));
    waiting = rig.client().write(NodeFixture.put("b1", 20_000, "v"));
    rig.settled();
    tell(8, state);
    if (state.equals("active")) {
      // Left out by hand instead.
      try (ScriptedPeer caller = ScriptedPeer.connect(rig.node.adminAddress())) {
        String member = "s-" + rig.cache.getLocalPort();
        caller.write("PUT /api/exclude?member=" + member + " HTTP/1.1\r\nHost: node\r\n\r\n");
        assertTrue(caller.line().contains(" 200 "));
      }
    }
    try (ScriptedPeer next = new ScriptedPeer(other.accept())) {
      assertTrue(next.line().contains("Ob1 "));
      next.line();
      next.write("HD Ob1 c1\r\n");
      assertEquals("HD Ob1 c1", waiting.line());
    }
    // What is under way may end, and then nothing more comes.
    cache.write("VA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.line());
    rig.settled();
    rig.node.close();
    assertNull(cache.line());
  }

  /** It was turned away with its connection, and would go on another that is there. */
  @Test
  void whatWasTurnedDownIsNotWrittenAgainToAServerThatLeaves() throws Exception {
    rig = new NodeFixture(CAPS.formatted(1, true, 32));
    client = rig.client().write(NodeFixture.get("a1", 20_000));
    ScriptedPeer kept = rig.acceptCache();
    assertTrue(kept.line().contains("Oa1 "));
    waiting = rig.client().write(NodeFixture.put("b1", 20_000, "v"));
    ScriptedPeer fresh = rig.acceptCache();
    assertTrue(fresh.line().contains("Ob1 "));
    fresh.line();
    tell(8, "leaving");
    // Once a request goes to the other server, the list has been taken.
    ScriptedPeer probe = rig.client().write(NodeFixture.get("c1", 20_000));
    try (ScriptedPeer next = new ScriptedPeer(other.accept())) {
      assertTrue(next.line().contains("Oc1 "));
      next.write("VA 1 Oc1\r\nx\r\n");
      assertEquals("VA 1 Oc1", probe.line());
      fresh.write("SERVER_ERROR busy\r\n");
      fresh.close();
      assertTrue(next.line().contains("Ob1 "));
      next.line();
      next.write("HD Ob1 c1\r\n");
      assertEquals("HD Ob1 c1", waiting.line());
    }
    kept.write("VA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.line());
    assertFalse(client.line().isEmpty());
  }
}
