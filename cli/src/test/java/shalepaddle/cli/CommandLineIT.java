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

/** The command line as people start it, from the built jar. */
@Timeout(60)
class CommandLineIT {
  @TempDir private Path logs;

  private static ProcessBuilder command(String... arguments) {
    List<String> words = new ArrayList<>(List.of("bin/shalepaddle"));
    words.addAll(List.of(arguments));
    return new ProcessBuilder(words);
  }

  /** What a command printed, and what it or a node in it logged. */
  private record Ended(int code, String printed, String logged) {
    String output() {
      return printed + logged;
    }
  }

  private Ended run(String... arguments) throws Exception {
    Path log = Files.createTempFile(logs, "run", ".log");
    Process process = command(arguments).redirectError(log.toFile()).start();
    String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    return new Ended(process.exitValue(), printed, Files.readString(log));
  }

  @Test
  void tellsItsVersionAndItsCommands() throws Exception {
    Ended version = run("--version");
    assertEquals(0, version.code());
    assertTrue(version.output().matches("shalepaddle \\d+\\.\\d+\\.\\d+\\S*\\n"), version.output());
    Ended help = run("--help");
    assertEquals(0, help.code());
    for (String command :
        List.of("try", "simulate", "cluster", "capacity", "serve", "simhost", "rehearse")) {
      assertTrue(help.output().contains("\n  " + command + " "), help.output());
      assertEquals(0, run(command, "--help").code());
    }
  }

  @Test
  void aSizeThatDoesNotFitIsRefusedBeforeTheRunWithItsFigure() throws Exception {
    Ended ended = run("capacity", "--nodes", "1000000");
    assertEquals(2, ended.code(), ended.output());
    assertTrue(ended.output().matches("(?s)scale: 1000000 nodes .* would take up to \\d+ MB.*"));
    assertEquals(1, ended.output().lines().count(), ended.output());
  }

  @Test
  void measuresASmallFleet(@TempDir Path folder) throws Exception {
    Path json = folder.resolve("scale.json");
    Path picture = folder.resolve("scale.png");
    Ended ended =
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
            json.toString(),
            "--picture",
            picture.toString());
    assertEquals(0, ended.code(), ended.output());
    assertTrue(ended.output().contains("seed 1, "), ended.output());
    assertTrue(Files.readString(json).contains("\"peakBytes\""));
    assertTrue(Files.size(picture) > 1000);
  }

  @Test
  void refusesWhatMakesNoSense() throws Exception {
    for (String[] words :
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
      Ended ended = run(words);
      assertEquals(2, ended.code(), ended.output());
      assertTrue(ended.output().contains("Usage: "), ended.output());
    }
  }

  @Test
  void tryServesAndEndsWithATable() throws Exception {
    Ended ended = run("try", "--seconds", "3", "--rate", "200", "--kill", "1", "--drain", "1");
    assertEquals(0, ended.code(), ended.output());
    assertTrue(ended.output().contains("   1 s  offered"), ended.output());
    assertTrue(ended.output().contains("rules broken    0"), ended.output());
    String served =
        ended.output().lines().filter(line -> line.startsWith("served ")).findFirst().orElseThrow();
    double share = Double.parseDouble(served.replaceAll(".*\\((.*)%\\)", "$1"));
    assertTrue(share > 95, served);
  }

  @Test
  void tryPrintsJsonLines() throws Exception {
    Ended ended = run("try", "--seconds", "1", "--json", "--slow-origin", "0");
    assertEquals(0, ended.code(), ended.output());
    List<String> lines = ended.printed().lines().toList();
    assertEquals(2, lines.size(), ended.output());
    assertTrue(lines.get(0).startsWith("{\"second\":1,\"offered\":"), lines.get(0));
    assertTrue(lines.get(1).startsWith("{\"summary\":{\"offered\":"), lines.get(1));
    assertTrue(lines.get(1).endsWith("\"rules_broken\":[]}}"), lines.get(1));
  }

  @Test
  void trySaysThatItsPortIsTaken() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String port = Integer.toString(taken.getLocalPort());
      Ended ended = run("try", "--port", port);
      assertEquals(2, ended.code(), ended.output());
      assertTrue(ended.output().startsWith("try: cannot listen on 127.0.0.1:" + port));
      assertEquals(1, ended.output().lines().count(), ended.output());
    }
  }

  @Test
  void tryEndsWithItsTableWhenItIsTerminated() throws Exception {
    Path log = logs.resolve("try.log");
    Process process = command("try", "--seconds", "50").redirectError(log.toFile()).start();
    try (BufferedReader out =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      String first = out.readLine();
      assertTrue(first != null && first.contains(" 1 s  offered"), first);
      process.toHandle().destroy(); // as destroy(), but its output stays open
      String all = rest(out);
      assertTrue(all.contains("rules broken    0"), all);
    }
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue());
  }

  private static String rest(BufferedReader out) throws IOException {
    StringBuilder all = new StringBuilder();
    for (String line = out.readLine(); line != null; line = out.readLine()) {
      all.append(line).append('\n');
    }
    return all.toString();
  }

  @Test
  void dayPlaysTheDaysOfItsSeeds() throws Exception {
    Ended ended = run("day", "--seeds", "1..3", "--seconds", "5", "--all");
    assertEquals(0, ended.code(), ended.output());
    assertTrue(ended.output().contains("seed 2: "), ended.output());
    assertTrue(ended.output().contains("3 days of 5 s, "), ended.output());
  }
}
