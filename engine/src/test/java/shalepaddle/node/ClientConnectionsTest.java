package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.testkit.ScriptedPeer;

/** Which connections of clients a node keeps, over loopback sockets. */
class ClientConnectionsTest {
  private static void serveOne(NodeFixture rig, ScriptedPeer client, String id) throws Exception {
    client.write(NodeFixture.get(id, 5000));
    try (ScriptedPeer cache = rig.acceptCache()) {
      assertTrue(cache.line().contains("O" + id + " "));
      cache.write("VA 1 O" + id + "\r\nx\r\n");
      assertEquals("VA 1 O" + id, client.line());
      assertEquals("x", client.line());
    }
  }

  @Test
  void servesANewClientWhereSilentOnesTookEveryPlace() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      List<ScriptedPeer> silent = new ArrayList<>();
      for (int i = 0; i < 128; i++) {
        silent.add(rig.client());
      }
      serveOne(rig, rig.client(), "a1");
      // More than half of the descriptors are not for clients: the first of them had to give way.
      for (ScriptedPeer client : silent.subList(0, 64)) {
        assertTrue(client.ended());
      }
    }
  }

  @Test
  void keepsAClientThatIsOwedAnAnswerWhereOthersCrowdIn() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      ScriptedPeer owed = rig.client();
      owed.write(NodeFixture.get("a1", 60_000));
      ScriptedPeer cache = rig.acceptCache();
      assertTrue(cache.line().contains("Oa1 "));
      for (int i = 0; i < 128; i++) {
        rig.client().write("mg ke");
      }
      cache.write("VA 1 Oa1\r\nx\r\n");
      assertEquals("VA 1 Oa1", owed.line());
    }
  }

  @Test
  void clientsThatAskForNothingGiveWayBeforeOneThatPauses() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      ScriptedPeer usual = rig.client();
      serveOne(rig, usual, "a1");
      // A pause after which it would give way, were there no others.
      Thread.sleep(400);
      for (int i = 0; i < 128; i++) {
        rig.client().write("mn\r\n");
      }
      serveOne(rig, usual, "a2");
    }
  }

  @Test
  void clientsThatAskOnceAndStayGiveWayWhereManyDo() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      long began = System.nanoTime();
      List<ScriptedPeer> clients = new ArrayList<>();
      ScriptedPeer cache = null;
      for (int i = 0; i < 40; i++) {
        clients.add(rig.client());
        clients.get(i).write(NodeFixture.get("a" + i, 5000));
        cache = cache == null ? rig.acceptCache() : cache;
        assertTrue(cache.line().contains("Oa" + i + " "));
        cache.write("VA 1 Oa" + i + "\r\nx\r\n");
        assertEquals("VA 1 Oa" + i, clients.get(i).line());
      }
      assertEquals("x", clients.get(0).line());
      assertTrue(clients.get(0).ended());
      long millis = (System.nanoTime() - began) / 1_000_000;
      assertTrue(millis < 3000, "closed after " + millis + " ms");
    }
  }

  @Test
  void closesAClientThatSaysNothing() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      assertTrue(rig.client().ended());
    }
  }

  @Test
  void closesAClientThatAskedOnceAndStays() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      ScriptedPeer client = rig.client();
      client.write("mn\r\n");
      assertEquals("MN", client.line());
      assertTrue(client.ended());
    }
  }

  /**
   * A request that was sent as its connection ended: the client must see the end and no reset, or
   * it could not know that it may ask once more. A write after a reset fails, one after an end does
   * not.
   */
  @Test
  void doesNotResetARequestThatCrossesTheEndOfItsConnection() throws Exception {
    try (NodeFixture rig = new NodeFixture();
        SocketChannel client = SocketChannel.open(rig.address)) {
      client.write(ByteBuffer.wrap("mn\r\n".getBytes(StandardCharsets.US_ASCII)));
      ByteBuffer answer = ByteBuffer.allocate(64);
      while (answer.position() < 4) {
        client.read(answer);
      }
      Thread drain = new Thread(rig.node::drain);
      drain.start();
      assertEquals(-1, client.read(answer));
      client.write(
          ByteBuffer.wrap(NodeFixture.get("a1", 2000).getBytes(StandardCharsets.US_ASCII)));
      drain.join();
      assertEquals(1, client.write(ByteBuffer.wrap(new byte[1])));
    }
  }

  @Test
  void aCommandThatGoesOnGivesWayAfterThoseThatStandStill() throws Exception {
    try (NodeFixture rig = new NodeFixture(1, 128)) {
      ScriptedPeer slow = rig.client();
      String command = NodeFixture.get("a1", 5000);
      slow.write(command.substring(0, 3));
      for (int i = 3; i < command.length(); i++) {
        // Halves of commands come all the while, more than there are places.
        for (int j = 0; j < 4; j++) {
          rig.client().write("mg ke");
        }
        Thread.sleep(40);
        slow.write(command.substring(i, i + 1));
      }
      ScriptedPeer cache = rig.acceptCache();
      assertTrue(cache.line().contains("Oa1 "));
      cache.write("VA 1 Oa1\r\nx\r\n");
      assertEquals("VA 1 Oa1", slow.line());
    }
  }

  /** The platform kills a node 3.7 s after it was told to end, however long a class may wait. */
  @Test
  void endsInTimeWhereAClassMayWaitForLonger() throws Exception {
    String waits =
        ",\"services\":[{\"name\":\"read\",\"effect\":\"retryable\",\"slo\":1,\"give-up\":6}]";
    try (NodeFixture rig = new NodeFixture(waits)) {
      ScriptedPeer client = rig.client();
      client.write(NodeFixture.get("a1", 6000));
      ScriptedPeer cache = rig.acceptCache();
      cache.line();
      long began = System.nanoTime();
      Thread drain = new Thread(rig.node::drain);
      drain.start();
      Thread.sleep(600);
      // One that comes while it ends has no more time than is left.
      client.write(NodeFixture.get("a2", 6000));
      // Nor has one that was open before: it may have run, so that it has failed.
      assertEquals("SERVER_ERROR failed", client.line());
      assertEquals("SERVER_ERROR failed", client.line());
      assertNull(client.line());
      client.close();
      drain.join();
      long millis = (System.nanoTime() - began) / 1_000_000;
      assertTrue(millis < 3700, "ended after " + millis + " ms");
    }
  }
}
