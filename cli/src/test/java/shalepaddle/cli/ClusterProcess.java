package shalepaddle.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Starts cluster commands as processes of the built jar, with a small heap. */
final class ClusterProcess {
  private ClusterProcess() {}

  /**
   * Starts a cluster command.
   *
   * @param logFile file to which the output is appended
   * @param arguments the subcommand and its arguments
   */
  static Process start(Path logFile, List<String> arguments) throws IOException {
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
    command.addAll(arguments);
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
        .start();
  }
}
