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
 * A process to be measured, on one core and with the flags of a small machine.
 *
 * @param command what to run, without the core
 * @param folder where to run it
 * @param config the configuration that it is told, null for none
 */
record Subject(String name, List<String> command, Path folder, Path config) {
  private static final List<String> FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-Xss512k",
          "-Xms24m",
          "-Xmx48m",
          "-XX:MaxDirectMemorySize=48m",
          "-XX:ReservedCodeCacheSize=24m");

  /** A Java program with these further arguments. */
  static Subject java(String name, List<String> arguments) {
    List<String> command = new ArrayList<>(List.of("java"));
    command.addAll(FLAGS);
    command.addAll(arguments);
    return new Subject(name, command, Path.of(""), null);
  }

  /** The node that was built in this folder. */
  static Subject node(String name, Path folder, Path config, String... further) {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "-XX:SharedArchiveFile=daemon/target/shalepaddle.jsa",
                "-jar",
                "daemon/target/shalepaddle.jar",
                "serve"));
    arguments.addAll(List.of(further));
    return new Subject(name, java(name, arguments).command(), folder, config);
  }

  /** A process that listens; ended by {@link #close}. */
  record Running(Process process) implements AutoCloseable {
    double residentMegabytes() throws IOException {
      Path status = Path.of("/proc", Long.toString(process.pid()), "status");
      return Files.readAllLines(status).stream()
          .filter(line -> line.startsWith("VmRSS:"))
          .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D", "")) / 1024)
          .findFirst()
          .orElse(Double.NaN);
    }

    /** Sends it a signal, named without its SIG. */
    void signal(String name) {
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
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

  /** Starts it on this core, and returns once it listens on the port. */
  Running start(int core, int port) throws IOException, InterruptedException {
    List<String> pinned = new ArrayList<>(List.of("taskset", "-c", Integer.toString(core)));
    pinned.addAll(command);
    ProcessBuilder builder =
        new ProcessBuilder(pinned)
            .directory(folder.toAbsolutePath().toFile())
            .redirectOutput(Redirect.DISCARD)
            .redirectError(Redirect.DISCARD);
    if (config != null) {
      builder.environment().put("ROUTER_CONFIG", config.toString());
    }
    Running running = new Running(builder.start());
    while (!accepts(port)) {
      if (!running.process().isAlive()) {
        throw new IOException(
            name + " ended before it listened, with code " + running.process().exitValue());
      }
      TimeUnit.MILLISECONDS.sleep(2);
    }
    return running;
  }

  private static boolean accepts(int port) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 1000);
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return free.getLocalPort();
    }
  }

  /** A configuration with these servers, of which none ever leaves. */
  static String config(int port, Servers servers) {
    return config(port, servers.ports());
  }

  /** The same with servers that listen on these ports. */
  static String config(int port, List<Integer> servers) {
    String list =
        servers.stream()
            .map(
                server ->
                    """
                    {"id":"s-%d","addr":"127.0.0.1:%d","zone":"a","kind":"m","cell":0,\
                    "state":"active","weight":1.0,"started_ms":0}"""
                        .formatted(server, server))
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
        .formatted(port, list);
  }
}
