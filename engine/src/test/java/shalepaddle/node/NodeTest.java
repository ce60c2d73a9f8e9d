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

/** Tests the protocol between a node, its clients and cache servers, over loopback sockets. */
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

  private static int deadlineMillis(String command) {
    return Integer.parseInt(command.replaceAll(".*[,P]d=(\\d+).*", "$1"));
  }

  private static void assertForwarded(String sentCommand, String receivedLine) {
    String line = sentCommand.substring(0, sentCommand.indexOf("\r\n"));
    assertEquals(line.replaceAll("d=\\d+", "d="), receivedLine.replaceAll("d=\\d+", "d="));
    assertTrue(
        deadlineMillis(receivedLine) > 0 && deadlineMillis(receivedLine) <= deadlineMillis(line),
        receivedLine);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", " h1", " h0", " h0 Z", " h1 Linflight=7,queue=2,util=0.61"})
  void servesReadWithAnyResponseFlags(String responseFlags) throws Exception {
    ScriptedPeer client = rig.connectClient();
    String command = "mg key v Oa1 Pc=read,t=acme,d=2000,x=y\r\n";
    client.write(command);
    ScriptedPeer cache = rig.acceptCache();
    assertForwarded(command, cache.readLine());
    cache.write("VA 7 Oa1" + responseFlags + "\r\nval\r\nue\r\n");
    assertEquals("VA 7 Oa1", client.readLine());
    assertEquals("val\r\nue\r\n", toText(client.readBytes(9)));
  }

  private static String toText(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  @Test
  void forwardsWriteAndReturnsItsReceipt() throws Exception {
    ScriptedPeer client = rig.connectClient();
    String command = "ms key 4 Oa1 Pc=put,d=2000,k=77\r\n\r\n\r\n\r\n";
    client.write(command);
    ScriptedPeer cache = rig.acceptCache();
    assertForwarded(command, cache.readLine());
    assertEquals("\r\n\r\n\r\n", toText(cache.readBytes(6)));
    cache.write("HD Oa1 c99\r\n");
    assertEquals("HD Oa1 c99", client.readLine());
  }

  @Test
  void readsCommandSentInSingleBytes() throws Exception {
    ScriptedPeer client = rig.connectClient();
    for (byte b :
        NodeFixture.writeCommand("a1", 2000, "hello").getBytes(StandardCharsets.ISO_8859_1)) {
      client.write(new byte[] {b});
    }
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.readLine().startsWith("ms key 5 Oa1 "));
    assertEquals("hello\r\n", toText(cache.readBytes(7)));
    for (byte b : "HD Oa1 c1\r\n".getBytes(StandardCharsets.ISO_8859_1)) {
      cache.write(new byte[] {b});
    }
    assertEquals("HD Oa1 c1", client.readLine());
  }

  @Test
  void answersPipelinedCommandsInOrder() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(
        NodeFixture.readCommand("a1", 2000) + "mn\r\n" + NodeFixture.readCommand("a2", 2000));
    ScriptedPeer firstConnection = rig.acceptCache();
    ScriptedPeer secondConnection = rig.acceptCache();
    String id = firstConnection.readLine().contains("Oa1 ") ? "a1" : "a2";
    ScriptedPeer connectionAnsweredLast = id.equals("a1") ? firstConnection : secondConnection;
    ScriptedPeer connectionAnsweredFirst = id.equals("a1") ? secondConnection : firstConnection;
    assertTrue(secondConnection.readLine().contains(id.equals("a1") ? "Oa2 " : "Oa1 "));
    connectionAnsweredFirst.write("VA 1 Oa2\r\n2\r\n");
    connectionAnsweredLast.write("VA 1 Oa1\r\n1\r\n");
    assertEquals("VA 1 Oa1", client.readLine());
    assertEquals("1", client.readLine());
    assertEquals("MN", client.readLine());
    assertEquals("VA 1 Oa2", client.readLine());
    assertEquals("2", client.readLine());
  }

  @Test
  void reusesServerConnectionForNextRequest() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    for (int i = 1; i < 4; i++) {
      assertTrue(cache.readLine().contains("Oa" + i + " "));
      cache.write("VA 1 Oa" + i + "\r\nx\r\n");
      assertEquals("VA 1 Oa" + i, client.readLine());
      assertEquals("x", client.readLine());
      client.write(NodeFixture.readCommand("a" + (i + 1), 2000));
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
  void failsWriteThatMayHaveRunAndRejectsOtherRequests(
      String serviceClass, String reply, String expectedAnswer) throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(
        serviceClass.equals("put")
            ? NodeFixture.writeCommand("a1", 2000, "v")
            : NodeFixture.readCommand("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    cache.write(reply + "\r\n");
    assertEquals(expectedAnswer, client.readLine());
  }

  @Test
  void closesServerConnectionWhenResponseIdDoesNotMatch() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    cache.write("VA 1 Oa2\r\nx\r\n");
    assertTrue(cache.closedByPeer());
    assertEquals("SERVER_ERROR busy", client.readLine());
  }

  @Test
  void rejectsWriteWhenServerIsUnreachable() throws Exception {
    rig.cache.close();
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.writeCommand("a1", 2000, "v"));
    assertEquals("SERVER_ERROR busy", client.readLine());
  }

  @Test
  void failsWriteWhenConnectionBreaksAfterLastByte() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.writeCommand("a1", 2000, "v"));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    cache.readLine();
    cache.reset();
    assertEquals("SERVER_ERROR failed", client.readLine());
  }

  @Test
  void keepsUsingServerThatResetsSingleConnections() throws Exception {
    ScriptedPeer client = rig.connectClient();
    for (int i = 0; i < 4; i++) {
      client.write(NodeFixture.readCommand("a" + i, 2000));
      ScriptedPeer cache = rig.acceptCache();
      assertTrue(cache.readLine().contains("Oa" + i + " "));
      cache.reset();
      assertEquals("SERVER_ERROR busy", client.readLine());
    }
    client.write(NodeFixture.readCommand("b", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    cache.write("VA 1 Ob\r\nx\r\n");
    assertEquals("VA 1 Ob", client.readLine());
  }

  @Test
  void doesNotTreatRefusedConnectAsConnectionLimit() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 20_000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    rig.cache.close();
    client.write(NodeFixture.readCommand("a2", 20_000));
    assertTrue(
        cache.readLine().startsWith("mg key v Oa2 "),
        "a2 was not sent on the open connection, though no other could be opened");
    try (ServerSocket restartedServer = NodeFixture.listen(rig.cache.getLocalPort())) {
      client.write(NodeFixture.readCommand("a3", 20_000));
      try (ScriptedPeer newConnection = new ScriptedPeer(restartedServer.accept())) {
        assertTrue(newConnection.readLine().startsWith("mg key v Oa3 "));
      }
    }
  }

  @Test
  void sendsRetryAfterToRejectedClientWhenAllowed() throws Exception {
    rig.close();
    rig =
        new NodeFixture(
            """
            ,"caps":{"attempts-cap":1,"parallel-tries":true,"multiplex":100,"conn-idle":60,\
            "connect-timeout":0.15,"retry-after":true,"max-retry-after":0.4}""");
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    cache.write("SERVER_ERROR busy\r\n");
    assertEquals(
        "SERVER_ERROR busy", client.readLine(), "a Retry-After was sent before rates are measured");
    // Rates are measured over a second.
    Thread.sleep(1100);
    client.write(NodeFixture.readCommand("a2", 2000));
    cache.readLine();
    cache.write("SERVER_ERROR busy\r\n");
    assertEquals(
        "SERVER_ERROR busy 400",
        client.readLine(),
        "the Retry-After is not max-retry-after, 400 ms, though the server serves no request");
  }

  @Test
  void stopsReusingConnectionsThatBreakAfterPauses() throws Exception {
    ScriptedPeer client = rig.connectClient();
    String lineOnReusedConnection = null;
    for (int i = 0; i < 100; i++) {
      client.write(NodeFixture.readCommand("a" + i, 2000));
      ScriptedPeer cache = rig.acceptCache();
      cache.readLine();
      cache.write("VA 1 Oa" + i + "\r\nx\r\n");
      assertEquals("VA 1 Oa" + i, client.readLine());
      client.readLine();
      // The connection is idle for this time before it is used again.
      Thread.sleep(20);
      client.write(NodeFixture.readCommand("b" + i, 2000));
      lineOnReusedConnection = cache.readLine();
      if (lineOnReusedConnection == null) {
        ScriptedPeer newConnection = rig.acceptCache();
        assertTrue(newConnection.readLine().contains("Ob" + i + " "));
        newConnection.write("VA 1 Ob" + i + "\r\nx\r\n");
        assertEquals("VA 1 Ob" + i, client.readLine());
        return;
      }
      cache.reset();
      assertEquals("SERVER_ERROR busy", client.readLine());
    }
    assertNull(lineOnReusedConnection, "requests are still sent on connections that were idle");
  }

  @Test
  void rejectsWriteWhenConnectionBreaksBeforeLastByte() throws Exception {
    rig.close();
    rig =
        new NodeFixture(
            """
            ,"instances":28,"caps":{"attempts-cap":1,"parallel-tries":true,"multiplex":100,\
            "connect-timeout":0.15,"conn-idle":60}""");
    ScriptedPeer client = rig.connectClient();
    // While the server reads nothing, the writes exceed the socket buffers of one connection. The
    // system lets these grow to 4 MB, about as much as the values of all the writes that one client
    // can have pending, so two clients write.
    int writesPerClient = 64;
    for (int i = 0; i < writesPerClient; i++) {
      client.write(NodeFixture.writeCommand("a" + i, 20_000, "v".repeat(1 << 16)));
    }
    ScriptedPeer lastClient = rig.connectClient();
    for (int i = 0; i < writesPerClient; i++) {
      lastClient.write(NodeFixture.writeCommand("b" + i, 20_000, "v".repeat(1 << 16)));
    }
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    ScriptedPeer otherClient = rig.connectClient();
    otherClient.write("mn\r\n");
    assertEquals("MN", otherClient.readLine());
    // For writes that the node reads only after the reset, there is no server to connect to.
    rig.cache.close();
    cache.reset();
    assertEquals("SERVER_ERROR failed", client.readLine());
    for (int i = 1; i < writesPerClient; i++) {
      assertTrue(client.readLine().startsWith("SERVER_ERROR "));
      assertTrue(lastClient.readLine().startsWith("SERVER_ERROR "));
    }
    assertEquals("SERVER_ERROR busy", lastClient.readLine());
  }

  @Test
  void answersAtDeadlineAndClosesConnectionsWhenServerIsSilent() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.writeCommand("a1", 200, "v") + NodeFixture.readCommand("a2", 200));
    ScriptedPeer cache = rig.acceptCache();
    ScriptedPeer otherConnection = rig.acceptCache();
    assertEquals("SERVER_ERROR failed", client.readLine());
    assertEquals("SERVER_ERROR busy", client.readLine());
    cache.readLine();
    otherConnection.readLine();
    while (cache.readLine() != null) {
      // Skips the value of the write, if the write was sent on this connection.
    }
    while (otherConnection.readLine() != null) {
      // Skips the value of the write, if the write was sent on this connection.
    }
    client.write("mn\r\n");
    assertEquals("MN", client.readLine());
  }

  @Test
  void cancelsAttemptWhenClientDisconnects() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 60_000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    client.close();
    assertTrue(cache.closedByPeer());
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
  void answersBadCommandWithErrorAndReadsNextCommand(String command, String expectedAnswer)
      throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(command + "\r\nmn\r\n");
    assertEquals(expectedAnswer, client.readLine());
    assertEquals("MN", client.readLine());
  }

  @Test
  void skipsValueOfBadWrite() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write("ms key 4 Pc=put,d=5\r\nmn\r\n\r\nmn\r\n");
    assertEquals("CLIENT_ERROR bad or missing id", client.readLine());
    assertEquals("MN", client.readLine());
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
  void closesConnectionWhenCommandsCannotBeDelimited(String commandText) throws Exception {
    ScriptedPeer client = rig.connectClient();
    ScriptedPeer otherClient = rig.connectClient();
    client.write(commandText);
    assertTrue(client.readLine().startsWith("CLIENT_ERROR "));
    assertNull(client.readLine());
    otherClient.write("mn\r\n");
    assertEquals("MN", otherClient.readLine());
  }

  @Test
  void closesConnectionWhenLineIsTooLong() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write("\0".repeat(MetaLine.MAX_LINE_BYTES));
    assertEquals("CLIENT_ERROR line too long", client.readLine());
    assertNull(client.readLine());
  }

  @Test
  void cancelsAttemptWithoutBreakingOthersOnItsConnection() throws Exception {
    rig.close();
    rig = new NodeFixture(1);
    ScriptedPeer leavingClient = rig.connectClient();
    leavingClient.write(NodeFixture.readCommand("a1", 60_000));
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.readLine().contains("Oa1 "));
    ScriptedPeer stayingClient = rig.connectClient();
    stayingClient.write(NodeFixture.readCommand("a2", 60_000));
    assertTrue(cache.readLine().contains("Oa2 "));
    leavingClient.close();
    // The next request goes on a new connection: one with a cancelled attempt is not used again.
    ScriptedPeer laterClient = rig.connectClient();
    laterClient.write(NodeFixture.readCommand("a3", 60_000));
    assertTrue(rig.acceptCache().readLine().contains("Oa3 "));
    cache.write("VA 1 Oa1\r\n1\r\nVA 1 Oa2\r\n2\r\n");
    assertEquals("VA 1 Oa2", stayingClient.readLine());
    assertTrue(cache.closedByPeer());
  }

  @Test
  void drainServesRequestsAndClosesConnectionsAfterResponses() throws Exception {
    ScriptedPeer idleClient = rig.connectClient();
    idleClient.write("mn\r\n");
    assertEquals("MN", idleClient.readLine());
    ScriptedPeer waitingClient = rig.connectClient();
    waitingClient.write(NodeFixture.readCommand("a1", 20_000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    ScriptedPeer unusedClient = rig.connectClient();
    Thread drainThread = new Thread(rig.node::drain);
    drainThread.start();
    unusedClient.write("mn\r\n");
    assertEquals("MN", unusedClient.readLine());
    // Guards against requests that are lost if the process is held up until it is killed: no
    // connection stays open for further ones.
    assertTrue(unusedClient.closedByPeer());
    assertTrue(idleClient.closedByPeer());
    // Clients that connect at the beginning of the restart are still accepted and served, with
    // deadlines shortened to the time left until the drain must end.
    ScriptedPeer pingingClient = rig.connectClient();
    pingingClient.write("mn\r\n");
    assertEquals("MN", pingingClient.readLine());
    assertTrue(pingingClient.closedByPeer());
    ScriptedPeer lateClient = rig.connectClient();
    lateClient.write(NodeFixture.readCommand("a2", 20_000));
    ScriptedPeer newConnection = rig.acceptCache();
    assertTrue(deadlineMillis(newConnection.readLine()) < 3000);
    rig.awaitClosedListener();
    newConnection.write("VA 1 Oa2\r\nx\r\n");
    assertEquals("VA 1 Oa2", lateClient.readLine());
    assertEquals("x", lateClient.readLine());
    assertTrue(lateClient.closedByPeer());
    // Guards against closing a connection before its response is flushed.
    cache.write("VA 5 Oa1\r\nhello\r\n");
    assertEquals("VA 5 Oa1", waitingClient.readLine());
    assertEquals("hello", waitingClient.readLine());
    assertTrue(waitingClient.closedByPeer());
    drainThread.join(ScriptedPeer.TIMEOUT_MILLIS);
    assertFalse(drainThread.isAlive());
  }

  @Test
  void closesClientThatStopsSendingWithinCommand() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write("mg ke");
    assertTrue(client.closedByPeer());
  }

  @Test
  void closesServerConnectionAfterDuplicateResponse() throws Exception {
    rig.close();
    rig = new NodeFixture(1);
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 5000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    // The duplicate must not be read as the response to the write below, which is sent only once.
    cache.write("VA 1 Oa1\r\nx\r\nVA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.readLine());
    assertEquals("x", client.readLine());
    client.write(NodeFixture.writeCommand("a2", 5000, "v"));
    ScriptedPeer newConnection = rig.acceptCache();
    newConnection.readLine();
    newConnection.readLine();
    newConnection.write("HD Oa2 c1\r\n");
    assertEquals("HD Oa2 c1", client.readLine());
    assertTrue(cache.closedByPeer());
  }

  @ParameterizedTest
  @ValueSource(strings = {"noise", "noise\r\n", "SERVER_ERROR busy\r\n", "VA 9 O"})
  void closesServerConnectionWithBytesAfterLastResponse(String trailingBytes) throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 5000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    cache.write("VA 1 Oa1\r\nx\r\n" + trailingBytes);
    assertEquals("VA 1 Oa1", client.readLine());
    assertEquals("x", client.readLine());
    assertTrue(cache.closedByPeer());
    client.write(NodeFixture.writeCommand("a2", 5000, "v"));
    ScriptedPeer newConnection = rig.acceptCache();
    newConnection.readLine();
    newConnection.readLine();
    newConnection.write("HD Oa2 c1\r\n");
    assertEquals("HD Oa2 c1", client.readLine());
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
  void retriesOnOtherServerWhenResponseIsMalformed(String malformedResponse) throws Exception {
    try (ServerSocket secondServer = NodeFixture.listen()) {
      rig.close();
      rig =
          new NodeFixture(
              """
              ,"caps":{"attempts-cap":2,"parallel-tries":true,"multiplex":32,\
              "connect-timeout":0.15,"conn-idle":60}""");
      ScriptedPeer discovery = rig.acceptDiscovery();
      discovery.readLine();
      String list =
          NodeFixture.serverListJson(8, true, rig.cache.getLocalPort(), secondServer.getLocalPort())
              + "\n";
      discovery.write("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
      assertTrue(rig.acceptDiscovery().readLine().contains("since=8 "));
      ScriptedPeer client = rig.connectClient();
      client.write(NodeFixture.readCommand("a1", 60_000));
      ScriptedPeer brokenConnection = NodeFixture.acceptOnEitherServer(rig.cache, secondServer);
      brokenConnection.readLine();
      brokenConnection.write(malformedResponse);
      try (ScriptedPeer workingConnection =
          NodeFixture.acceptOnEitherServer(rig.cache, secondServer)) {
        assertTrue(workingConnection.readLine().contains("Oa1 "));
        workingConnection.write("VA 1 Oa1\r\ny\r\n");
        assertEquals("VA 1 Oa1", client.readLine());
        assertEquals("y", client.readLine());
      }
      assertTrue(brokenConnection.closedByPeer());
    }
  }

  @Test
  void closesClientAfterRepeatedErrors() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write("nonsense\r\n".repeat(300));
    String line = client.readLine();
    while (line != null) {
      assertEquals("ERROR", line);
      line = client.readLine();
    }
    ScriptedPeer otherClient = rig.connectClient();
    otherClient.write("mn\r\n");
    assertEquals("MN", otherClient.readLine());
  }
}
