package shalepaddle.daemon;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * A process started by the deploy file's {@code run} command, which tests can pause by SIGSTOP and
 * resume by SIGCONT.
 */
final class PausableNode implements Closeable {
  private static final long START_TIMEOUT_MILLIS = 30_000;

  private final Process process;
  private final InetSocketAddress address;
  private final Path configFile;
  private final Path logFile;

  /**
   * Starts a node in front of a fleet and waits until it listens.
   *
   * @param maxDescriptors limit on the node's descriptors
   */
  PausableNode(Path folder, Fleet fleet, int maxDescriptors) throws Exception {
    this(folder, "node", port -> fleet.config(port, maxDescriptors));
    if (!awaitListening()) {
      throw new IOException("the node does not listen on " + address);
    }
  }

  /**
   * Starts a node without waiting until it listens.
   *
   * @param name prefix of the node's files in the folder
   * @param configForPort returns the configuration for the port on which the node is to listen
   */
  PausableNode(Path folder, String name, IntFunction<String> configForPort) throws Exception {
    this(folder, name, configForPort, Map.of());
  }

  /** Starts a node on a given port, without waiting until it listens. */
  PausableNode(Path folder, String name, int port, IntFunction<String> configForPort)
      throws Exception {
    this(folder, name, port, configForPort, Map.of(), null);
  }

  /** Starts a node with additional environment variables, without waiting until it listens. */
  PausableNode(
      Path folder, String name, IntFunction<String> configForPort, Map<String, String> environment)
      throws Exception {
    this(folder, name, DeployFile.findFreePort(), configForPort, environment, null);
  }

  /**
   * Starts a node on a given port.
   *
   * @param output where the node's output goes, null for its log file
   */
  PausableNode(
      Path folder,
      String name,
      int port,
      IntFunction<String> configForPort,
      Map<String, String> environment,
      ProcessBuilder.Redirect output)
      throws Exception {
    address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    configFile = folder.resolve(name + ".json");
    logFile = folder.resolve(name + ".log");
    replaceConfig(configForPort.apply(port));
    ProcessBuilder builder =
        DeployFile.commandBuilder("run")
            .redirectOutput(output == null ? ProcessBuilder.Redirect.to(logFile.toFile()) : output);
    builder.environment().put("ROUTER_CONFIG", configFile.toString());
    builder.environment().putAll(environment);
    process = builder.start();
  }

  /** Replaces the configuration file; the node reads it after SIGHUP. */
  void replaceConfig(String newConfig) throws IOException {
    Files.writeString(configFile, newConfig);
  }

  /** Replaces the configuration file by one whose reader waits for ever. */
  FullPipe hangConfig() throws IOException, InterruptedException {
    Files.delete(configFile);
    return new FullPipe(configFile.getParent(), configFile.getFileName().toString());
  }

  /** Waits until the node listens; returns false if the node ends first or 30 s have passed. */
  boolean awaitListening() throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
    while (System.nanoTime() - deadlineNanos < 0 && process.isAlive()) {
      try {
        new Socket(address.getAddress(), address.getPort()).close();
        return true;
      } catch (IOException e) {
        TimeUnit.MILLISECONDS.sleep(20);
      }
    }
    return false;
  }

  Process process() {
    return process;
  }

  List<String> logLines() throws IOException {
    return Files.readAllLines(logFile);
  }

  InetSocketAddress address() {
    return address;
  }

  void pause() throws Exception {
    DeployFile.sendSignal(process, "STOP");
  }

  void resume() throws Exception {
    DeployFile.sendSignal(process, "CONT");
  }

  void pauseFor(long pauseMillis) throws Exception {
    pause();
    TimeUnit.MILLISECONDS.sleep(pauseMillis);
    resume();
  }

  void sendReloadSignal() throws Exception {
    DeployFile.sendSignal(process, "HUP");
  }

  void terminate() throws Exception {
    DeployFile.sendSignal(process, "TERM");
  }

  DescriptorLimit descriptorLimit() {
    return new DescriptorLimit(process.pid());
  }

  boolean awaitEnd(long timeoutMillis) throws InterruptedException {
    return process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    process.destroyForcibly();
    process.onExit().join();
  }
}
