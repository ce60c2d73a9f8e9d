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

/** A process that was started with SIGHUP ignored can't take a configuration, and says so. */
@Timeout(60)
class IgnoredReloadSignalIT {
  @TempDir private Path folder;

  @Test
  void saysSoInTheLogAndInTelemetry() throws Exception {
    int port = DeployFile.freePort();
    var management = new InetSocketAddress(InetAddress.getLoopbackAddress(), DeployFile.freePort());
    Path config = folder.resolve("node.json");
    Path log = folder.resolve("node.log");
    try (Fleet fleet = new Fleet(1)) {
      Files.writeString(config, fleet.config(port, 256));
      ProcessBuilder builder =
          new ProcessBuilder("/bin/sh", "-c", "trap '' HUP; " + DeployFile.shell("run"))
              .redirectErrorStream(true)
              .redirectOutput(log.toFile());
      builder.environment().put("ROUTER_CONFIG", config.toString());
      builder.environment().put("ROUTER_MANAGEMENT", "127.0.0.1:" + management.getPort());
      Process process = builder.start();
      try {
        awaitLine(log, "SIGHUP is ignored, as under nohup");
        assertEquals(1, rejected(management));
      } finally {
        process.destroyForcibly();
        process.onExit().join();
      }
    }
  }

  private static void awaitLine(Path log, String part) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!Files.readString(log).contains(part)) {
      assertTrue(System.nanoTime() - end < 0, Files.readString(log));
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  private static int rejected(InetSocketAddress management) throws Exception {
    String page;
    try (Socket operator = new Socket(management.getAddress(), management.getPort())) {
      operator
          .getOutputStream()
          .write("GET /api/telemetry HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      page = new String(operator.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }
    return page.lines()
        .filter(line -> line.startsWith("app_sighup_rejected "))
        .mapToInt(line -> Integer.parseInt(line.substring(line.lastIndexOf(' ') + 1)))
        .findAny()
        .orElseThrow(() -> new AssertionError(page));
  }
}
