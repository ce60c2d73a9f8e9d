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
 * What a node does about events of a time in which its event loop did not run. The loop is held by
 * a task that sleeps, so that the kernel goes on receiving for it; what happens meanwhile happens
 * in an order that the test sets.
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

  /** Serves one read, so that the client's connection is between two requests. */
  private ScriptedPeer warm(ScriptedPeer client, String id) throws Exception {
    client.write(NodeFixture.get(id, 2000));
    ScriptedPeer cache = rig.acceptCache();
    serve(cache, id);
    assertEquals("VA 1 O" + id, client.line());
    assertEquals("x", client.line());
    return cache;
  }

  private static void serve(ScriptedPeer cache, String id) throws Exception {
    String line = cache.line();
    assertTrue(line != null && line.contains("O" + id + " "), line);
    cache.write("VA 1 O" + id + "\r\nx\r\n");
  }

  @Test
  void aRequestThatCameInAPauseIsAnsweredThoughItsConnectionHadLongBeenIdle() throws Exception {
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = warm(client, "a1");
    // Idle for 4 s by the wall when the loop runs again: it would be closed as useless.
    rig.pausedWhile(
        () -> {
          Thread.sleep(4300);
          // Enough time also if it had been sent as the pause began, which the node can't tell.
          client.write(NodeFixture.get("a2", 6500));
        });
    serve(cache, "a2");
    assertEquals("VA 1 Oa2", client.line());
  }

  /** A turn accepts so many of a backlog and does not look whether more wait. */
  @Test
  void aClientThatComesLongAfterAWholeBacklogHasItsWholeTime() throws Exception {
    ScriptedPeer cache = warm(rig.client(), "a1");
    rig.pausedWhile(
        () -> {
          for (int i = 0; i < 16; i++) {
            rig.client();
          }
        });
    Thread.sleep(1500);
    ScriptedPeer client = rig.client().write(NodeFixture.get("a2", 1000));
    serve(cache, "a2");
    assertEquals("VA 1 Oa2", client.line());
  }

  @Test
  void aFirstRequestThatCameInAPauseIsAnswered() throws Exception {
    ScriptedPeer client = rig.client();
    client.write("mg key v Oa1 Pc=read");
    rig.pausedWhile(
        () -> {
          Thread.sleep(2300);
          client.write(",d=4500\r\n");
        });
    serve(rig.acceptCache(), "a1");
    assertEquals("VA 1 Oa1", client.line());
  }

  @Test
  void clientsWithUnreadRequestsDoNotGiveWay() throws Exception {
    rig.close();
    rig = new NodeFixture(1, 128);
    List<ScriptedPeer> clients = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      clients.add(rig.client());
    }
    rig.client().write("mn\r\n").line(); // All before it are accepted.
    Thread.sleep(100); // Long enough for those that have asked for nothing to give way.
    rig.pausedWhile(
        () -> {
          for (ScriptedPeer client : clients) {
            client.write("mn\r\n");
          }
          for (int i = 0; i < 20; i++) {
            rig.client();
          }
        });
    for (ScriptedPeer client : clients) {
      assertEquals("MN", client.line());
    }
  }

  @Test
  void aServerIsNotTakenForSilentBecauseNobodyListened() throws Exception {
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = warm(client, "a1");
    client.write(NodeFixture.get("a2", 1000));
    String line = cache.line();
    assertTrue(line.contains("Oa2 "), line);
    // It answers in the pause, in which the time for that passes.
    rig.pausedWhile(
        1100,
        () -> {
          cache.write("VA 1 Oa2\r\nx\r\n");
          Thread.sleep(100);
        });
    assertEquals("VA 1 Oa2", client.line());
    assertEquals("x", client.line());
    // Nor is its connection given up: the next request goes there.
    client.write(NodeFixture.get("a3", 2000));
    serve(cache, "a3");
  }

  @Test
  void anAnswerThatBeganBeforeAPauseMayEndAfterIt() throws Exception {
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = warm(client, "a1");
    client.write(NodeFixture.get("a2", 3000));
    cache.line();
    cache.write("VA 10 Oa2\r\n01234");
    rig.settled();
    rig.pausedWhile(
        () -> {
          Thread.sleep(500);
        });
    Thread.sleep(50);
    cache.write("56789\r\n");
    assertEquals("VA 10 Oa2", client.line());
    assertEquals("0123456789", client.line());
  }

  @Test
  void aWriteAfterAPauseDoesNotGoToAConnectionThatWasClosedInIt() throws Exception {
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = warm(client, "a1");
    rig.pausedWhile(
        () -> {
          client.write(NodeFixture.put("a2", 2000, "v"));
          cache.close();
          Thread.sleep(300);
        });
    ScriptedPeer next = rig.acceptCache();
    assertTrue(next.line().contains("Oa2 "));
    next.line();
    next.write("HD Oa2 c1\r\n");
    assertEquals("HD Oa2 c1", client.line());
  }

  @Test
  void everyRequestWhoseTimePassedInAPauseGetsOneAnswerAndAWriteGoesOutOnce() throws Exception {
    ScriptedPeer reader = rig.client();
    ScriptedPeer cache = warm(reader, "a1");
    ScriptedPeer writer = rig.client();
    writer.write(NodeFixture.put("w1", 300, "v"));
    String sent = cache.line();
    assertTrue(sent.startsWith("ms ") && sent.contains("Ow1 "), sent);
    cache.line();
    rig.pausedWhile(
        () -> {
          reader.write(NodeFixture.get("a2", 300));
          Thread.sleep(1000);
        });
    assertEquals("SERVER_ERROR failed", writer.line());
    // Its time counts from when its client sent it: it is over, and nothing is sent on for it.
    String rejected = reader.line();
    assertTrue(rejected.startsWith("SERVER_ERROR busy"), rejected);
    assertTrue(cache.ended(), "the write's connection, which is given up with it, has more");
    assertFalse(rig.sendsOnNewConnection(100), "sent on after its time");
    // Nothing more comes for either.
    writer.write("mn\r\n");
    reader.write("mn\r\n");
    assertEquals("MN", writer.line());
    assertEquals("MN", reader.line());
  }

  @ParameterizedTest
  @ValueSource(ints = {300, 3000})
  void discoveryIsNotTakenForSilent(int millis) throws Exception {
    ScriptedPeer watch = rig.acceptDiscovery();
    String line = watch.line();
    assertTrue(line.startsWith("GET "), line);
    while (!line.isEmpty()) {
      line = watch.line();
    }
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    rig.settled();
    Thread.sleep(2000);
    rig.pausedWhile(
        () -> {
          // It goes on as ever, and the kernel receives for the node.
          for (int left = millis; left > 0; left -= 1000) {
            Thread.sleep(Math.min(left, 1000));
            watch.write("1\r\n\n\r\n");
          }
        });
    rig.settled();
    String list = NodeFixture.members(8, false, rig.cache.getLocalPort()) + "\n";
    watch.write(Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
    rig.settled();
    watch.write("1\r\n\n\r\n");
    assertFalse(rig.hasAnotherDiscoveryCall(300), "the watch was given up");
  }

  /** What a watch misses binds the node by the wall, also where the node stood still for a part. */
  @Test
  void discoveryThatSaidNothingInAPauseIsAskedAnewAsSoonAsWithoutOne() throws Exception {
    ScriptedPeer watch = rig.acceptDiscovery();
    String line = watch.line();
    while (!line.isEmpty()) {
      line = watch.line();
    }
    watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n");
    rig.settled();
    rig.pausedWhile(() -> Thread.sleep(3300));
    assertTrue(rig.hasAnotherDiscoveryCall(1000), "the silent watch was kept");
  }
}
