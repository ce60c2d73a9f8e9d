package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import shalepaddle.testkit.ScriptedPeer;

/** Which client connections a node closes and which it keeps, over loopback sockets. */
class ClientConnectionsTest {
  private static void serveRequest(NodeFixture rig, ScriptedPeer client, String id)
      throws Exception {
    client.write(NodeFixture.readCommand(id, 5000));
    try (ScriptedPeer cache = rig.acceptCache()) {
      assertTrue(cache.readLine().contains("O" + id + " "));
      cache.write("VA 1 O" + id + "\r\nx\r\n");
      assertEquals("VA 1 O" + id, client.readLine());
      assertEquals("x", client.readLine());
    }
  }

  @Test
  void servesNewClientWhenSilentClientsUseUpConnectionLimit() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      List<ScriptedPeer> silentClients = new ArrayList<>();
      for (int i = 0; i < 128; i++) {
        silentClients.add(rig.connectClient());
      }
      serveRequest(rig, rig.connectClient(), "a1");
      // At most half of the descriptors are for clients: the oldest connections were closed.
      for (ScriptedPeer client : silentClients.subList(0, 64)) {
        assertTrue(client.closedByPeer());
      }
    }
  }

  @Test
  void keepsClientWithPendingResponseWhenConnectionLimitIsReached() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      ScriptedPeer waitingClient = rig.connectClient();
      waitingClient.write(NodeFixture.readCommand("a1", 60_000));
      ScriptedPeer cache = rig.acceptCache();
      assertTrue(cache.readLine().contains("Oa1 "));
      for (int i = 0; i < 128; i++) {
        rig.connectClient().write("mg ke");
      }
      cache.write("VA 1 Oa1\r\nx\r\n");
      assertEquals("VA 1 Oa1", waitingClient.readLine());
    }
  }

  @Test
  void closesClientsWithoutRequestsBeforeIdleClientWithRequest() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      ScriptedPeer activeClient = rig.connectClient();
      serveRequest(rig, activeClient, "a1");
      // A connection that is idle for 300 ms may be closed when many connections are in use.
      Thread.sleep(400);
      for (int i = 0; i < 128; i++) {
        rig.connectClient().write("mn\r\n");
      }
      serveRequest(rig, activeClient, "a2");
    }
  }

  @Test
  void closesIdleClientsSoonerWhenManyAreConnected() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      long startedAtNanos = System.nanoTime();
      List<ScriptedPeer> clients = new ArrayList<>();
      ScriptedPeer cache = null;
      for (int i = 0; i < 40; i++) {
        clients.add(rig.connectClient());
        clients.get(i).write(NodeFixture.readCommand("a" + i, 5000));
        cache = cache == null ? rig.acceptCache() : cache;
        assertTrue(cache.readLine().contains("Oa" + i + " "));
        cache.write("VA 1 Oa" + i + "\r\nx\r\n");
        assertEquals("VA 1 Oa" + i, clients.get(i).readLine());
      }
      assertEquals("x", clients.get(0).readLine());
      assertTrue(clients.get(0).closedByPeer());
      long closedAfterMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
      assertTrue(
          closedAfterMillis < 3000,
          "the idle client was closed after " + closedAfterMillis + " ms");
    }
  }

  @Test
  void closesClientThatSendsNothing() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      assertTrue(rig.connectClient().closedByPeer());
    }
  }

  @Test
  void closesClientThatStaysIdleAfterOneRequest() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      ScriptedPeer client = rig.connectClient();
      client.write("mn\r\n");
      assertEquals("MN", client.readLine());
      assertTrue(client.closedByPeer());
    }
  }

  /**
   * A client that sends a request while the node closes its connection must see the end of the
   * stream and no reset: only then does it know that it may send the request again. A write after a
   * reset fails, one after the end of the stream does not.
   */
  @Test
  void doesNotResetConnectionWhenRequestArrivesAfterClose() throws Exception {
    try (NodeFixture rig = new NodeFixture();
        SocketChannel client = SocketChannel.open(rig.address)) {
      client.write(ByteBuffer.wrap("mn\r\n".getBytes(StandardCharsets.US_ASCII)));
      ByteBuffer answer = ByteBuffer.allocate(64);
      while (answer.position() < 4) {
        client.read(answer);
      }
      Thread drainThread = new Thread(rig.node::drain);
      drainThread.start();
      assertEquals(-1, client.read(answer));
      client.write(
          ByteBuffer.wrap(NodeFixture.readCommand("a1", 2000).getBytes(StandardCharsets.US_ASCII)));
      drainThread.join();
      assertEquals(1, client.write(ByteBuffer.wrap(new byte[1])));
    }
  }

  @Test
  void closesClientsSilentWithinCommandRatherThanSlowClientAtConnectionLimit() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      ScriptedPeer slowClient = rig.connectClient();
      String command = NodeFixture.readCommand("a1", 5000);
      slowClient.write(command.substring(0, 3));
      for (int i = 3; i < command.length(); i++) {
        // Meanwhile more clients connect and send incomplete commands than the limit allows.
        for (int j = 0; j < 4; j++) {
          rig.connectClient().write("mg ke");
        }
        Thread.sleep(40);
        slowClient.write(command.substring(i, i + 1));
      }
      ScriptedPeer cache = rig.acceptCache();
      assertTrue(cache.readLine().contains("Oa1 "));
      cache.write("VA 1 Oa1\r\nx\r\n");
      assertEquals("VA 1 Oa1", slowClient.readLine());
    }
  }

  /** The platform kills a node 3.7 s after the signal to end, also with longer deadlines. */
  @Test
  void endsInTimeWhereAClassMayWaitForLonger() throws Exception {
    String settings =
        ",\"services\":[{\"name\":\"read\",\"effect\":\"retryable\",\"slo\":1,\"give-up\":6}]";
    try (NodeFixture rig = new NodeFixture(settings)) {
      ScriptedPeer client = rig.connectClient();
      client.write(NodeFixture.readCommand("a1", 6000));
      ScriptedPeer cache = rig.acceptCache();
      cache.readLine();
      long startedAtNanos = System.nanoTime();
      AtomicLong endedAtNanos = new AtomicLong();
      Thread drainThread =
          new Thread(
              () -> {
                rig.node.drain();
                endedAtNanos.set(System.nanoTime());
              });
      drainThread.start();
      // Within the time in which requests are still read.
      Thread.sleep(400);
      // The deadline of a request that comes during the drain is shortened to the time left.
      client.write(NodeFixture.readCommand("a2", 6000));
      // The deadline of a1, which was open before the drain, is shortened too: a1 fails, since it
      // may have run.
      assertEquals("SERVER_ERROR failed", client.readLine());
      assertEquals("SERVER_ERROR failed", client.readLine());
      assertNull(client.readLine());
      client.close();
      drainThread.join();
      long endedAfterMillis = (endedAtNanos.get() - startedAtNanos) / 1_000_000;
      assertTrue(endedAfterMillis < 3700, "the drain ended after " + endedAfterMillis + " ms");
    }
  }
}
