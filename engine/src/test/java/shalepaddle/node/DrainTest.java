package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
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
 * Requests that come between the signal to end and the moment in which the process may be killed:
 * each is answered, or the end of its connection shows that it was never read.
 */
@Timeout(30)
class DrainTest {
  /** After this time the platform may kill the process: the longest deadline and 0.7 s. */
  private static final String LASTING = ",\"services\":[%s,%s]";

  private static String settings(double seconds) {
    return LASTING.formatted(
        "{\"name\":\"read\",\"effect\":\"retryable\",\"slo\":0.05,\"give-up\":" + seconds + "}",
        "{\"name\":\"put\",\"effect\":\"fragile\",\"slo\":0.05,\"give-up\":" + seconds + "}");
  }

  private NodeFixture rig;
  private Thread drain;

  @AfterEach
  void end() throws Exception {
    if (drain != null) {
      drain.join(ScriptedPeer.PATIENCE_MILLIS);
      assertFalse(drain.isAlive());
    }
    rig.close();
  }

  private long drain() {
    drain = new Thread(rig.node::drain);
    long begun = System.nanoTime();
    drain.start();
    return begun;
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  /** A server that answers each request after 3 ms; returns the requests that came. */
  private Set<String> serveAll() throws IOException {
    Set<String> arrived = ConcurrentHashMap.newKeySet();
    ScriptedPeer cache = rig.acceptCache();
    Thread server =
        new Thread(
            () -> {
              try {
                for (String line = cache.line(); line != null; line = cache.line()) {
                  String id = line.replaceAll(".* O(\\S+) .*", "$1");
                  arrived.add(id);
                  Thread.sleep(3);
                  cache.write("VA 1 O" + id + "\r\nx\r\n");
                }
              } catch (IOException | InterruptedException e) {
                // The node has ended.
              }
            });
    server.setDaemon(true);
    server.start();
    return arrived;
  }

  @Test
  void notifiesBusyClientOfUnreadRequests() throws Exception {
    rig = new NodeFixture(",\"instances\":28" + settings(0.3));
    ScriptedPeer client = rig.client().write(NodeFixture.get("r0", 300));
    Set<String> arrived = serveAll();
    Set<String> answered = ConcurrentHashMap.newKeySet();
    long begun = drain();
    int next = 1;
    String line = "";
    while (line != null && millisSince(begun) < 5000) {
      try {
        client.write(NodeFixture.get("r" + next++, 300));
      } catch (IOException e) {
        // Its connection has ended; what was sent before that can still be read.
      }
      line = client.line();
      if (line != null && line.startsWith("VA")) {
        answered.add(line.substring("VA 1 O".length()));
        client.line();
      } else if (line != null) {
        // A rejection answers the oldest open request.
        assertEquals("SERVER_ERROR busy", line.substring(0, "SERVER_ERROR busy".length()));
      }
    }
    assertNull(line, "it is served on");
    assertTrue(millisSince(begun) < 1000, "told after " + millisSince(begun) + " ms");
    arrived.removeAll(answered);
    assertEquals(Set.of(), arrived, "sent on, and not answered");
    assertTrue(next > 50, "asked " + next + " times");
    client.close();
  }

  @Test
  void closesSilentClientBeforeProcessMayBeKilled() throws Exception {
    rig = new NodeFixture(settings(0.1));
    ScriptedPeer early = rig.client();
    ScriptedPeer half = rig.client().write("mg ke");
    rig.settled();
    long begun = drain();
    ScriptedPeer late = rig.client();
    assertTrue(late.ended());
    assertTrue(half.ended());
    assertTrue(early.ended());
    assertTrue(millisSince(begun) < 790, "after " + millisSince(begun) + " ms");
    early.close();
    half.close();
    late.close();
  }

  @Test
  void handOverClosesIdleClientBeforeProcessMayBeKilled() throws Exception {
    rig = new NodeFixture(settings(0.1));
    ScriptedPeer client = rig.client().write(NodeFixture.get("a1", 5000));
    serveAll();
    assertEquals("VA 1 Oa1", client.line());
    client.line();
    CountDownLatch over = new CountDownLatch(1);
    long begun = System.nanoTime();
    rig.node.loop().execute(() -> rig.node.balancer().handOver(over::countDown));
    assertTrue(client.ended());
    assertTrue(millisSince(begun) < 790, "after " + millisSince(begun) + " ms");
    client.close();
    assertTrue(over.await(ScriptedPeer.PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
  }

  @Test
  void acceptsConnectionsOfStallBeforeListenerCloses() throws Exception {
    rig = new NodeFixture();
    ScriptedPeer[] late = new ScriptedPeer[20];
    drain();
    rig.pausedWhile(
        600,
        () -> {
          for (int i = 0; i < late.length; i++) {
            late[i] = rig.client().write("mn\r\n");
          }
        });
    for (ScriptedPeer client : late) {
      assertEquals("MN", client.line());
      client.close();
    }
  }
}
