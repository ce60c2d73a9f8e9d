package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.settings.JsonObject;
import shalepaddle.testkit.ScriptedPeer;

/** How a node follows the list of servers, over loopback sockets. */
class DiscoveryTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** Reads a request and returns its first line. */
  private static String call(ScriptedPeer discovery) throws IOException {
    String first = discovery.line();
    while (!discovery.line().isEmpty()) {
      // The other header lines.
    }
    return first;
  }

  private static final String WATCH = "GET /catalog/members?follow=1&since=%d HTTP/1.1";

  @Test
  void followsWatchFromKnownVersion() throws Exception {
    try (NodeFixture rig = new NodeFixture();
        ServerSocket second = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      second.setSoTimeout(ScriptedPeer.PATIENCE_MILLIS);
      ScriptedPeer discovery = rig.acceptDiscovery();
      assertEquals(WATCH.formatted(7), call(discovery));
      String list = NodeFixture.members(8, true, second.getLocalPort()) + "\n";
      discovery.write(
          HEAD
              + NodeFixture.chunk(list.substring(0, 9))
              + NodeFixture.chunk(list.substring(9))
              + NodeFixture.chunk("\n"));
      serveOne(rig, second, "moved");
      // A change may bring another address for a server that is known.
      String change =
          "{\"version\":9,\"full\":false,\"servers\":["
              + NodeFixture.member("s-" + second.getLocalPort(), rig.cache.getLocalPort(), "active")
              + "]}\n";
      discovery.write(NodeFixture.chunk(change));
      serveOne(rig, rig.cache, "back");
      // Only the version with which a node polls again shows that it is up to date.
      discovery.close();
      assertEquals(WATCH.formatted(9), call(rig.acceptDiscovery()));
    }
  }

  /**
   * Sends requests until one comes to the server; those that the old list sent elsewhere time out.
   */
  private static void serveOne(NodeFixture rig, ServerSocket server, String id) throws Exception {
    server.setSoTimeout(100);
    for (int i = 0; i < ScriptedPeer.PATIENCE_MILLIS / 100; i++) {
      try (ScriptedPeer client = ScriptedPeer.connect(rig.address)) {
        client.write(NodeFixture.get(id + i, 60_000));
        ScriptedPeer cache = new ScriptedPeer(server.accept());
        String line = cache.line();
        if (line == null) {
          // Opened for a request before the last list, and ended with it.
          cache.close();
          continue;
        }
        assertTrue(line.contains("O" + id + i + " "), line);
        cache.write("VA 0 O" + id + i + "\r\n\r\n");
        assertEquals("VA 0 O" + id + i, client.line());
        cache.close();
        return;
      } catch (java.net.SocketTimeoutException e) {
        // Not yet.
      }
    }
    throw new AssertionError("no request came to the server of the new list");
  }

  @Test
  void retriesAfterFailedCall() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      ScriptedPeer first = rig.acceptDiscovery();
      call(first);
      first.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      ScriptedPeer second = rig.acceptDiscovery();
      call(second);
      second.write(HEAD + NodeFixture.chunk("{\"version\":\n"));
      ScriptedPeer third = rig.acceptDiscovery();
      call(third);
      third.write(HEAD + "0\r\n\r\n");
      assertEquals(WATCH.formatted(7), call(rig.acceptDiscovery()));
    }
  }

  @Test
  void endsSilentWatch() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      ScriptedPeer discovery = rig.acceptDiscovery();
      call(discovery);
      discovery.write(
          HEAD + NodeFixture.chunk(NodeFixture.members(8, true, rig.cache.getLocalPort()) + "\n"));
      assertTrue(discovery.ended());
      assertEquals(WATCH.formatted(8), call(rig.acceptDiscovery()));
    }
  }

  @Test
  void keepsWatchOpenWhereListsArePushed() throws Exception {
    try (NodeFixture rig = new NodeFixture(",\"discovery\":\"push\"")) {
      ScriptedPeer discovery = rig.acceptDiscovery();
      assertEquals(WATCH.formatted(7), call(discovery));
      discovery.reset();
      assertEquals(WATCH.formatted(7), call(rig.acceptDiscovery()));
    }
  }

  @Test
  void callsServiceOfNewConfiguration(@TempDir Path folder) throws Exception {
    Path config = folder.resolve("config.json");
    try (NodeFixture rig = new NodeFixture();
        ServerSocket second = NodeFixture.listen()) {
      ScriptedPeer first = rig.acceptDiscovery();
      call(first);
      first.write(
          HEAD + NodeFixture.chunk(NodeFixture.members(8, true, rig.cache.getLocalPort()) + "\n"));
      serveOne(rig, rig.cache, "before");
      String old = "127.0.0.1:" + rig.discovery.getLocalPort();
      String text = rig.configText("").replace(old, "127.0.0.1:" + second.getLocalPort());
      // Half a file, and one without an address, leave what was there in force.
      Files.writeString(config, text.substring(0, text.length() / 2));
      rig.node.reload(config.toString(), JsonObject.parse(text));
      Files.writeString(config, text.replaceAll("127.0.0.1:\\d+", "nowhere"));
      rig.node.reload(config.toString(), JsonObject.parse(text));
      serveOne(rig, rig.cache, "between");
      first.close();
      ScriptedPeer again = rig.acceptDiscovery();
      assertEquals(WATCH.formatted(8), call(again));
      Files.writeString(config, text);
      rig.node.reload(config.toString(), JsonObject.parse(text));
      try (ScriptedPeer moved = new ScriptedPeer(second.accept())) {
        assertEquals(WATCH.formatted(8), call(moved));
        assertTrue(again.ended());
        moved.write(
            HEAD
                + NodeFixture.chunk(NodeFixture.members(9, true, rig.cache.getLocalPort()) + "\n"));
        serveOne(rig, rig.cache, "after");
      }
    }
  }

  @Test
  void sharesConnectionWhenNoOtherCanBeOpened() throws Exception {
    ServerSocket moved = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    try (NodeFixture rig = new NodeFixture(3)) {
      moved.setSoTimeout(ScriptedPeer.PATIENCE_MILLIS);
      rig.client().write(NodeFixture.get("a1", 60_000));
      assertTrue(rig.acceptCache().line().contains("Oa1 "));
      // The server has moved: the connection to its old address only completes open attempts.
      ScriptedPeer discovery = rig.acceptDiscovery();
      call(discovery);
      String server =
          NodeFixture.member("s-" + rig.cache.getLocalPort(), moved.getLocalPort(), "active");
      discovery.write(
          HEAD + NodeFixture.chunk("{\"version\":8,\"full\":true,\"servers\":[" + server + "]}\n"));
      discovery.close();
      assertEquals(WATCH.formatted(8), call(rig.acceptDiscovery()));
      rig.client().write(NodeFixture.get("a2", 60_000));
      ScriptedPeer second = new ScriptedPeer(moved.accept());
      assertTrue(second.line().contains("Oa2 "));
      // Prevents an endless loop over attempts that find no connection of their own.
      moved.close();
      rig.client().write(NodeFixture.get("a3", 60_000));
      assertTrue(second.line().contains("Oa3 "));
    }
  }

  private static String server(int port, String state) {
    return NodeFixture.member("s-" + port, port, state);
  }

  private static String list(int version, String... servers) {
    return "{\"version\":%d,\"full\":true,\"servers\":[%s]}"
        .formatted(version, String.join(",", servers));
  }

  @Test
  void readsListsThatAreIndentedAndSplitAnywhere() throws Exception {
    try (NodeFixture rig = new NodeFixture();
        ServerSocket second = NodeFixture.listen()) {
      ScriptedPeer discovery = rig.acceptDiscovery();
      call(discovery);
      String indented =
          list(8, server(second.getLocalPort(), "active"))
              .replace("{", "{\n  ")
              .replace(",\"", ",\r\n\t\"")
              .replace("]", "\n]");
      discovery.write(HEAD);
      for (int i = 0; i < indented.length(); i++) {
        discovery.write(NodeFixture.chunk(indented.substring(i, i + 1)));
      }
      serveOne(rig, second, "indented");
      // Two in one piece with blank lines between, and the beginning of a third.
      String third = list(11, server(second.getLocalPort(), "active"));
      discovery.write(
          NodeFixture.chunk(
              "\n\n"
                  + list(9, server(second.getLocalPort(), "active"))
                  + "\n\n  \n"
                  + list(10, server(rig.cache.getLocalPort(), "active"))
                  + third.substring(0, 20)));
      serveOne(rig, rig.cache, "several");
      discovery.write(NodeFixture.chunk(third.substring(20)));
      serveOne(rig, second, "rest");
      discovery.close();
      assertEquals(WATCH.formatted(11), call(rig.acceptDiscovery()));
    }
  }

  /** Discovery that is silent until it is called again; returns after how many milliseconds. */
  private static long millisToNextCall(NodeFixture rig, ScriptedPeer discovery, String last)
      throws Exception {
    discovery.write(last);
    long since = System.nanoTime();
    call(rig.acceptDiscovery());
    return (System.nanoTime() - since) / 1_000_000;
  }

  @ParameterizedTest
  @ValueSource(strings = {"ask", "push"})
  void reopensSilentWatchBeforeMissedChangesAreBinding(String mode) throws Exception {
    try (NodeFixture rig = new NodeFixture(",\"discovery\":\"" + mode + "\"")) {
      ScriptedPeer discovery = rig.acceptDiscovery();
      call(discovery);
      long millis = millisToNextCall(rig, discovery, HEAD + NodeFixture.chunk("\n"));
      // Binding after 6 s, of which a queued call may take 2.
      assertTrue(millis > 2500 && millis < 3950, "asked anew after " + millis + " ms");
    }
  }

  @Test
  void endsCallWhoseListIsNeverComplete() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      ScriptedPeer discovery = rig.acceptDiscovery();
      call(discovery);
      discovery.write(HEAD + NodeFixture.chunk("{\"version\":8,"));
      long since = System.nanoTime();
      for (int i = 0; i < 5; i++) {
        if (rig.hasAnotherDiscoveryCall(800)) {
          assertTrue(System.nanoTime() - since < 3_950_000_000L);
          return;
        }
        discovery.write(NodeFixture.chunk("\n"));
      }
      throw new AssertionError("it goes on waiting for the end");
    }
  }

  /** A list that an agent gets when discovery returns is binding at once. */
  @ParameterizedTest
  @ValueSource(doubles = {2, 0.4})
  void retriesSilentAgentWithinDrainGrace(double grace) throws Exception {
    String settings =
        ",\"discovery\":\"push\",\"contract\":{\"ask-within\":10,\"drain-grace\":%s,"
            + "\"cold-from\":0.1,\"warm-within\":1}";
    try (NodeFixture rig = new NodeFixture(settings.formatted(grace))) {
      // Those before it were made while the node started.
      ScriptedPeer discovery = rig.acceptDiscovery();
      call(discovery);
      long millis = millisToNextCall(rig, discovery, "");
      assertTrue(millis < 750 * grace, "asked anew after " + millis + " ms");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"ask", "push"})
  void rejectsListWithDuplicateEntry(String mode) throws Exception {
    try (NodeFixture rig = new NodeFixture(",\"discovery\":\"" + mode + "\"")) {
      ScriptedPeer discovery = rig.acceptDiscovery();
      call(discovery);
      int port = rig.cache.getLocalPort();
      discovery.write(
          HEAD + NodeFixture.chunk(list(8, server(port, "active"), server(port, "leaving"))));
      assertEquals(WATCH.formatted(7), call(rig.acceptDiscovery()));
      serveOne(rig, rig.cache, "kept");
    }
  }

  @Test
  void olderListDoesNotReviveDrainingServer() throws Exception {
    try (NodeFixture rig = new NodeFixture();
        ServerSocket other = NodeFixture.listen()) {
      int leaving = rig.cache.getLocalPort();
      ScriptedPeer discovery = rig.acceptDiscovery();
      call(discovery);
      discovery.write(
          HEAD
              + NodeFixture.chunk(
                  list(9, server(leaving, "leaving"), server(other.getLocalPort(), "active"))));
      serveOne(rig, other, "drained");
      discovery.close();
      ScriptedPeer second = rig.acceptDiscovery();
      assertEquals(WATCH.formatted(9), call(second));
      second.write(HEAD + NodeFixture.chunk(list(8, server(leaving, "active"))));
      second.close();
      ScriptedPeer third = rig.acceptDiscovery();
      assertEquals(WATCH.formatted(8), call(third), "it was taken");
      ScriptedPeer client = rig.client();
      client.write(NodeFixture.get("late", 200));
      assertTrue(client.line().startsWith("SERVER_ERROR"));
      rig.cache.setSoTimeout(20);
      assertThrows(java.net.SocketTimeoutException.class, rig.cache::accept);
      // A server that has started since is back, however old the list.
      third.write(
          HEAD
              + NodeFixture.chunk(
                  list(7, server(leaving, "active").replace("started_ms\":0", "started_ms\":9"))));
      serveOne(rig, rig.cache, "again");
    }
  }

  /** Where lists are polled the service queues calls: a repeated one is at the end of the queue. */
  @Test
  void doesNotRepeatQueuedCall() throws Exception {
    String contract =
        ",\"contract\":{\"ask-within\":1,\"drain-grace\":2,\"cold-from\":0.1,\"warm-within\":1}";
    try (NodeFixture rig = new NodeFixture(contract)) {
      ScriptedPeer discovery = rig.acceptDiscovery();
      call(discovery);
      assertFalse(rig.hasAnotherDiscoveryCall(2500));
      discovery.write(
          HEAD + NodeFixture.chunk(NodeFixture.members(8, true, rig.cache.getLocalPort()) + "\n"));
      serveOne(rig, rig.cache, "told");
    }
  }

  /** The new service's list is binding 4 s after the signal. */
  @Test
  void failuresOfOldServiceDoNotDelayCallsToNewOne(@TempDir Path folder) throws Exception {
    String busy = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    Path config = folder.resolve("config.json");
    try (NodeFixture rig = new NodeFixture();
        ServerSocket second = NodeFixture.listen()) {
      for (int i = 0; i < 3; i++) {
        ScriptedPeer old = rig.acceptDiscovery();
        call(old);
        old.write(busy);
      }
      String old = "127.0.0.1:" + rig.discovery.getLocalPort();
      String text = rig.configText("").replace(old, "127.0.0.1:" + second.getLocalPort());
      Files.writeString(config, text);
      rig.node.reload(config.toString(), JsonObject.parse(text));
      ScriptedPeer moved = new ScriptedPeer(second.accept());
      call(moved);
      moved.write(busy);
      second.setSoTimeout(1500);
      call(new ScriptedPeer(second.accept()));
    }
  }

  /** An agent's list is binding from the first moment on, whatever the configuration contains. */
  @Test
  void listensOnceAgentsListIsApplied() throws Exception {
    try (ServerSocket agent = NodeFixture.listen();
        ServerSocket left = NodeFixture.listen();
        ServerSocket ready = NodeFixture.listen()) {
      Thread answers =
          new Thread(
              () -> {
                try {
                  ScriptedPeer call = new ScriptedPeer(agent.accept());
                  call(call);
                  // Long compared with the time from listening to a first request.
                  Thread.sleep(100);
                  call.write(
                      HEAD
                          + NodeFixture.chunk(
                              list(
                                  8,
                                  server(left.getLocalPort(), "leaving"),
                                  server(ready.getLocalPort(), "active"))));
                } catch (IOException | InterruptedException e) {
                  // The assertion below fails then.
                }
              });
      answers.start();
      try (NodeFixture rig = new NodeFixture(agent, left, ",\"discovery\":\"push\"")) {
        ScriptedPeer client = rig.client().write(NodeFixture.get("first", 5000));
        try (ScriptedPeer cache = new ScriptedPeer(ready.accept())) {
          assertTrue(cache.line().contains("Ofirst "));
          cache.write("VA 1 Ofirst\r\nx\r\n");
          assertEquals("VA 1 Ofirst", client.line());
        }
      }
      answers.join();
    }
  }

  /** An agent that is silent, since discovery is down, delays a start only briefly. */
  @Test
  void listensThoughAgentIsSilent() throws Exception {
    try (ServerSocket agent = NodeFixture.listen();
        ServerSocket known = NodeFixture.listen();
        NodeFixture rig = new NodeFixture(agent, known, ",\"discovery\":\"push\"")) {
      ScriptedPeer client = rig.client().write("mn\r\n");
      assertEquals("MN", client.line());
    }
  }
}
