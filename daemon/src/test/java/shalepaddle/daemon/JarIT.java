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

/** Both commands of the deploy file, started from the built jar as they stand there. */
@Timeout(120)
class JarIT {
  @TempDir private Path folder;

  private static String output(Process process) throws IOException {
    return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  @Test
  void simAnswersABatch() throws Exception {
    Process process = DeployFile.command("sim").start();
    try (OutputStream in = process.getOutputStream()) {
      in.write(
          """
          {"type":"BATCH","time":1,"seq":1}
          {"type":"OVER_TO_YOU"}
          """
              .getBytes(StandardCharsets.UTF_8));
    }
    assertEquals("{\"type\":\"DONE\",\"seq\":1}\n", output(process));
    assertEquals(0, process.waitFor());
  }

  @Test
  void runMapsTheArchivedClasses() throws Exception {
    ProcessBuilder builder = DeployFile.command("run");
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:stdout");
    builder.environment().remove("ROUTER_CONFIG");
    String loaded =
        output(builder.start())
            .lines()
            .filter(line -> line.contains(" shalepaddle.node.NodeProcess "))
            .findFirst()
            .orElseThrow();
    assertTrue(loaded.contains("shared objects file"), loaded);
  }

  @Test
  void runServesUntilItIsTerminated() throws Exception {
    int port = DeployFile.freePort();
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
    ProcessBuilder builder = DeployFile.command("run");
    builder.environment().put("ROUTER_CONFIG", config.toString());
    Path classes = folder.resolve("classes");
    builder.environment().put("JAVA_TOOL_OPTIONS", "-Xlog:class+load:file=" + classes);
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
      String valid = Files.readString(config).replace(":9\"", ":10\"");
      Files.writeString(config, valid.substring(0, valid.length() / 2));
      DeployFile.signal(process, "HUP");
      awaitLine(log, "configuration rejected, keeping the current one: ");
      Files.writeString(config, valid);
      DeployFile.signal(process, "HUP");
      awaitLine(log, "discovery at /127.0.0.1:10");
      client.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals("MN", in.readLine());
      process.toHandle().destroy(); // as destroy(), but its output stays open
      assertEquals(null, in.readLine());
      awaitLine(log, "drained");
    }
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    List<String> loaded = Files.readAllLines(classes);
    assertTrue(
        loaded.stream().anyMatch(line -> line.contains(" shalepaddle.policy.RequestRouter ")));
    // What is for groups is off in a node.
    List<String> parts = List.of(" shalepaddle.changefeed.", " shalepaddle.replicatedstate.");
    assertEquals(
        List.of(),
        loaded.stream().filter(line -> parts.stream().anyMatch(line::contains)).toList());
  }

  private static void awaitLine(BufferedReader log, String part) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains(part)) {
      line = log.readLine();
    }
    assertTrue(line != null, "the log ended without: " + part);
  }

  private static Socket connect(int port, Process process) throws Exception {
    while (true) {
      try {
        return new Socket(InetAddress.getLoopbackAddress(), port);
      } catch (ConnectException e) {
        assertTrue(process.isAlive(), "ended before it listened");
        Thread.sleep(20);
      }
    }
  }

  @Test
  void runTellsWhatIsWrongWithItsConfiguration() throws Exception {
    Path config = folder.resolve("config.json");
    for (String text : List.of("", "{", "{}", "{\"limits\":{},\"settings\":{}}")) {
      Files.writeString(config, text);
      ProcessBuilder builder = DeployFile.command("run");
      builder.environment().put("ROUTER_CONFIG", config.toString());
      Process process = builder.start();
      String output = output(process);
      assertEquals(1, output.lines().count(), output);
      assertTrue(output.startsWith("serve: " + config + ": "), output);
      assertEquals(2, process.waitFor());
    }
    ProcessBuilder builder = DeployFile.command("run");
    builder.environment().remove("ROUTER_CONFIG");
    Process process = builder.start();
    assertEquals("serve: ROUTER_CONFIG does not name a file\n", output(process));
    assertEquals(2, process.waitFor());
  }
}
