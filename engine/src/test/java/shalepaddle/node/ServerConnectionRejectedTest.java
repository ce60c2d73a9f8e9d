package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.SocketTimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import shalepaddle.testkit.ScriptedPeer;

/**
 * A cache server at its connection limit, which answers the first request on a new connection with
 * {@code SERVER_ERROR busy} and closes that connection.
 */
@Timeout(30)
class ServerConnectionRejectedTest {
  private static final String CAPS_SETTING =
      """
      ,"caps":{"attempts-cap":%d,"cancel":true,"parallel-tries":true,"multiplex":32,\
      "connect-timeout":0.15,"conn-idle":60}""";

  private NodeFixture rig;
  private ScriptedPeer client;
  private ScriptedPeer openConnection;
  private ScriptedPeer secondClient;
  private ScriptedPeer newConnection;

  /** Sends a1 on an open connection, and the given request b1 as the first on a new connection. */
  private void sendOnOpenAndNewConnection(int maxAttempts, String secondRequest) throws Exception {
    rig = new NodeFixture(CAPS_SETTING.formatted(maxAttempts));
    client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 5000));
    openConnection = rig.acceptCache();
    assertTrue(openConnection.readLine().contains("Oa1 "));
    secondClient = rig.connectClient();
    secondClient.write(secondRequest);
    newConnection = rig.acceptCache();
    assertTrue(newConnection.readLine().contains("Ob1 "));
  }

  private void rejectNewConnection() throws Exception {
    newConnection.write("SERVER_ERROR busy\r\n");
    newConnection.close();
  }

  @AfterEach
  void closeNode() throws Exception {
    rig.close();
  }

  @Test
  void sendsRequestOnOpenConnectionWhenNewConnectionIsRejected() throws Exception {
    sendOnOpenAndNewConnection(2, NodeFixture.readCommand("b1", 5000));
    rejectNewConnection();
    assertTrue(openConnection.readLine().contains("Ob1 "));
    openConnection.write("VA 1 Oa1\r\nx\r\nVA 1 Ob1\r\ny\r\n");
    assertEquals("VA 1 Oa1", client.readLine());
    assertEquals("VA 1 Ob1", secondClient.readLine());
  }

  @Test
  void sendsWriteOnOpenConnectionOnceWhenRejectionOfNewConnectionIsCopied() throws Exception {
    sendOnOpenAndNewConnection(3, NodeFixture.writeCommand("b1", 5000, "v"));
    newConnection.write("SERVER_ERROR busy\r\nSERVER_ERROR busy\r\n");
    newConnection.close();
    assertTrue(openConnection.readLine().contains("Ob1 "));
    assertEquals("v", openConnection.readLine());
    openConnection.write("VA 1 Oa1\r\nx\r\nHD Ob1 cdone\r\n");
    assertEquals("HD Ob1 cdone", secondClient.readLine());
    rig.node.close();
    assertNull(openConnection.readLine());
  }

  @Test
  void sendsNonIdempotentWriteOnOpenConnectionWhenNewConnectionIsRejected() throws Exception {
    sendOnOpenAndNewConnection(2, NodeFixture.writeCommand("b1", 5000, "v"));
    rejectNewConnection();
    assertTrue(openConnection.readLine().contains("Ob1 "));
    assertEquals("v", openConnection.readLine());
    openConnection.write("VA 1 Oa1\r\nx\r\nHD Ob1 cdone\r\n");
    assertEquals("HD Ob1 cdone", secondClient.readLine());
  }

  @Test
  void doesNotOpenMoreConnectionsForSomeTimeAfterRejection() throws Exception {
    sendOnOpenAndNewConnection(2, NodeFixture.readCommand("b1", 5000));
    rejectNewConnection();
    assertTrue(openConnection.readLine().contains("Ob1 "));
    ScriptedPeer thirdClient = rig.connectClient();
    thirdClient.write(NodeFixture.writeCommand("c1", 5000, "v"));
    assertTrue(openConnection.readLine().contains("Oc1 "));
    rig.cache.setSoTimeout(20);
    assertThrows(SocketTimeoutException.class, rig::acceptCache);
  }

  @Test
  void rejectionOfConnectionCountsAsAttemptOfRequest() throws Exception {
    sendOnOpenAndNewConnection(1, NodeFixture.writeCommand("b1", 5000, "v"));
    rejectNewConnection();
    assertEquals("SERVER_ERROR busy", secondClient.readLine());
    openConnection.write("VA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.readLine());
  }

  @Test
  void doesNotSendRequestAgainWhenConnectionStaysOpen() throws Exception {
    sendOnOpenAndNewConnection(1, NodeFixture.readCommand("b1", 5000));
    newConnection.write("SERVER_ERROR busy\r\n");
    assertEquals("SERVER_ERROR busy", secondClient.readLine());
    secondClient.write(NodeFixture.readCommand("b2", 5000));
    String line = newConnection.readLine();
    assertTrue(
        line != null && line.contains("Ob2 "), "the new connection is not used again: " + line);
  }
}
