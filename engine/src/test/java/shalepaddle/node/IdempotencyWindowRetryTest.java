package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import shalepaddle.testkit.ScriptedPeer;

/**
 * A keyed request that may have run, and whose repeat was decided on in time, waits until its group
 * has forgotten it: it is not written then, and its client is told at once.
 */
@Timeout(30)
class IdempotencyWindowRetryTest {
  private static final int WINDOW_MILLIS = 1000;

  /** One connection to the server, with so many requests at a time. */
  private static final String SETTINGS =
      """
      ,"instances":28,"caps":{"attempts-cap":4,"cancel":false,"parallel-tries":%b,\
      "multiplex":%d,"connect-timeout":0.2,"conn-idle":60},\
      "services":[{"name":"read","effect":"retryable","slo":9,"give-up":20},\
      {"name":"put","effect":"dedup","group":"cell","repeat-window":%s,"slo":9,"give-up":20},\
      {"name":"other","effect":"retryable","slo":9,"give-up":20}]""";

  private NodeFixture rig;

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  /** Its client is told when the window is over, while what it waits for has not come. */
  private static void hearsInTime(ScriptedPeer writer, long since) throws IOException {
    String answer = writer.line();
    long told = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - since);
    assertTrue(answer.startsWith("SERVER_ERROR") && !answer.contains("busy"), answer);
    assertTrue(told < WINDOW_MILLIS + 500, "told after " + told + " ms");
  }

  private static void read(ScriptedPeer cache, String id) throws IOException {
    String line = cache.line();
    assertTrue(line != null && line.contains("O" + id + " "), id + " is not next: " + line);
  }

  private ScriptedPeer acceptsTheWrite() throws IOException {
    ScriptedPeer cache = rig.acceptCache();
    read(cache, "k1");
    assertEquals("v", cache.line());
    return cache;
  }

  @Test
  void isNotWrittenOnceAPlaceComesFreeAfterTheWindow() throws Exception {
    rig = new NodeFixture(SETTINGS.formatted(false, 1, WINDOW_MILLIS / 1000));
    ScriptedPeer writer = rig.client().write(NodeFixture.put("k1", 20_000, "v"));
    final long since = System.nanoTime();
    ScriptedPeer cache = acceptsTheWrite();
    ScriptedPeer reader = rig.client().write(NodeFixture.get("r1", 20_000));
    rig.settled();
    cache.reset();
    ScriptedPeer next = rig.acceptCache();
    read(next, "r1");
    hearsInTime(writer, since);
    next.write("VA 1 Or1\r\nx\r\n");
    assertEquals("VA 1 Or1", reader.line());
    assertEquals("x", reader.line());
    reader.write(NodeFixture.get("r2", 20_000));
    read(next, "r2");
  }

  @Test
  void isNotWrittenBehindBytesThatTheKernelTakesAfterTheWindow() throws Exception {
    rig = new NodeFixture(SETTINGS.formatted(true, 400, WINDOW_MILLIS / 1000));
    ScriptedPeer writer = rig.client().write(NodeFixture.put("k1", 20_000, "v"));
    final long since = System.nanoTime();
    ScriptedPeer cache = acceptsTheWrite();
    int length = 4 << 20;
    String large = NodeFixture.put("w1", 20_000, "v".repeat(length));
    ScriptedPeer other = rig.client().write(large.replace("c=put", "c=other"));
    // Its first line alone is read: the rest fills the connection.
    read(cache, "w1");
    rig.settled();
    // The first is answered in words that do not say whether it ran, so that it is tried again.
    cache.write("SERVER_ERROR failed\r\n");
    hearsInTime(writer, since);
    cache.bytes(length + 2);
    cache.write("HD Ow1 c1\r\n");
    assertEquals("HD Ow1 c1", other.line());
    ScriptedPeer last = rig.client().write(NodeFixture.get("r1", 20_000));
    read(cache, "r1");
    cache.write("VA 1 Or1\r\nx\r\n");
    assertEquals("VA 1 Or1", last.line());
  }

  @Test
  void isWrittenInTimeWhereAPlaceComesFree() throws Exception {
    rig = new NodeFixture(SETTINGS.formatted(false, 1, "10"));
    ScriptedPeer writer = rig.client().write(NodeFixture.put("k1", 20_000, "v"));
    ScriptedPeer cache = acceptsTheWrite();
    ScriptedPeer reader = rig.client().write(NodeFixture.get("r1", 20_000));
    rig.settled();
    cache.reset();
    ScriptedPeer next = rig.acceptCache();
    read(next, "r1");
    next.write("VA 1 Or1\r\nx\r\n");
    assertEquals("VA 1 Or1", reader.line());
    read(next, "k1");
    assertEquals("v", next.line());
    next.write("HD Ok1 c1\r\n");
    assertEquals("HD Ok1 c1", writer.line());
  }
}
