package shalepaddle.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Runs and signals the commands of the deploy file, as the platform does. */
final class DeployFile {
  /**
   * The folder of the deployment whose commands run: this one, or another build that it is compared
   * with.
   */
  private static final Path ROOT = Path.of(System.getProperty("deploy.root", ""));

  private DeployFile() {}

  /** Returns a builder for the named command, with standard error merged into its output. */
  static ProcessBuilder commandBuilder(String commandName) throws IOException {
    return new ProcessBuilder(List.of("/bin/sh", "-c", shellCommand(commandName)))
        .redirectErrorStream(true);
  }

  /** Returns the shell command line of the named command, run in the deployment's folder. */
  static String shellCommand(String commandName) throws IOException {
    String line =
        Files.readAllLines(ROOT.resolve("deploy/balancer.toml")).stream()
            .filter(text -> text.startsWith(commandName + " = "))
            .findFirst()
            .orElseThrow();
    String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    return "cd '" + ROOT.toAbsolutePath() + "' && " + command;
  }

  /** Returns a free port of the loopback address. */
  static int findFreePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Sends the process a signal, whose name is given without the prefix SIG. */
  static void sendSignal(Process process, String signalName)
      throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid())).start().waitFor();
  }
}
