package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import shalepaddle.testkit.ScriptedPeer;

/** A cache server that holds no more connections, and says so on a new one, which it then ends. */
@Timeout(30)
class ServerConnectionRejectedTest {
  private static final String CAPS =
      """
      ,"caps":{"attempts-cap":%d,"cancel":true,"parallel-tries":true,"multiplex":32,\
      "connect-timeout":0.15,"conn-idle":60}""";

  private NodeFixture rig;
  private ScriptedPeer client;
  private ScriptedPeer kept;
  private ScriptedPeer other;
  private ScriptedPeer fresh;

  /** A request is under way on one connection, and another has come first on a new one. */
  private void begin(int attempts, String second) throws Exception {
    rig = new NodeFixture(CAPS.formatted(attempts));
    client = rig.client();
    client.write(NodeFixture.get("a1", 5000));
    kept = rig.acceptCache();
    assertTrue(kept.line().contains("Oa1 "));
    other = rig.client();
    other.write(second);
    fresh = rig.acceptCache();
    assertTrue(fresh.line().contains("Ob1 "));
  }

  private void turnDown() throws Exception {
    fresh.write("SERVER_ERROR busy\r\n");
    fresh.close();
  }

  @AfterEach
  void end() throws Exception {
    rig.close();
  }

  @Test
  void whatWasFirstOnItGoesOnAConnectionThatIsThere() throws Exception {
    begin(2, NodeFixture.get("b1", 5000));
    turnDown();
    assertTrue(kept.line().contains("Ob1 "));
    kept.write("VA 1 Oa1\r\nx\r\nVA 1 Ob1\r\ny\r\n");
    assertEquals("VA 1 Oa1", client.line());
    assertEquals("VA 1 Ob1", other.line());
  }

  @Test
  void aWriteThatMustNotRunTwiceRunsOnce() throws Exception {
    begin(2, NodeFixture.put("b1", 5000, "v"));
    turnDown();
    assertTrue(kept.line().contains("Ob1 "));
    assertEquals("v", kept.line());
    kept.write("VA 1 Oa1\r\nx\r\nHD Ob1 cdone\r\n");
    assertEquals("HD Ob1 cdone", other.line());
  }

  @Test
  void noMoreConnectionsAreOpenedForAWhile() throws Exception {
    begin(2, NodeFixture.get("b1", 5000));
    turnDown();
    assertTrue(kept.line().contains("Ob1 "));
    ScriptedPeer third = rig.client();
    third.write(NodeFixture.put("c1", 5000, "v"));
    assertTrue(kept.line().contains("Oc1 "));
    rig.cache.setSoTimeout(20);
    assertThrows(SocketTimeoutException.class, rig::acceptCache);
  }

  @Test
  void itCountsAsOneMoreAttemptOfItsRequest() throws Exception {
    begin(1, NodeFixture.put("b1", 5000, "v"));
    turnDown();
    assertEquals("SERVER_ERROR busy", other.line());
    kept.write("VA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.line());
  }

  @Test
  void aRequestThatIsTurnedAwayOnAConnectionThatStaysIsNotSentAgain() throws Exception {
    begin(1, NodeFixture.get("b1", 5000));
    fresh.write("SERVER_ERROR busy\r\n");
    assertEquals("SERVER_ERROR busy", other.line());
    other.write(NodeFixture.put("b2", 5000, "v"));
    String line = fresh.line();
    assertTrue(line != null && line.contains("Ob2 "), "not used again: " + line);
  }
}
