package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Replaces the real process by another one under load, on a platform that owns the listening
 * socket. No request may be lost and no connection refused; if the new process fails to start or is
 * killed, the old process has to continue to serve.
 */
@Timeout(180)
class UpgradeIT {
  private static final int UPGRADES = 20;

  /** Limit on the connections of each cache server from both processes together. */
  private static final int MAX_SERVER_CONNECTIONS = 6;

  @TempDir private Path folder;

  private int startedNodes;
  private long lastCpuMillis;

  /** A process and the address of its management port. */
  private record Node(Platform.StartedProcess process, InetSocketAddress managementAddress) {
    /** Sends a management request; returns the response's status, or 0 if none arrives. */
    int httpStatus(String request) throws IOException {
      return Integer.parseInt(fetchResponse(request + " HTTP/1.1\r\n\r\n", "0").split(" ", 0)[0]);
    }

    /** Returns the HTTP response from its status code on, or {@code fallback} if none arrives. */
    String fetchResponse(String request, String fallback) throws IOException {
      try (Socket socket =
          new Socket(managementAddress.getAddress(), managementAddress.getPort())) {
        socket.setSoTimeout(2000);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        String response =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        return response.isEmpty() ? fallback : response.substring(9);
      } catch (IOException e) {
        return fallback;
      }
    }

    Node awaitReady() throws Exception {
      while (httpStatus("GET /api/ready") != 200) {
        assertTrue(process.isRunning(), "the process ended before it was ready");
        Thread.sleep(20);
      }
      return this;
    }
  }

  private Node start(Platform platform, Fleet fleet, Map<String, String> extraVariables)
      throws Exception {
    int port = DeployFile.findFreePort();
    Path config = folder.resolve("config.json");
    // ROUTER_MANAGEMENT must override the management address that is written to the file here.
    String configText = fleet.config(platform.address().getPort(), 512);
    Files.writeString(config, configText.replaceFirst("\\{", "{\"management\":\"127.0.0.1:1\","));
    Map<String, String> environment = new HashMap<>();
    environment.put("PATH", System.getenv("PATH"));
    environment.put("ROUTER_CONFIG", config.toString());
    environment.put("ROUTER_LISTEN_FD", "0");
    environment.put("ROUTER_MANAGEMENT", "127.0.0.1:" + port);
    environment.put("TMPDIR", folder.toString());
    environment.putAll(extraVariables);
    Platform.StartedProcess process =
        platform.start(
            DeployFile.shellCommand("run"), environment, folder.resolve("log-" + startedNodes++));
    return new Node(process, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }

  private Node start(Platform platform, Fleet fleet) throws Exception {
    return start(platform, fleet, Map.of());
  }

  private String readLog(int processNumber) throws IOException {
    return Files.readString(folder.resolve("log-" + processNumber));
  }

  /** Waits for the end of a process, and stores the last CPU time that was read before the end. */
  private boolean awaitEnd(Platform.StartedProcess process, long timeoutMillis)
      throws InterruptedException {
    for (long remainingMillis = timeoutMillis;
        remainingMillis > 0 && process.isRunning();
        remainingMillis -= 5) {
      lastCpuMillis =
          Math.max(process.cpuMillis(), remainingMillis == timeoutMillis ? 0 : lastCpuMillis);
      Thread.sleep(5);
    }
    return !process.isRunning();
  }

  @Test
  void answersAllRequestsDuringTwentyUpgrades() throws Exception {
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(4, MAX_SERVER_CONNECTIONS, 50)) {
      Node oldNode = start(platform, fleet).awaitReady();
      try (ClosedLoopClients clients = new ClosedLoopClients(platform.address(), 60, 1_000_000)) {
        clients.awaitEnd(300);
        long maxResidentKilobytes = 0;
        long maxShutdownCpuMillis = 0;
        for (int i = 0; i < UPGRADES; i++) {
          Node newNode = start(platform, fleet).awaitReady();
          maxResidentKilobytes =
              Math.max(
                  maxResidentKilobytes,
                  oldNode.process().residentKilobytes() + newNode.process().residentKilobytes());
          long cpuMillisBefore = oldNode.process().cpuMillis();
          oldNode.process().sendSignal(Platform.SIGTERM);
          // The platform kills the old process 0.7 s after the longest deadline, which is 2 s.
          assertTrue(awaitEnd(oldNode.process(), 2700), "the old process did not end");
          maxShutdownCpuMillis = Math.max(maxShutdownCpuMillis, lastCpuMillis - cpuMillisBefore);
          assertTrue(
              readLog(i).contains("handing over") && readLog(i).endsWith("drained\n"), readLog(i));
          assertTrue(readLog(i + 1).contains("warm start: replayed "), readLog(i + 1));
          oldNode = newNode;
        }
        clients.stopSending();
        assertTrue(clients.awaitEnd(20_000));
        clients.assertAllAnswered(0, fleet);
        assertTrue(
            clients.resentRequests() <= 2 * UPGRADES,
            clients.resentRequests() + " requests were sent again after a close");
        assertTrue(
            maxResidentKilobytes < 220_000,
            maxResidentKilobytes + " kB resident in the old and the new process together");
        String summary =
            ("%d of %d requests refused, %d sent again, %d server connections rejected,"
                    + " up to %d ms CPU per shutdown")
                .formatted(
                    clients.refusedRequests(),
                    clients.answeredRequests(),
                    clients.resentRequests(),
                    fleet.rejectedConnections(),
                    maxShutdownCpuMillis);
        System.out.println(summary);
        assertTrue(clients.refusedRequests() <= clients.answeredRequests() / 80, summary);
        assertTrue(maxShutdownCpuMillis < 1000, summary);
      }
    }
  }

