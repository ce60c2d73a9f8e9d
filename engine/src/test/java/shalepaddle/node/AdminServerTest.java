package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shalepaddle.config.OperatorFile;
import shalepaddle.settings.JsonObject;
import shalepaddle.testkit.ScriptedPeer;

/** The admin server of a node that serves, over loopback sockets. */
@Timeout(60)
class AdminServerTest {
  private static final String ADMIN_SERVER = "},\"management\":\"127.0.0.1:0\",\"unused\":{";

  private NodeFixture rig;
  private String member;

  @BeforeEach
  void start() throws Exception {
    rig = new NodeFixture(ADMIN_SERVER);
    member = "s-" + rig.cache.getLocalPort();
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  private record Answer(int status, String body) {}

  private ScriptedPeer caller() throws IOException {
    return ScriptedPeer.connect(rig.node.adminAddress());
  }

  private Answer call(String method, String target) throws IOException {
    try (ScriptedPeer caller = caller()) {
      caller.write(method + " " + target + " HTTP/1.1\r\nHost: node\r\n\r\n");
      return answer(caller);
    }
  }

  private static Answer answer(ScriptedPeer caller) throws IOException {
    int status = Integer.parseInt(caller.line().split(" ", 0)[1]);
    int length = 0;
    for (String line = caller.line(); !line.isEmpty(); line = caller.line()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(15).strip());
      }
    }
    String body = new String(caller.bytes(length), StandardCharsets.UTF_8);
    assertTrue(caller.ended(), "one call to a connection");
    return new Answer(status, body);
  }

  private long metric(String name) throws Exception {
    for (String line : call("GET", "/api/telemetry").body().lines().toList()) {
      if (line.startsWith(name + " ")) {
        return Long.parseLong(line.substring(name.length() + 1));
      }
    }
    throw new AssertionError("no " + name);
  }

  /** Metrics may be some milliseconds old. */
  private void awaitMetric(String name, long value) throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (metric(name) != value) {
      assertTrue(System.nanoTime() < until, name + " is " + metric(name));
    }
  }

  @ParameterizedTest
  @CsvSource({
    "GET, /api/ready, 200",
    "GET, /api/telemetry, 200",
    "GET, /api/ready?x=y, 200",
    "GET, /api, 404",
    "GET, /, 404",
    "GET, /api/ready/, 404",
    "POST, /api/ready, 405",
    "PUT, /api/telemetry, 405",
    "GET, /api/exclude?member=s-1, 405",
    "DELETE, /api/include?member=s-1, 405",
    "PUT, /api/exclude, 400",
    "PUT, /api/exclude?member=, 400",
    "PUT, /api/exclude?member=a&member=b, 400",
    "PUT, /api/exclude?member=%, 400",
    "PUT, /api/exclude?member=s-1, 404",
    "PUT, /api/include?member=s-1, 404",
  })
  void answersEachCall(String method, String target, int status) throws Exception {
    assertEquals(status, call(method, target).status());
  }

  @Test
  void answersMalformedRequests() throws Exception {
    for (String text :
        List.of(
            "nonsense\r\n\r\n",
            "GET /" + "x".repeat(2000) + " HTTP/1.1\r\n\r\n",
            "GET /api/ready HTTP/1.1\r\nA: " + "x".repeat(9000) + "\r\n\r\n",
            "PUT /api/include HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + "x".repeat(9000))) {
      try (ScriptedPeer caller = caller()) {
        caller.write(text);
        assertTrue(answer(caller).status() / 100 == 4);
      }
    }
    assertEquals(200, call("GET", "/api/ready").status());
  }

  @Test
  void answersWhileOtherCallersKeepConnectionsOpen() throws Exception {
    List<ScriptedPeer> stuck = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      stuck.add(caller().write(i % 2 == 0 ? "" : "PUT /api/exclude?memb"));
      if (i % 10 == 9) {
        long before = System.nanoTime();
        assertEquals(200, call("GET", "/api/ready").status());
        assertTrue(System.nanoTime() - before < 1_000_000_000L);
      }
    }
    for (ScriptedPeer peer : stuck) {
      peer.close();
    }
  }

  @Test
  void answersDuringEventLoopStall() throws Exception {
    rig.pausedWhile(
        1,
        () -> {
          assertEquals(200, call("GET", "/api/ready").status());
          assertEquals(200, call("GET", "/api/telemetry").status());
          // A command that was not run in time is never run.
          assertEquals(503, call("PUT", "/api/exclude?member=" + member).status());
        });
    rig.settled();
    assertEquals(0, metric("app_ejected"));
  }

  @Test
  void countsEachRequestOnceAndEachAttempt() throws Exception {
    assertEquals(0, metric("app_results{service=\"read\",disposition=\"succeeded\"}"));
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    awaitMetric("app_outstanding", 1);
    assertEquals(1, metric("app_forwards"));
    cache.write("VA 1 Oa1\r\nx\r\n");
    client.line();
    client.line();
    awaitMetric("app_results{service=\"read\",disposition=\"succeeded\"}", 1);
    awaitMetric("app_outstanding", 0);
    client.write(NodeFixture.put("a2", 2000, "v"));
    cache.line();
    cache.line();
    cache.write("SERVER_ERROR failed\r\n");
    client.line();
    awaitMetric("app_results{service=\"put\",disposition=\"aborted\"}", 1);
    client.write(NodeFixture.put("a3", 2000, "v"));
    cache.line();
    cache.line();
    cache.write("SERVER_ERROR busy\r\n");
    client.line();
    awaitMetric("app_results{service=\"put\",disposition=\"declined\"}", 1);
    // A request whose client disconnects ends as well.
    client.write(NodeFixture.get("a4", 2000));
    cache.line();
    awaitMetric("app_outstanding", 1);
    client.close();
    awaitMetric("app_outstanding", 0);
    assertEquals(4, metric("app_forwards"));
    assertEquals(1, metric("app_discovered"));
  }

  @Test
  void sendsNothingToExcludedServerUntilIncluded() throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    assertEquals(200, call("PUT", "/api/exclude?member=" + member).status());
    assertEquals(200, call("PUT", "/api/exclude?member=" + member).status());
    assertEquals(1, metric("app_ejected"));
    // An open attempt ends; its connection is not used again.
    cache.write("VA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.line());
    client.line();
    assertTrue(cache.ended());
    client.write(NodeFixture.get("a2", 2000));
    assertEquals("SERVER_ERROR busy", client.line());
    // The list changes nothing, whether it removes the server or adds it again.
    ScriptedPeer discovery = rig.acceptDiscovery();
    while (!discovery.line().isEmpty()) {}
    discovery.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    discovery.write(NodeFixture.chunk(NodeFixture.members(8, true) + "\n"));
    awaitMetric("app_discovered", 0);
    assertEquals(200, call("PUT", "/api/exclude?member=" + member).status());
    discovery.write(
        NodeFixture.chunk(NodeFixture.members(9, true, rig.cache.getLocalPort()) + "\n"));
    awaitMetric("app_discovered", 1);
    client.write(NodeFixture.get("a3", 2000));
    assertEquals("SERVER_ERROR busy", client.line());
    assertEquals(200, call("PUT", "/api/include?member=" + member).status());
    assertEquals(0, metric("app_ejected"));
    // It is in slow start: within a second it may get nothing from a node without load.
    for (int i = 0; ; i++) {
      client.write(NodeFixture.get("b" + i, 2000) + "mn\r\n");
      rig.cache.setSoTimeout(100);
      try {
        ScriptedPeer again = rig.acceptCache();
        assertTrue(again.line().contains("Ob" + i + " "));
        again.write("VA 1 Ob" + i + "\r\nx\r\n");
        assertEquals("VA 1 Ob" + i, client.line());
        break;
      } catch (SocketTimeoutException e) {
        assertEquals("SERVER_ERROR busy", client.line());
        assertEquals("MN", client.line());
        assertTrue(i < 100);
      }
    }
  }

  @Test
  void doesNotSendQueuedRequestToExcludedServer() throws Exception {
    ScriptedPeer client = rig.client();
    ScriptedPeer[] caches = new ScriptedPeer[1];
    rig.pausedWhile(
        1,
        () -> {
          client.write(NodeFixture.get("a1", 2000));
          Thread call =
              new Thread(
                  () -> {
                    try {
                      call("PUT", "/api/exclude?member=" + member);
                    } catch (IOException e) {
                      throw new IllegalStateException(e);
                    }
                  });
          call.start();
          call.join(300);
        });
    assertEquals("SERVER_ERROR busy", client.line());
    rig.cache.setSoTimeout(200);
    try {
      caches[0] = rig.acceptCache();
      assertTrue(caches[0].ended(), "nothing was sent on it");
    } catch (IOException e) {
      // No connection at all.
    }
  }

  @Test
  void appliesNewSettingsToNewRequestsAlone(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("config.json");
    String text = rig.configText(ADMIN_SERVER);
    JsonObject shape = JsonObject.parse(text);
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.put("a1", 2000, "v"));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    cache.line();
    // The class is idempotent from now on, has two attempts, and another class is added.
    String next =
        text.replace(
                "{\"name\":\"put\",\"effect\":\"fragile\"",
                "{\"name\":\"more\",\"effect\":\"fragile\",\"slo\":1,\"give-up\":1},"
                    + "{\"name\":\"put\",\"effect\":\"retryable\"")
            .replace("\"attempts-cap\":1", "\"attempts-cap\":2");
    Files.writeString(file, next.substring(0, next.length() - 40));
    rig.node.reload(file.toString(), shape);
    awaitMetric("app_sighup_rejected", 1);
    Files.writeString(file, next);
    rig.node.reload(file.toString(), shape);
    awaitMetric("app_sighup_applied", 1);
    assertEquals(0, metric("app_results{service=\"more\",disposition=\"succeeded\"}"));
    // An open request is not idempotent as before: it may have run, so it has failed.
    cache.write("SERVER_ERROR failed\r\n");
    assertEquals("SERVER_ERROR failed", client.line());
    client.write(NodeFixture.put("a2", 2000, "v"));
    for (int attempt = 0; attempt < 2; attempt++) {
      assertTrue(cache.line().contains("Oa2 "));
      cache.line();
      cache.write("SERVER_ERROR failed\r\n");
    }
    assertEquals("SERVER_ERROR busy", client.line());
    client.write("mg key v Oa3 Pc=more,d=900\r\n");
    cache.line();
    cache.write("VA 1 Oa3\r\nx\r\n");
    assertEquals("VA 1 Oa3", client.line());
    client.line();
    // A removed class is accepted for a moment, then rejected, and its metrics stay.
    Files.writeString(file, text);
    rig.node.reload(file.toString(), shape);
    awaitMetric("app_sighup_applied", 2);
    client.write("mg key v Oa4 Pc=more,d=900\r\n");
    cache.line();
    cache.write("VA 1 Oa4\r\nx\r\n");
    assertEquals("VA 1 Oa4", client.line());
    client.line();
    int tries = 0;
    for (String answer = "VA"; answer.startsWith("VA"); tries++) {
      String id = "b" + tries;
      client.write("mg key v O" + id + " Pc=more,d=900\r\nmn\r\n");
      Thread.sleep(100);
      cache.write("VA 1 O" + id + "\r\nx\r\n");
      answer = client.line();
      while (!client.line().equals("MN")) {}
      if (answer.startsWith("VA")) {
        cache.line();
      }
      assertTrue(tries < 50);
    }
    awaitMetric("app_results{service=\"more\",disposition=\"succeeded\"}", 1 + tries);
  }

  @Test
  void isNotReadyWhileDraining() throws Exception {
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.line();
    Thread drain = new Thread(rig.node::drain);
    drain.start();
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (call("GET", "/api/ready").status() != 503) {
      assertTrue(System.nanoTime() < until);
    }
    awaitMetric("app_outstanding", 1);
    cache.write("VA 1 Oa1\r\nx\r\n");
    client.line();
    client.close();
    drain.join();
  }

  @Test
  void namesAddressThatIsInUse() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String port = ":" + taken.getLocalPort();
      String settings = ADMIN_SERVER.replace(":0\"", port + "\"");
      try (Node node = new Node(rig.config(settings), OperatorFile.DEFAULTS)) {
        IOException e = assertThrows(IOException.class, node::start);
        assertTrue(e.getMessage().contains(port) && e.getMessage().contains("management"));
      }
    }
  }
}
