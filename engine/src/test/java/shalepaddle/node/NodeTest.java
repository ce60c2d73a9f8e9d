package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.codec.meta.MetaLine;
import shalepaddle.testkit.ScriptedPeer;

/** What clients and cache servers see of a node, over loopback sockets. */
class NodeTest {
  private NodeFixture rig;

  @BeforeEach
  void start() throws Exception {
    rig = new NodeFixture();
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  private static int deadline(String command) {
    return Integer.parseInt(command.replaceAll(".*[,P]d=(\\d+).*", "$1"));
  }

  private static void assertPassedOn(String sent, String got) {
    String line = sent.substring(0, sent.indexOf("\r\n"));
    assertEquals(line.replaceAll("d=\\d+", "d="), got.replaceAll("d=\\d+", "d="));
    assertTrue(deadline(got) > 0 && deadline(got) <= deadline(line), got);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " h1", " h0", " h0 Z", " h1 Linflight=7,queue=2,util=0.61"})
  void servesARead(String notes) throws Exception {
    ScriptedPeer client = rig.client();
    String command = "mg key v Oa1 Pc=read,t=acme,d=2000,x=y\r\n";
    client.write(command);
    ScriptedPeer cache = rig.acceptCache();
    assertPassedOn(command, cache.line());
    cache.write("VA 7 Oa1" + notes + "\r\nval\r\nue\r\n");
    assertEquals("VA 7 Oa1", client.line());
    assertEquals("val\r\nue\r\n", text(client.bytes(9)));
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  @Test
  void servesAWrite() throws Exception {
    ScriptedPeer client = rig.client();
    String command = "ms key 4 Oa1 Pc=put,d=2000,k=77\r\n\r\n\r\n\r\n";
    client.write(command);
    ScriptedPeer cache = rig.acceptCache();
    assertPassedOn(command, cache.line());
    assertEquals("\r\n\r\n\r\n", text(cache.bytes(6)));
    cache.write("HD Oa1 c99\r\n");
    assertEquals("HD Oa1 c99", client.line());
  }

  @Test
  void takesACommandInSingleBytes() throws Exception {
    ScriptedPeer client = rig.client();
    for (byte b : NodeFixture.put("a1", 2000, "hello").getBytes(StandardCharsets.ISO_8859_1)) {
      client.write(new byte[] {b});
    }
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.line().startsWith("ms key 5 Oa1 "));
    assertEquals("hello\r\n", text(cache.bytes(7)));
    for (byte b : "HD Oa1 c1\r\n".getBytes(StandardCharsets.ISO_8859_1)) {
      cache.write(new byte[] {b});
    }
    assertEquals("HD Oa1 c1", client.line());
  }

