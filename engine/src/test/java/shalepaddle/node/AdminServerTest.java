package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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

/** The admin server of a running node, over loopback sockets. */
@Timeout(60)
class AdminServerTest {
  private static final String ADMIN_SERVER_SETTING =
      "},\"management\":\"127.0.0.1:0\",\"unused\":{";

  private NodeFixture rig;
  private AdminClient admin;
  private String serverId;

  @BeforeEach
  void start() throws Exception {
    rig = new NodeFixture(ADMIN_SERVER_SETTING);
    admin = new AdminClient(rig.node.adminAddress());
    serverId = "s-" + rig.cache.getLocalPort();
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  private ScriptedPeer connectCaller() throws IOException {
    return ScriptedPeer.connect(rig.node.adminAddress());
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
  void answersWithStatusForMethodAndTarget(String method, String target, int status)
      throws Exception {
    assertEquals(status, admin.call(method, target).status());
  }

  @Test
  void answersMalformedRequestsWithClientError() throws Exception {
    for (String text :
        List.of(
            "nonsense\r\n\r\n",
            "GET /" + "x".repeat(2000) + " HTTP/1.1\r\n\r\n",
            "GET /api/ready HTTP/1.1\r\nA: " + "x".repeat(9000) + "\r\n\r\n",
            "PUT /api/include HTTP/1.1\r\nContent-Length: 9000\r\n\r\n" + "x".repeat(9000))) {
      try (ScriptedPeer caller = connectCaller()) {
        caller.write(text);
        assertTrue(AdminClient.readResponse(caller).status() / 100 == 4);
      }
    }
    assertEquals(200, admin.call("GET", "/api/ready").status());
  }

  @Test
  void answersWhileOtherCallersKeepConnectionsOpen() throws Exception {
    List<ScriptedPeer> openCallers = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      openCallers.add(connectCaller().write(i % 2 == 0 ? "" : "PUT /api/exclude?memb"));
      if (i % 10 == 9) {
        long startedAtNanos = System.nanoTime();
        assertEquals(200, admin.call("GET", "/api/ready").status());
        assertTrue(System.nanoTime() - startedAtNanos < 1_000_000_000L);
      }
    }
    for (ScriptedPeer peer : openCallers) {
      peer.close();
    }
  }

  @Test
  void answersDuringEventLoopStall() throws Exception {
    rig.stallLoopWhile(
        1,
        () -> {
          assertEquals(200, admin.call("GET", "/api/ready").status());
          assertEquals(200, admin.call("GET", "/api/telemetry").status());
          // A command that times out is never run.
          assertEquals(503, admin.call("PUT", "/api/exclude?member=" + serverId).status());
        });
    rig.awaitLoopTurns();
    assertEquals(0, admin.readMetric("app_ejected"));
  }

  @Test
  void metricsCountEachRequestAndEachAttemptOnce() throws Exception {
    assertEquals(0, admin.readMetric("app_results{service=\"read\",disposition=\"succeeded\"}"));
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    admin.awaitMetric("app_outstanding", 1);
    assertEquals(1, admin.readMetric("app_forwards"));
    cache.write("VA 1 Oa1\r\nx\r\n");
    client.readLine();
    client.readLine();
    admin.awaitMetric("app_results{service=\"read\",disposition=\"succeeded\"}", 1);
    admin.awaitMetric("app_outstanding", 0);
    client.write(NodeFixture.writeCommand("a2", 2000, "v"));
    cache.readLine();
    cache.readLine();
    cache.write("SERVER_ERROR failed\r\n");
    client.readLine();
    admin.awaitMetric("app_results{service=\"put\",disposition=\"aborted\"}", 1);
    client.write(NodeFixture.writeCommand("a3", 2000, "v"));
    cache.readLine();
    cache.readLine();
    cache.write("SERVER_ERROR busy\r\n");
    client.readLine();
    admin.awaitMetric("app_results{service=\"put\",disposition=\"declined\"}", 1);
    // A request also ends when its client disconnects.
    client.write(NodeFixture.readCommand("a4", 2000));
    cache.readLine();
    admin.awaitMetric("app_outstanding", 1);
    client.close();
    admin.awaitMetric("app_outstanding", 0);
    assertEquals(4, admin.readMetric("app_forwards"));
    assertEquals(1, admin.readMetric("app_discovered"));
  }

  @Test
  void sendsNothingToExcludedServerUntilIncluded() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    assertEquals(200, admin.call("PUT", "/api/exclude?member=" + serverId).status());
    assertEquals(200, admin.call("PUT", "/api/exclude?member=" + serverId).status());
    assertEquals(1, admin.readMetric("app_ejected"));
    // The attempt in flight completes; its connection is not used again.
    cache.write("VA 1 Oa1\r\nx\r\n");
    assertEquals("VA 1 Oa1", client.readLine());
    client.readLine();
    assertTrue(cache.closedByPeer());
    client.write(NodeFixture.readCommand("a2", 2000));
    assertEquals("SERVER_ERROR busy", client.readLine());
    // The exclusion outlasts lists that remove the server and add it again.
    ScriptedPeer discovery = rig.acceptDiscovery();
    while (!discovery.readLine().isEmpty()) {}
    discovery.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    discovery.write(NodeFixture.chunk(NodeFixture.serverListJson(8, true) + "\n"));
    admin.awaitMetric("app_discovered", 0);
    assertEquals(200, admin.call("PUT", "/api/exclude?member=" + serverId).status());
    discovery.write(
        NodeFixture.chunk(NodeFixture.serverListJson(9, true, rig.cache.getLocalPort()) + "\n"));
    admin.awaitMetric("app_discovered", 1);
    client.write(NodeFixture.readCommand("a3", 2000));
    assertEquals("SERVER_ERROR busy", client.readLine());
    assertEquals(200, admin.call("PUT", "/api/include?member=" + serverId).status());
    assertEquals(0, admin.readMetric("app_ejected"));
    // The server is in slow start: for a second, a node without load may send it nothing.
    for (int i = 0; ; i++) {
      client.write(NodeFixture.readCommand("b" + i, 2000) + "mn\r\n");
      rig.cache.setSoTimeout(100);
      try {
        ScriptedPeer newConnection = rig.acceptCache();
        assertTrue(newConnection.readLine().contains("Ob" + i + " "));
        newConnection.write("VA 1 Ob" + i + "\r\nx\r\n");
        assertEquals("VA 1 Ob" + i, client.readLine());
        break;
      } catch (SocketTimeoutException e) {
        assertEquals("SERVER_ERROR busy", client.readLine());
        assertEquals("MN", client.readLine());
        assertTrue(i < 100);
      }
    }
  }

