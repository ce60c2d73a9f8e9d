package shalepaddle.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The program's cluster commands, as processes of the built jar on a small heap. */
final class ClusterProcess {
  private ClusterProcess() {}

  /** Starts one; what it says goes behind what is in the file. */
  static Process start(Path log, List<String> words) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                "java",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-jar",
                "cli/target/shalepaddle-cli.jar",
                "cluster"));
    command.addAll(words);
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
        .start();
  }
}
