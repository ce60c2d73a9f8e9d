package shalepaddle.benchmarks;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ProcessBuilder.Redirect;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * A process to be measured, which runs on one core and with JVM flags for a small machine.
 *
 * @param name the name of the process in the results
 * @param command the command line, without the pinning to a core
 * @param folder the working directory
 * @param configFile the configuration file, null for none
 */
record MeasuredProcess(String name, List<String> command, Path folder, Path configFile) {
  private static final List<String> JVM_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-Xss512k",
          "-Xms24m",
          "-Xmx48m",
          "-XX:MaxDirectMemorySize=48m",
          "-XX:ReservedCodeCacheSize=24m");

  /** Returns a Java process with these arguments after the JVM flags. */
  static MeasuredProcess javaProcess(String name, List<String> arguments) {
    List<String> command = new ArrayList<>(List.of("java"));
    command.addAll(JVM_FLAGS);
    command.addAll(arguments);
    return new MeasuredProcess(name, command, Path.of(""), null);
  }

  /** Returns the node that was built in this folder, with these arguments after the usual ones. */
  static MeasuredProcess nodeProcess(
      String name, Path folder, Path configFile, String... moreArguments) {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "-XX:SharedArchiveFile=daemon/target/shalepaddle.jsa",
                "-jar",
                "daemon/target/shalepaddle.jar",
                "serve"));
    arguments.addAll(List.of(moreArguments));
    return new MeasuredProcess(name, javaProcess(name, arguments).command(), folder, configFile);
  }

  /** A running process, which {@link #close} kills. */
  record RunningProcess(Process process) implements AutoCloseable {
    double residentMegabytes() throws IOException {
      Path status = Path.of("/proc", Long.toString(process.pid()), "status");
      return Files.readAllLines(status).stream()
          .filter(line -> line.startsWith("VmRSS:"))
          .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / 1024)
          .findFirst()
          .orElse(Double.NaN);
    }

    /** Sends the process a signal, whose name is given without the prefix SIG. */
    void sendSignal(String signalName) {
      try {
        new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
            .start()
            .waitFor();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void close() {
      process.destroyForcibly().onExit().join();
    }
  }

  /** Starts the process on this core, and returns once it listens on the port. */
  RunningProcess start(int core, int port) throws IOException, InterruptedException {
    List<String> pinnedCommand = new ArrayList<>(List.of("taskset", "-c", Integer.toString(core)));
    pinnedCommand.addAll(command);
    ProcessBuilder builder =
        new ProcessBuilder(pinnedCommand)
            .directory(folder.toAbsolutePath().toFile())
            .redirectOutput(Redirect.DISCARD)
            .redirectError(Redirect.DISCARD);
    if (configFile != null) {
      builder.environment().put("ROUTER_CONFIG", configFile.toString());
    }
    RunningProcess runningProcess = new RunningProcess(builder.start());
    while (!isListening(port)) {
      if (!runningProcess.process().isAlive()) {
        throw new IOException(
            name
                + " exited with code "
                + runningProcess.process().exitValue()
                + " before it listened on port "
                + port);
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
    return runningProcess;
  }

  private static boolean isListening(int port) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  static int findFreePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Returns a node's configuration with these servers, whose endpoint list never changes. */
  static String createNodeConfig(int port, StubCacheServers servers) {
    return createNodeConfig(port, servers.ports());
  }

  /** Returns a node's configuration with servers on these ports. */
  static String createNodeConfig(int port, List<Integer> ports) {
    String serverList =
        ports.stream()
            .map(
                serverPort ->
                    """
                    {"id":"s-%d","addr":"127.0.0.1:%d","zone":"a","kind":"m","cell":0,\
                    "state":"active","weight":1.0,"started_ms":0}"""
                        .formatted(serverPort, serverPort))
            .collect(Collectors.joining(","));
    return """
        {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:9","seed":"1",
         "limits":{"memory_mb":192,"sockets":2048},
         "known":{"version":1,"full":true,"servers":[%s]},
         "settings":{"instances":1,"discovery":"push","clients":{"marks-retry":true},
          "caps":{"attempts-cap":3,"cancel":true,"parallel-tries":true,"multiplex":32,
                  "connect-timeout":0.15,"conn-idle":60,"retry-after":true,"max-retry-after":1},
          "contract":{"ask-within":10,"drain-grace":2,"cold-from":0.1,"warm-within":1},
          "services":[
           {"name":"read","effect":"retryable","slo":0.75,"give-up":2,"credit":2},
           {"name":"put","effect":"fragile","slo":0.3,"give-up":1,"credit":5}]}}
        """
        .formatted(port, serverList);
  }
}
