package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the deploy file's commands {@code run} and {@code sim}, unchanged, with the built jar. */
@Timeout(120)
class JarIT {
  @TempDir private Path folder;

  private static String readOutput(Process process) throws IOException {
    return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  @Test
  void simCommandAnswersBatchMessageWithDone() throws Exception {
    Process process = DeployFile.commandBuilder("sim").start();
    try (OutputStream in = process.getOutputStream()) {
      in.write(
          """
          {"type":"BATCH","time":1,"seq":1}
          {"type":"OVER_TO_YOU"}
          """
              .getBytes(StandardCharsets.UTF_8));
    }
    assertEquals("{\"type\":\"DONE\",\"seq\":1}\n", readOutput(process));
    assertEquals(0, process.waitFor());
  }

  @Test
  void runLoadsClassesFromArchive() throws Exception {
    ProcessBuilder builder = DeployFile.commandBuilder("run");
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:stdout");
    builder.environment().remove("ROUTER_CONFIG");
    String loadingLogLine =
        readOutput(builder.start())
            .lines()
            .filter(line -> line.contains(" shalepaddle.node.NodeProcess "))
            .findFirst()
            .orElseThrow();
    assertTrue(loadingLogLine.contains("shared objects file"), loadingLogLine);
  }

  @Test
  void runServesAndReloadsUntilTerminated() throws Exception {
    int port = DeployFile.findFreePort();
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        """
        {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:9","seed":"1",
         "limits":{"memory_mb":192,"sockets":1024},
         "known":{"version":1,"full":true,"servers":[]},
         "settings":{"services":[{"name":"read","effect":"retryable","slo":0.5,"give-up":1}]}}
        """
            .formatted(port));
    ProcessBuilder builder = DeployFile.commandBuilder("run");
    builder.environment().put("ROUTER_CONFIG", config.toString());
    Path classLog = folder.resolve("classes");
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:file=" + classLog);
    Process process = builder.start();
    try (Socket client = connect(port, process)) {
      client
          .getOutputStream()
          .write("mn\r\nmg key v Oa1 Pc=read,d=900\r\n".getBytes(StandardCharsets.US_ASCII));
      var in =
          new BufferedReader(
              new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII));
      assertEquals("MN", in.readLine());
      assertEquals("SERVER_ERROR busy", in.readLine());
      var log =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
      String validConfig = Files.readString(config).replace(":9\"", ":10\"");
      Files.writeString(config, validConfig.substring(0, validConfig.length() / 2));
      DeployFile.sendSignal(process, "HUP");
      awaitLine(log, "configuration rejected, keeping the current one: ");
      Files.writeString(config, validConfig);
      DeployFile.sendSignal(process, "HUP");
      awaitLine(log, "discovery at /127.0.0.1:10");
      client.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals("MN", in.readLine());
      process.toHandle().destroy(); // unlike Process.destroy(), leaves its output open
      assertEquals(null, in.readLine());
      awaitLine(log, "drained");
    }
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    List<String> loadedClasses = Files.readAllLines(classLog);
    assertTrue(
        loadedClasses.stream()
            .anyMatch(line -> line.contains(" shalepaddle.policy.RequestRouter ")));
    // A node must not load the classes for replicated groups.
    List<String> groupPackages =
        List.of(" shalepaddle.changefeed.", " shalepaddle.replicatedstate.");
    assertEquals(
        List.of(),
        loadedClasses.stream()
            .filter(line -> groupPackages.stream().anyMatch(line::contains))
            .toList());
  }

  private static void awaitLine(BufferedReader log, String text) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(text)) {
      line = log.readLine();
    }
    assertTrue(line != null, "the log ended without the text: " + text);
  }

  private static Socket connect(int port, Process process) throws Exception {
    while (true) {
      try {
        return new Socket(InetAddress.getLoopbackAddress(), port);
      } catch (ConnectException e) {
        assertTrue(process.isAlive(), "the process ended before it listened");
        Thread.sleep(20);
      }
    }
  }

  @Test
  void runPrintsErrorOfInvalidConfiguration() throws Exception {
    Path config = folder.resolve("config.json");
    for (String text : List.of("", "{", "{}", "{\"limits\":{},\"settings\":{}}")) {
      Files.writeString(config, text);
      ProcessBuilder builder = DeployFile.commandBuilder("run");
      builder.environment().put("ROUTER_CONFIG", config.toString());
      Process process = builder.start();
      String output = readOutput(process);
      assertEquals(1, output.lines().count(), output);
      assertTrue(output.startsWith("serve: " + config + ": "), output);
      assertEquals(2, process.waitFor());
    }
    ProcessBuilder builder = DeployFile.commandBuilder("run");
    builder.environment().remove("ROUTER_CONFIG");
    Process process = builder.start();
    assertEquals("serve: ROUTER_CONFIG does not name a file\n", readOutput(process));
    assertEquals(2, process.waitFor());
  }
}