  @Test
  void doesNotSendQueuedRequestToExcludedServer() throws Exception {
    ScriptedPeer client = rig.connectClient();
    ScriptedPeer[] serverConnections = new ScriptedPeer[1];
    rig.stallLoopWhile(
        1,
        () -> {
          client.write(NodeFixture.readCommand("a1", 2000));
          Thread excludeThread =
              new Thread(
                  () -> {
                    try {
                      admin.call("PUT", "/api/exclude?member=" + serverId);
                    } catch (IOException e) {
                      throw new IllegalStateException(e);
                    }
                  });
          excludeThread.start();
          excludeThread.join(300);
        });
    assertEquals("SERVER_ERROR busy", client.readLine());
    rig.cache.setSoTimeout(200);
    try {
      serverConnections[0] = rig.acceptCache();
      assertTrue(serverConnections[0].closedByPeer(), "a request was sent to the excluded server");
    } catch (IOException e) {
      // No connection was opened.
    }
  }

  @Test
  void appliesNewSettingsToNewRequestsOnly(@TempDir Path folder) throws Exception {
    Path file = folder.resolve("config.json");
    String text = rig.configText(ADMIN_SERVER_SETTING);
    JsonObject startupJson = JsonObject.parse(text);
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.writeCommand("a1", 2000, "v"));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    cache.readLine();
    // The new settings make the class idempotent, with two attempts, and add another class.
    String newText =
        text.replace(
                "{\"name\":\"put\",\"effect\":\"fragile\"",
                "{\"name\":\"more\",\"effect\":\"fragile\",\"slo\":1,\"give-up\":1},"
                    + "{\"name\":\"put\",\"effect\":\"retryable\"")
            .replace("\"attempts-cap\":1", "\"attempts-cap\":2");
    Files.writeString(file, newText.substring(0, newText.length() - 40));
    rig.node.reload(file.toString(), startupJson);
    admin.awaitMetric("app_sighup_rejected", 1);
    Files.writeString(file, newText);
    rig.node.reload(file.toString(), startupJson);
    admin.awaitMetric("app_sighup_applied", 1);
    assertEquals(0, admin.readMetric("app_results{service=\"more\",disposition=\"succeeded\"}"));
    // An open request keeps its settings: it is not idempotent and may have run, so it fails.
    cache.write("SERVER_ERROR failed\r\n");
    assertEquals("SERVER_ERROR failed", client.readLine());
    client.write(NodeFixture.writeCommand("a2", 2000, "v"));
    assertTrue(cache.readLine().contains("Oa2 "));
    cache.readLine();
    cache.write("SERVER_ERROR failed\r\n");
    // The failure may be a copy of the first one: a no-op in front of the retry tells.
    assertEquals("mn", cache.readLine());
    assertTrue(cache.readLine().contains("Oa2 "));
    cache.readLine();
    cache.write("MN\r\nSERVER_ERROR failed\r\n");
    assertEquals("SERVER_ERROR busy", client.readLine());
    client.write("mg key v Oa3 Pc=more,d=900\r\n");
    assertEquals("mn", cache.readLine());
    cache.readLine();
    cache.write("MN\r\nVA 1 Oa3\r\nx\r\n");
    assertEquals("VA 1 Oa3", client.readLine());
    client.readLine();
    // A removed class is still accepted for a short time, then rejected; its metrics stay.
    Files.writeString(file, text);
    rig.node.reload(file.toString(), startupJson);
    admin.awaitMetric("app_sighup_applied", 2);
    client.write("mg key v Oa4 Pc=more,d=900\r\n");
    cache.readLine();
    cache.write("VA 1 Oa4\r\nx\r\n");
    assertEquals("VA 1 Oa4", client.readLine());
    client.readLine();
    int tries = 0;
    for (String answer = "VA"; answer.startsWith("VA"); tries++) {
      String id = "b" + tries;
      client.write("mg key v O" + id + " Pc=more,d=900\r\nmn\r\n");
      Thread.sleep(100);
      cache.write("VA 1 O" + id + "\r\nx\r\n");
      answer = client.readLine();
      while (!client.readLine().equals("MN")) {}
      if (answer.startsWith("VA")) {
        cache.readLine();
      }
      assertTrue(tries < 50);
    }
    admin.awaitMetric("app_results{service=\"more\",disposition=\"succeeded\"}", 1 + tries);
  }

  @Test
  void isNotReadyWhileDraining() throws Exception {
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("a1", 2000));
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    Thread drainThread = new Thread(rig.node::drain);
    drainThread.start();
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (admin.call("GET", "/api/ready").status() != 503) {
      assertTrue(System.nanoTime() < deadlineNanos);
    }
    admin.awaitMetric("app_outstanding", 1);
    cache.write("VA 1 Oa1\r\nx\r\n");
    client.readLine();
    client.close();
    drainThread.join();
  }

  @Test
  void startFailureNamesAddressInUse() throws Exception {
    try (ServerSocket socketInUse = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String portSuffix = ":" + socketInUse.getLocalPort();
      String settings = ADMIN_SERVER_SETTING.replace(":0\"", portSuffix + "\"");
      try (Node node = new Node(rig.config(settings), OperatorFile.DEFAULTS)) {
        IOException e = assertThrows(IOException.class, node::start);
        assertTrue(e.getMessage().contains(portSuffix) && e.getMessage().contains("management"));
      }
    }
  }
}
