package shalepaddle.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs commands of the built jar through {@code bin/shalepaddle}. */
@Timeout(60)
class CommandLineIT {
  @TempDir private Path logFolder;

  private static ProcessBuilder createCommand(String... arguments) {
    List<String> command = new ArrayList<>(List.of("bin/shalepaddle"));
    command.addAll(List.of(arguments));
    return new ProcessBuilder(command);
  }

  /** A command's exit code, standard output and standard error. */
  private record Result(int exitCode, String standardOutput, String standardError) {
    String allOutput() {
      return standardOutput + standardError;
    }
  }

  private Result run(String... arguments) throws Exception {
    Path errorFile = Files.createTempFile(logFolder, "run", ".log");
    Process process = createCommand(arguments).redirectError(errorFile.toFile()).start();
    String standardOutput =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    return new Result(process.exitValue(), standardOutput, Files.readString(errorFile));
  }

  @Test
  void printsVersionAndHelpOfEachCommand() throws Exception {
    Result versionResult = run("--version");
    assertEquals(0, versionResult.exitCode());
    assertTrue(
        versionResult.allOutput().matches("shalepaddle \\d+\\.\\d+\\.\\d+\\S*\\n"),
        versionResult.allOutput());
    Result helpResult = run("--help");
    assertEquals(0, helpResult.exitCode());
    for (String command :
        List.of("try", "simulate", "cluster", "capacity", "serve", "simhost", "rehearse")) {
      assertTrue(helpResult.allOutput().contains("\n  " + command + " "), helpResult.allOutput());
      assertEquals(0, run(command, "--help").exitCode());
    }
  }

  @Test
  void capacityRejectsFleetThatNeedsTooMuchMemory() throws Exception {
    Result result = run("capacity", "--nodes", "1000000");
    assertEquals(2, result.exitCode(), result.allOutput());
    assertTrue(
        result.allOutput().matches("(?s)capacity: 1000000 nodes .* would need up to \\d+ MB.*"));
    assertEquals(1, result.allOutput().lines().count(), result.allOutput());
  }

  @Test
  void capacityWritesJsonAndChartUnderFormerName(@TempDir Path folder) throws Exception {
    Path jsonFile = folder.resolve("scale.json");
    Path chartFile = folder.resolve("scale.png");
    Result result =
        run(
            "scale",
            "--nodes",
            "4",
            "--servers",
            "8",
            "--zones",
            "2",
            "--rate",
            "500",
            "--seconds",
            "0.2",
            "--json",
            jsonFile.toString(),
            "--picture",
            chartFile.toString());
    assertEquals(0, result.exitCode(), result.allOutput());
    assertTrue(result.allOutput().contains("seed 1, "), result.allOutput());
    assertTrue(Files.readString(jsonFile).contains("\"peakBytes\""));
    assertTrue(Files.size(chartFile) > 1000);
  }

  @Test
  void rejectsInvalidArgumentsWithUsage() throws Exception {
    for (String[] arguments :
        new String[][] {
          {},
          {"no-such-command"},
          {"try", "--rate", "fast"},
          {"try", "--servers", "0"},
          {"day", "--seeds", "9..1"},
          {"simulate", "--seeds", "9..1"},
          {"scale", "--nodes", "0"},
          {"capacity", "--nodes", "0"},
          {"scale", "--rate", "NaN"},
          {"scale", "--role", "weather"},
          {"serve", "now"}
        }) {
      Result result = run(arguments);
      assertEquals(2, result.exitCode(), result.allOutput());
      assertTrue(result.allOutput().contains("Usage: "), result.allOutput());
    }
  }

  @Test
  void tryServesRequestsAndPrintsSummary() throws Exception {
    Result result = run("try", "--seconds", "3", "--rate", "200", "--kill", "1", "--drain", "1");
    assertEquals(0, result.exitCode(), result.allOutput());
    assertTrue(result.allOutput().contains("   1 s  offered"), result.allOutput());
    assertTrue(result.allOutput().contains("rules broken    0"), result.allOutput());
    String servedRow =
        result
            .allOutput()
            .lines()
            .filter(line -> line.startsWith("served "))
            .findFirst()
            .orElseThrow();
    double servedPercent = Double.parseDouble(servedRow.replaceAll(".*\\((.*)%\\)", "$1"));
    assertTrue(servedPercent > 95, servedRow);
  }

  @Test
  void tryPrintsJsonLines() throws Exception {
    Result result = run("try", "--seconds", "1", "--json", "--slow-origin", "0");
    assertEquals(0, result.exitCode(), result.allOutput());
    List<String> lines = result.standardOutput().lines().toList();
    assertEquals(2, lines.size(), result.allOutput());
    assertTrue(lines.get(0).startsWith("{\"second\":1,\"offered\":"), lines.get(0));
    assertTrue(lines.get(1).startsWith("{\"summary\":{\"offered\":"), lines.get(1));
    assertTrue(lines.get(1).endsWith("\"rules_broken\":[]}}"), lines.get(1));
  }

  @Test
  void tryFailsWhenPortIsInUse() throws Exception {
    try (ServerSocket listeningSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String port = Integer.toString(listeningSocket.getLocalPort());
      Result result = run("try", "--port", port);
      assertEquals(2, result.exitCode(), result.allOutput());
      assertTrue(result.allOutput().startsWith("try: cannot listen on 127.0.0.1:" + port));
      assertEquals(1, result.allOutput().lines().count(), result.allOutput());
    }
  }

  @Test
  void tryPrintsSummaryWhenTerminated() throws Exception {
    Path errorFile = logFolder.resolve("try.log");
    Process process =
        createCommand("try", "--seconds", "50").redirectError(errorFile.toFile()).start();
    try (BufferedReader out =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      String firstLine = out.readLine();
      assertTrue(firstLine != null && firstLine.contains(" 1 s  offered"), firstLine);
      process.toHandle().destroy(); // unlike Process.destroy(), leaves its output open
      String remainingOutput = readRemainingOutput(out);
      assertTrue(remainingOutput.contains("rules broken    0"), remainingOutput);
    }
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
  }

  private static String readRemainingOutput(BufferedReader out) throws IOException {
    StringBuilder remainingOutput = new StringBuilder();
    for (String line = out.readLine(); line != null; line = out.readLine()) {
      remainingOutput.append(line).append('\n');
    }
    return remainingOutput.toString();
  }

  @Test
  void simulateRunsEachSeedUnderFormerName() throws Exception {
    Result result = run("day", "--seeds", "1..3", "--seconds", "5", "--all");
    assertEquals(0, result.exitCode(), result.allOutput());
    assertTrue(result.allOutput().contains("seed 2: "), result.allOutput());
    assertTrue(result.allOutput().contains("3 scenarios of 5 s, "), result.allOutput());
  }
}