  @Test
  void oldProcessContinuesWhenNewOneDiesOrFailsToStart() throws Exception {
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(4)) {
      Node node = start(platform, fleet).awaitReady();
      try (ClosedLoopClients clients = new ClosedLoopClients(platform.address(), 60, 1_000_000)) {
        Node misconfiguredNode = start(platform, fleet, Map.of("ROUTER_LISTEN_FD", "7"));
        assertTrue(misconfiguredNode.process().awaitEnd(20_000));
        assertTrue(readLog(1).contains("ROUTER_LISTEN_FD names descriptor '7'"), readLog(1));
        misconfiguredNode =
            start(platform, fleet, Map.of("ROUTER_MANAGEMENT", format(node.managementAddress())));
        assertTrue(misconfiguredNode.process().awaitEnd(20_000));
        assertTrue(readLog(2).contains("cannot listen on"), readLog(2));
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 4; i++) {
          Node killedNode = start(platform, fleet);
          Thread.sleep(random.nextInt(700));
          killedNode.process().sendSignal(Platform.SIGKILL);
          assertTrue(killedNode.process().awaitEnd(5000));
        }
        assertTrue(node.process().isRunning());
        assertEquals(200, node.httpStatus("GET /api/ready"));
        clients.stopSending();
        assertTrue(clients.awaitEnd(20_000));
        // Requests that a killed process had accepted may be lost.
        clients.assertNoClientWaits(fleet);
      }
    }
  }

  @Test
  void exclusionsApplyInBothProcesses() throws Exception {
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(4)) {
      Node firstNode = start(platform, fleet).awaitReady();
      assertEquals(200, firstNode.httpStatus("PUT /api/exclude?member=s-1"));
      Node secondNode = start(platform, fleet).awaitReady();
      awaitEjected(secondNode, 1);
      assertEquals(200, secondNode.httpStatus("PUT /api/exclude?member=s-2"));
      awaitEjected(firstNode, 2);
      assertEquals(200, firstNode.httpStatus("PUT /api/include?member=s-1"));
      awaitEjected(secondNode, 1);
      // Killed processes leave their exclusions behind: a process that starts later applies them.
      firstNode.process().sendSignal(Platform.SIGKILL);
      secondNode.process().sendSignal(Platform.SIGKILL);
      assertTrue(firstNode.process().awaitEnd(5000) && secondNode.process().awaitEnd(5000));
      Node thirdNode = start(platform, fleet).awaitReady();
      awaitEjected(thirdNode, 1);
      assertEquals(200, thirdNode.httpStatus("PUT /api/include?member=s-2"));
      awaitEjected(thirdNode, 0);
    }
  }

  @Test
  void staleOrDamagedFilesDelayNeitherStartNorDrain() throws Exception {
    Files.writeString(folder.resolve("shalepaddle-1.process"), "shalepaddle-process-1 9 0\nhalf");
    Files.writeString(folder.resolve("shalepaddle-2.process"), "from another version");
    Files.createDirectory(folder.resolve("shalepaddle-3.process"));
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(2)) {
      Node node = start(platform, fleet).awaitReady();
      // As no other process takes over, the node accepts connections while it drains.
      node.process().sendSignal(Platform.SIGTERM);
      assertFalse(node.process().awaitEnd(400), "the process ended without draining");
      try (Socket client =
          new Socket(platform.address().getAddress(), platform.address().getPort())) {
        client.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals("MN", Fleet.readLine(client.getInputStream()));
      }
      assertTrue(node.process().awaitEnd(2300));
      assertTrue(readLog(0).contains("draining") && readLog(0).endsWith("drained\n"), readLog(0));
    }
  }

  /** Guards against a shutdown that begins only once the folder of the processes has answered. */
  @Test
  void drainsInTimeWhenSharedFolderDoesNotAnswer() throws Exception {
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(4, Integer.MAX_VALUE, 300)) {
      Node node = start(platform, fleet).awaitReady();
      try (FullPipe unreadable = new FullPipe(folder, "shalepaddle-999999.process");
          ClosedLoopClients clients = new ClosedLoopClients(platform.address(), 60, 1_000_000)) {
        clients.awaitEnd(1000);
        clients.endOnConnectionFailure();
        node.process().sendSignal(Platform.SIGTERM);
        assertTrue(node.process().awaitEnd(2700), "the process did not end by itself");
        assertTrue(clients.awaitEnd(20_000));
        clients.assertAllAnswered(0, fleet);
        assertTrue(readLog(0).endsWith("drained\n"), readLog(0) + unreadable.file());
      }
    }
  }

  private static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static void awaitEjected(Node node, int ejectedServers) throws Exception {
    for (int i = 0; i < 200; i++) {
      String telemetry = node.fetchResponse("GET /api/telemetry HTTP/1.1\r\n\r\n", "");
      if (telemetry.contains("\napp_ejected " + ejectedServers + "\n")) {
        return;
      }
      Thread.sleep(20);
    }
    throw new AssertionError("telemetry never showed " + ejectedServers + " ejected servers");
  }
}
