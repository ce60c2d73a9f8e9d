package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A process that was started with SIGHUP ignored reports that it can't reload its settings. */
@Timeout(60)
class IgnoredReloadSignalIT {
  @TempDir private Path folder;

  @Test
  void reportsIgnoredSighupInLogAndTelemetry() throws Exception {
    int clientPort = DeployFile.findFreePort();
    var managementAddress =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), DeployFile.findFreePort());
    Path config = folder.resolve("node.json");
    Path log = folder.resolve("node.log");
    try (Fleet fleet = new Fleet(1)) {
      Files.writeString(config, fleet.config(clientPort, 256));
      ProcessBuilder builder =
          new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; " + DeployFile.shellCommand("run"))
              .redirectErrorStream(true)
              .redirectOutput(log.toFile());
      builder.environment().put("ROUTER_CONFIG", config.toString());
      builder.environment().put("ROUTER_MANAGEMENT", "127.0.0.1:" + managementAddress.getPort());
      Process process = builder.start();
      try {
        awaitLogText(log, "SIGHUP is ignored, as under nohup");
        assertEquals(1, readRejectedReloads(managementAddress));
      } finally {
        process.destroyForcibly();
        process.onExit().join();
      }
    }
  }

  private static void awaitLogText(Path log, String text) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!Files.readString(log).contains(text)) {
      assertTrue(System.nanoTime() - deadlineNanos < 0, Files.readString(log));
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private static int readRejectedReloads(InetSocketAddress managementAddress) throws Exception {
    String telemetry;
    try (Socket client = new Socket(managementAddress.getAddress(), managementAddress.getPort())) {
      client
          .getOutputStream()
          .write("GET /api/telemetry HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      telemetry = new String(client.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
    return telemetry
        .lines()
        .filter(line -> line.startsWith("app_sighup_rejected "))
        .mapToInt(line -> Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1)))
        .findAny()
        .orElseThrow(() -> new AssertionError(telemetry));
  }
}