  @Test
  void answersPipelinedCommandsInTheirOrder() throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 2000) + "mn\r\n" + NodeFixture.get("a2", 2000));
    ScriptedPeer first = rig.acceptCache();
    ScriptedPeer second = rig.acceptCache();
    String id = first.line().contains("Oa1 ") ? "a1" : "a2";
    ScriptedPeer late = id.equals("a1") ? first : second;
    ScriptedPeer early = id.equals("a1") ? second : first;
    assertTrue(second.line().contains(id.equals("a1") ? "Oa2 " : "Oa1 "));
    early.write("VA 1 Oa2\r\n2\r\n");
    late.write("VA 1 Oa1\r\n1\r\n");
    assertEquals("VA 1 Oa1", client.line());
    assertEquals("1", client.line());
    assertEquals("MN", client.line());
    assertEquals("VA 1 Oa2", client.line());
    assertEquals("2", client.line());
  }

  @Test
  void usesAConnectionAgain() throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    for (int i = 1; i < 4; i++) {
      assertTrue(cache.line().contains("Oa" + i + " "));
      cache.write("VA 1 Oa" + i + "\r\nx\r\n");
      assertEquals("VA 1 Oa" + i, client.line());
      assertEquals("x", client.line());
      client.write(NodeFixture.get("a" + (i + 1), 2000));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "read, SERVER_ERROR busy, SERVER_ERROR busy",
    "put, SERVER_ERROR busy, SERVER_ERROR busy",
    "read, SERVER_ERROR failed, SERVER_ERROR busy",
    "put, SERVER_ERROR failed, SERVER_ERROR failed",
    "put, SERVER_ERROR out of memory, SERVER_ERROR failed",
    "put, HD Oother c1, SERVER_ERROR failed",
    "put, nonsense, SERVER_ERROR failed",
    "put, VA -1 Oa1, SERVER_ERROR failed",
    "put, HD c1, SERVER_ERROR failed",
    "read, VA 1 Oother, SERVER_ERROR busy",
  })
  void refusesOnlyWhatProvablyHasNotRun(String service, String reply, String answer)
      throws Exception {
    ScriptedPeer client = rig.client();
    client.write(
        service.equals("put") ? NodeFixture.put("a1", 2000, "v") : NodeFixture.get("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    cache.write(reply + "\r\n");
    assertEquals(answer, client.line());
  }

  @Test
  void endsAConnectionWhoseRepliesDoNotMatch() throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    cache.write("VA 1 Oa2\r\nx\r\n");
    assertTrue(cache.ended());
    assertEquals("SERVER_ERROR busy", client.line());
  }

  @Test
  void refusesAWriteThatFoundNoServer() throws Exception {
    rig.cache.close();
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.put("a1", 2000, "v"));
    assertEquals("SERVER_ERROR busy", client.line());
  }

  @Test
  void failsAWriteWhoseConnectionBreaksAfterItsLastByte() throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.put("a1", 2000, "v"));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    cache.line();
    cache.reset();
    assertEquals("SERVER_ERROR failed", client.line());
  }

  @Test
  void goesOnUsingAServerThatRunsAndBreaksSingleConnections() throws Exception {
    ScriptedPeer client = rig.client();
    for (int i = 0; i < 4; i++) {
      client.write(NodeFixture.get("a" + i, 2000));
      ScriptedPeer cache = rig.acceptCache();
      assertTrue(cache.line().contains("Oa" + i + " "));
      cache.reset();
      assertEquals("SERVER_ERROR busy", client.line());
    }
    client.write(NodeFixture.get("b", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    cache.write("VA 1 Ob\r\nx\r\n");
    assertEquals("VA 1 Ob", client.line());
  }

  @Test
  void aConnectionTurnedDownIsNotTakenForTheLimit() throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 20_000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    rig.cache.close();
    client.write(NodeFixture.get("a2", 20_000));
    assertTrue(cache.line().startsWith("mg key v Oa2 "), "behind the first, as none else came up");
    try (ServerSocket again = NodeFixture.listen(rig.cache.getLocalPort())) {
      client.write(NodeFixture.get("a3", 20_000));
      try (ScriptedPeer other = new ScriptedPeer(again.accept())) {
        assertTrue(other.line().startsWith("mg key v Oa3 "));
      }
    }
  }

  @Test
  void tellsARefusedClientWhenToComeBackWhereItMay() throws Exception {
    rig.close();
    rig =
        new NodeFixture(
            """
            ,"caps":{"attempts-cap":1,"parallel-tries":true,"multiplex":100,"conn-idle":60,\
            "connect-timeout":0.15,"retry-after":true,"max-retry-after":0.4}""");
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    cache.write("SERVER_ERROR busy\r\n");
    assertEquals("SERVER_ERROR busy", client.line(), "nothing is measured yet");
    // Rates are measured over a second.
    Thread.sleep(1100);
    client.write(NodeFixture.get("a2", 2000));
    cache.line();
    cache.write("SERVER_ERROR busy\r\n");
    assertEquals("SERVER_ERROR busy 400", client.line(), "nothing is answered: as long as it may");
  }

  @Test
  void learnsThatPausesBreakConnections() throws Exception {
    ScriptedPeer client = rig.client();
    String kept = null;
    for (int i = 0; i < 100; i++) {
      client.write(NodeFixture.get("a" + i, 2000));
      ScriptedPeer cache = rig.acceptCache();
      cache.line();
      cache.write("VA 1 Oa" + i + "\r\nx\r\n");
      assertEquals("VA 1 Oa" + i, client.line());
      client.line();
      // A pause is what it is about.
      Thread.sleep(20);
      client.write(NodeFixture.get("b" + i, 2000));
      kept = cache.line();
      if (kept == null) {
        ScriptedPeer other = rig.acceptCache();
        assertTrue(other.line().contains("Ob" + i + " "));
        other.write("VA 1 Ob" + i + "\r\nx\r\n");
        assertEquals("VA 1 Ob" + i, client.line());
        return;
      }
      cache.reset();
      assertEquals("SERVER_ERROR busy", client.line());
    }
    assertNull(kept, "requests go on being written after pauses");
  }

  @Test
  void refusesAWriteWhoseConnectionBreaksBeforeItsLastByte() throws Exception {
    rig.close();
    rig =
        new NodeFixture(
            """
            ,"instances":28,"caps":{"attempts-cap":1,"parallel-tries":true,"multiplex":100,\
            "connect-timeout":0.15,"conn-idle":60}""");
    ScriptedPeer client = rig.client();
    // On one connection, more than the buffers can hold while its other end reads nothing: the
    // system lets them grow to 4 MB, about what one client can have open.
    int writes = 64;
    for (int i = 0; i < writes; i++) {
      client.write(NodeFixture.put("a" + i, 20_000, "v".repeat(1 << 16)));
    }
    ScriptedPeer last = rig.client();
    for (int i = 0; i < writes; i++) {
      last.write(NodeFixture.put("b" + i, 20_000, "v".repeat(1 << 16)));
    }
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    ScriptedPeer other = rig.client();
    other.write("mn\r\n");
    assertEquals("MN", other.line());
    // What the node reads only after the reset finds no server.
    rig.cache.close();
    cache.reset();
    assertEquals("SERVER_ERROR failed", client.line());
    for (int i = 1; i < writes; i++) {
      assertTrue(client.line().startsWith("SERVER_ERROR "));
      assertTrue(last.line().startsWith("SERVER_ERROR "));
    }
    assertEquals("SERVER_ERROR busy", last.line());
  }

  @Test
  void stopsWaitingInTimeAndGivesTheAttemptUp() throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.put("a1", 200, "v") + NodeFixture.get("a2", 200));
    ScriptedPeer cache = rig.acceptCache();
    ScriptedPeer other = rig.acceptCache();
    assertEquals("SERVER_ERROR failed", client.line());
    assertEquals("SERVER_ERROR busy", client.line());
    cache.line();
    other.line();
    while (cache.line() != null) {
      // The write's value.
    }
    while (other.line() != null) {
      // Likewise.
    }
    client.write("mn\r\n");
    assertEquals("MN", client.line());
  }

  @Test
  void callsAnAttemptOffWhenItsClientLeaves() throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 60_000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    client.close();
    assertTrue(cache.ended());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = ';',
      value = {
        "nonsense ; ERROR",
        "mg ; CLIENT_ERROR bad key",
        "mg key v Pc=read,d=5 ; CLIENT_ERROR bad or missing id",
        "mg key v O Pc=read,d=5 ; CLIENT_ERROR bad or missing id",
        "mg key v Oa1 ; CLIENT_ERROR bad or missing class",
        "mg key v Oa1 Pd=5 ; CLIENT_ERROR bad or missing class",
        "mg key v Oa1 Pc=reads,d=500 ; CLIENT_ERROR bad or missing class",
        "mg key v Oa1 Pc=read ; CLIENT_ERROR bad or missing deadline",
        "mg key v Oa1 Pc=read,d=60001 ; CLIENT_ERROR bad or missing deadline",
        "mg key v Oa1 Pc=read,d=-5 ; CLIENT_ERROR bad or missing deadline",
        "mg key v Oa1 Pc=read,d=soon ; CLIENT_ERROR bad or missing deadline",
        "mg key v Oa1 Pc=read,d=0 ; CLIENT_ERROR bad or missing deadline",
      })
  void turnsBadCommandsDownAndGoesOn(String command, String answer) throws Exception {
    ScriptedPeer client = rig.client();
    client.write(command + "\r\nmn\r\n");
    assertEquals(answer, client.line());
    assertEquals("MN", client.line());
  }

  @Test
  void skipsTheValueOfABadWrite() throws Exception {
    ScriptedPeer client = rig.client();
    client.write("ms key 4 Pc=put,d=5\r\nmn\r\n\r\nmn\r\n");
    assertEquals("CLIENT_ERROR bad or missing id", client.line());
    assertEquals("MN", client.line());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ms key -1 Oa1 Pc=put,d=5\r\n",
        "ms key 4194305 Oa1 Pc=put,d=5\r\n",
        "ms key five Oa1 Pc=put,d=5\r\n",
        "ms key 99999999999 Oa1 Pc=put,d=5\r\n",
        "ms key 1 Oa1 Pc=put,d=5\r\nvalue\r\n",
        "mn\n",
        "\n",
      })
  void endsAConnectionWhoseBytesCannotBeToldApart(String bytes) throws Exception {
    ScriptedPeer client = rig.client();
    ScriptedPeer other = rig.client();
    client.write(bytes);
    assertTrue(client.line().startsWith("CLIENT_ERROR "));
    assertNull(client.line());
    other.write("mn\r\n");
    assertEquals("MN", other.line());
  }

  @Test
  void endsAConnectionWithAnEndlessLine() throws Exception {
    ScriptedPeer client = rig.client();
    client.write("\0".repeat(MetaLine.MAX_LINE_BYTES));
    assertEquals("CLIENT_ERROR line too long", client.line());
    assertNull(client.line());
  }

  @Test
  void givingUpOneAttemptDoesNotBreakTheOthersOnItsConnection() throws Exception {
    rig.close();
    rig = new NodeFixture(1);
    ScriptedPeer leaving = rig.client();
    leaving.write(NodeFixture.get("a1", 60_000));
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.line().contains("Oa1 "));
    ScriptedPeer staying = rig.client();
    staying.write(NodeFixture.get("a2", 60_000));
    assertTrue(cache.line().contains("Oa2 "));
    leaving.close();
    // The next request finds the connection no longer in use: the attempt on it has been given up.
    ScriptedPeer later = rig.client();
    later.write(NodeFixture.get("a3", 60_000));
    assertTrue(rig.acceptCache().line().contains("Oa3 "));
    cache.write("VA 1 Oa1\r\n1\r\nVA 1 Oa2\r\n2\r\n");
    assertEquals("VA 1 Oa2", staying.line());
    assertTrue(cache.ended());
  }

  @Test
  void servesOnInADrainAndThenEndsEachConnectionAfterItsAnswer() throws Exception {
    ScriptedPeer idle = rig.client();
    idle.write("mn\r\n");
    assertEquals("MN", idle.line());
    ScriptedPeer owed = rig.client();
    owed.write(NodeFixture.get("a1", 20_000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    ScriptedPeer fresh = rig.client();
    Thread drain = new Thread(rig.node::drain);
    drain.start();
    // Clients that connect while the restart is under way are still taken.
    ScriptedPeer late = rig.client();
    late.write("mn\r\n");
    assertEquals("MN", late.line());
    fresh.write("mn\r\n");
    assertEquals("MN", fresh.line());
    rig.awaitClosedListener();
    // Guards against leaving clients to nobody: what is connected is served for a while yet, with
    // as much time as is left.
    idle.write(NodeFixture.get("a2", 20_000));
    ScriptedPeer other = rig.acceptCache();
    assertTrue(deadline(other.line()) < 3000);
    other.write("VA 1 Oa2\r\nx\r\n");
    assertEquals("VA 1 Oa2", idle.line());
    assertEquals("x", idle.line());
    assertTrue(idle.ended());
    assertTrue(fresh.ended());
    assertTrue(late.ended());
    // Guards against closing with the answer not flushed.
    cache.write("VA 5 Oa1\r\nhello\r\n");
    assertEquals("VA 5 Oa1", owed.line());
    assertEquals("hello", owed.line());
    assertTrue(owed.ended());
    drain.join(ScriptedPeer.PATIENCE_MILLIS);
    assertFalse(drain.isAlive());
  }

  @Test
  void closesAClientThatStopsHalfway() throws Exception {
    ScriptedPeer client = rig.client();
    client.write("mg ke");
    assertTrue(client.ended());
  }

  @Test
  void doesNotLetASecondCopySpoilTheNextRequest() throws Exception {
    rig.close();
    rig = new NodeFixture(1);
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 5000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    // Behind it waits a write, which may go out once: with the copy unread it would meet it.
    cache.write("VA 1 Oa1\r\nx\r\nVA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.line());
    assertEquals("x", client.line());
    client.write(NodeFixture.put("a2", 5000, "v"));
    ScriptedPeer next = rig.acceptCache();
    next.line();
    next.line();
    next.write("HD Oa2 c1\r\n");
    assertEquals("HD Oa2 c1", client.line());
    assertTrue(cache.ended());
  }

  @ParameterizedTest
  @ValueSource(strings = {"noise", "noise\r\n", "SERVER_ERROR busy\r\n", "VA 9 O"})
  void closesAConnectionWithBytesBehindTheLastAnswer(String noise) throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 5000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    cache.write("VA 1 Oa1\r\nx\r\n" + noise);
    assertEquals("VA 1 Oa1", client.line());
    assertEquals("x", client.line());
    assertTrue(cache.ended());
    client.write(NodeFixture.put("a2", 5000, "v"));
    ScriptedPeer next = rig.acceptCache();
    next.line();
    next.line();
    next.write("HD Oa2 c1\r\n");
    assertEquals("HD Oa2 c1", client.line());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "VA 9 Oa1\r\nx\r\n",
        "VA 1 Oa1",
        "VA 3000000000 Oa1\r\nxxxx",
        "VA 65537 Oa1\r\nxxxx",
        "VA 1 Oother\r\nx\r\n",
        "HD Oa1 c1\r\n",
        "SERVER_ERROR\r\n",
        "\0\1\2",
      })
  void asksAnotherServerInTimeWhenAnAnswerIsSpoilt(String spoilt) throws Exception {
    try (ServerSocket second = NodeFixture.listen()) {
      rig.close();
      rig =
          new NodeFixture(
              """
              ,"caps":{"attempts-cap":2,"parallel-tries":true,"multiplex":32,\
              "connect-timeout":0.15,"conn-idle":60}""");
      ScriptedPeer discovery = rig.acceptDiscovery();
      discovery.line();
      String list =
          NodeFixture.members(8, true, rig.cache.getLocalPort(), second.getLocalPort()) + "\n";
      discovery.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
      assertTrue(rig.acceptDiscovery().line().contains("since=8 "));
      ScriptedPeer client = rig.client();
      client.write(NodeFixture.get("a1", 60_000));
      ScriptedPeer bad = NodeFixture.acceptEither(rig.cache, second);
      bad.line();
      bad.write(spoilt);
      try (ScriptedPeer good = NodeFixture.acceptEither(rig.cache, second)) {
        assertTrue(good.line().contains("Oa1 "));
        good.write("VA 1 Oa1\r\ny\r\n");
        assertEquals("VA 1 Oa1", client.line());
        assertEquals("y", client.line());
      }
      assertTrue(bad.ended());
    }
  }

  @Test
  void closesAClientThatGoesOnMakingErrors() throws Exception {
    ScriptedPeer client = rig.client();
    client.write("nonsense\r\n".repeat(300));
    String line = client.line();
    while (line != null) {
      assertEquals("ERROR", line);
      line = client.line();
    }
    ScriptedPeer other = rig.client();
    other.write("mn\r\n");
    assertEquals("MN", other.line());
  }
}
