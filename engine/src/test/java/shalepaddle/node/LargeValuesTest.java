package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.testkit.ScriptedPeer;

/** Values that are too large to be held, over loopback sockets. */
@Timeout(60)
class LargeValuesTest {
  private static final int MOST = 4 << 20;

  private NodeFixture rig;

  @BeforeEach
  void start() throws Exception {
    rig = new NodeFixture(2);
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  private static byte[] value(int length) {
    byte[] value = new byte[length];
    new Random(length).nextBytes(value);
    return value;
  }

  private static byte[] reply(String id, byte[] value) {
    byte[] head =
        ("VA " + value.length + " O" + id + " h1\r\n").getBytes(StandardCharsets.US_ASCII);
    byte[] reply = Arrays.copyOf(head, head.length + value.length + 2);
    System.arraycopy(value, 0, reply, head.length, value.length);
    reply[reply.length - 2] = '\r';
    reply[reply.length - 1] = '\n';
    return reply;
  }

  /** Writes on a thread of its own: the other end may not read for a while. */
  private static Thread write(ScriptedPeer peer, byte[] bytes) {
    Thread thread =
        new Thread(
            () -> {
              try {
                peer.write(bytes);
              } catch (IOException e) {
                // Given up by the other end.
              }
            });
    thread.start();
    return thread;
  }

  private ScriptedPeer asked(ScriptedPeer client, String id) throws Exception {
    client.write(NodeFixture.get(id, 2000));
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.line().contains("O" + id + " "));
    return cache;
  }

  @ParameterizedTest
  @ValueSource(ints = {65536, 65537, 100_000, 1 << 20, MOST})
  void servesAValueWholeAndTheNextOneBehindIt(int length) throws Exception {
    byte[] value = value(length);
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = asked(client, "a1");
    write(cache, reply("a1", value));
    assertEquals("VA " + length + " Oa1", client.line());
    assertArrayEquals(value, client.bytes(length));
    assertEquals("", client.line());
    client.write(NodeFixture.get("a2", 2000));
    assertTrue(cache.line().contains("Oa2 "), "the connection is used again");
    cache.write("VA 1 Oa2\r\nx\r\n");
    assertEquals("VA 1 Oa2", client.line());
  }

  @Test
  void passesOnWhatComesBeforeTheRestIsThereAndPastTheDeadline() throws Exception {
    byte[] value = value(200_000);
    byte[] reply = reply("a1", value);
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 400));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    cache.write(Arrays.copyOf(reply, 50_000));
    assertEquals("VA 200000 Oa1", client.line());
    assertArrayEquals(Arrays.copyOf(value, 40_000), client.bytes(40_000));
    TimeUnit.MILLISECONDS.sleep(700);
    cache.write(Arrays.copyOfRange(reply, 50_000, reply.length));
    assertArrayEquals(
        Arrays.copyOfRange(value, 40_000, value.length), client.bytes(value.length - 40_000));
    assertEquals("", client.line());
  }

  @Test
  void takesAReplyCutAtEachByteOfItsHeadAndItsSeams() throws Exception {
    byte[] value = value(70_000);
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = null;
    int head = reply("b00", value).length - value.length - 2;
    int[] seams = {16_383, 16_384, 16_385, value.length - 1, value.length, value.length + 1};
    for (int cut = 1; cut < head + seams.length; cut++) {
      String id = "b%02d".formatted(cut);
      byte[] reply = reply(id, value);
      int at = cut < head ? cut : head + seams[cut - head];
      client.write(NodeFixture.get(id, 5000));
      cache = cache == null ? rig.acceptCache() : cache;
      cache.line();
      cache.write(Arrays.copyOf(reply, at));
      rig.settled();
      cache.write(Arrays.copyOfRange(reply, at, reply.length));
      assertEquals("VA 70000 O" + id, client.line());
      assertArrayEquals(value, client.bytes(value.length));
      assertEquals("", client.line());
    }
  }

  @Test
  void aServerThatBreaksOffEndsItsClientsConnectionShort() throws Exception {
    byte[] reply = reply("a1", value(1 << 20));
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = asked(client, "a1");
    cache.write(Arrays.copyOf(reply, 300_000));
    cache.close();
    assertEquals("VA 1048576 Oa1", client.line());
    int got = 0;
    try {
      got = client.bytes(1 << 20).length;
    } catch (IOException e) {
      // Reset: it can tell as well.
    }
    assertTrue(got < 1 << 20, got + " bytes");
  }

  @Test
  void whatBreaksBeforeItIsPassedOnIsAnsweredInWords() throws Exception {
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = asked(client, "a1");
    cache.write(Arrays.copyOf(reply("a1", value(1 << 20)), 10_000));
    cache.close();
    assertEquals("SERVER_ERROR busy", client.line());
  }

  @Test
  void aClientThatLeavesEndsTheServersConnection() throws Exception {
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = asked(client, "a1");
    Thread writing = write(cache, reply("a1", value(MOST)));
    assertEquals("VA 4194304 Oa1", client.line());
    client.close();
    assertTrue(cache.ended());
    writing.join();
    // All else goes on.
    ScriptedPeer other = rig.client();
    ScriptedPeer again = asked(other, "a2");
    again.write("VA 1 Oa2\r\nx\r\n");
    assertEquals("VA 1 Oa2", other.line());
  }

  @Test
  void aLargeAnswerWaitsForTheOneBeforeIt() throws Exception {
    byte[] value = value(500_000);
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 5000) + NodeFixture.get("a2", 5000));
    ScriptedPeer one = rig.acceptCache();
    ScriptedPeer other = rig.acceptCache();
    boolean first = one.line().contains("Oa1 ");
    other.line();
    write(first ? other : one, reply("a2", value));
    rig.settled();
    (first ? one : other).write("VA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.line());
    assertEquals("x", client.line());
    assertEquals("VA 500000 Oa2", client.line());
    assertArrayEquals(value, client.bytes(value.length));
  }

  @Test
  void oneByteMoreThanTheMostIsNoAnswer() throws Exception {
    ScriptedPeer client = rig.client();
    ScriptedPeer cache = asked(client, "a1");
    cache.write("VA " + (MOST + 1) + " Oa1\r\n");
    assertEquals("SERVER_ERROR busy", client.line());
    client.write("ms key " + (MOST + 1) + " Oa2 Pc=put,d=900\r\n");
    assertTrue(client.line().startsWith("CLIENT_ERROR "));
  }

  @Test
  void passesOnALargeWriteThatComesSlowly() throws Exception {
    byte[] value = value(MOST);
    ScriptedPeer client = rig.client();
    client.write("ms key " + MOST + " Oa1 Pc=put,d=2000\r\n");
    // Longer than a command may take that does not go on.
    for (int i = 0; i < 16; i++) {
      client.write(Arrays.copyOfRange(value, i * (MOST / 16), (i + 1) * (MOST / 16)));
      TimeUnit.MILLISECONDS.sleep(160);
    }
    client.write("\r\n");
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.line().startsWith("ms key " + MOST + " Oa1 "));
    assertArrayEquals(value, cache.bytes(MOST));
    assertEquals("", cache.line());
    cache.write("HD Oa1 c1\r\n");
    assertEquals("HD Oa1 c1", client.line());
  }
}
