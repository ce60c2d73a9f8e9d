package shalepaddle.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import shalepaddle.config.NodeConfig;
import shalepaddle.config.OperatorFile;
import shalepaddle.hotrestart.InheritedListener;
import shalepaddle.hotrestart.ProcessFiles;
import shalepaddle.loop.LogWriter;
import shalepaddle.membership.MemberList;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/**
 * Runs a {@link Node} as a separate process: reads the environment and the configuration files,
 * installs signal handlers and maps failures to exit codes. Errors that occur before the node
 * listens are written to standard error.
 */
public final class NodeProcess {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_BAD_CONFIGURATION = 2;

  private static final String RELOAD_SIGNAL_IGNORED =
      "SIGHUP is ignored, as under nohup, so no reload will be applied; start with setsid instead";

  /** One admin call of each kind, so that {@link #rehearse} loads the admin server's classes. */
  private static final List<String> REHEARSED_CALLS =
      List.of("GET /api/ready", "GET /api/telemetry", "PUT /api/include?member=a");

  private NodeProcess() {}

  /**
   * The inputs of a process start.
   *
   * @param config the configuration, including values from the environment and the newest endpoint
   *     list that another process of this node has published
   * @param configJson the configuration file's content; a reloaded file must have all of its keys
   * @param operator the operator's settings
   * @param inheritedListener the client listener that the platform opened, null if the node opens
   *     its own
   * @param files the files shared with other processes of this node, null if there are none
   */
  private record Startup(
      NodeConfig config,
      JsonObject configJson,
      OperatorFile operator,
      ServerSocketChannel inheritedListener,
      ProcessFiles files) {

    static Startup load(String configFile, String operatorFile)
        throws FormatException, IOException {
      JsonObject json = NodeConfig.readJson(configFile);
      NodeConfig config =
          NodeConfig.read(configFile, json).withAdminAddress(System.getenv("ROUTER_MANAGEMENT"));
      OperatorFile operator = OperatorFile.load(operatorFile);
      ServerSocketChannel inheritedListener =
          InheritedListener.fromDescriptor(System.getenv("ROUTER_LISTEN_FD"));
      ProcessFiles files =
          inheritedListener == null ? null : newSharedFiles(System.getenv("TMPDIR"));
      MemberList newestList = files == null ? null : files.readOthers().newestMemberList();
      return new Startup(
          newestList == null ? config : config.withKnownMembers(newestList),
          json,
          operator,
          inheritedListener,
          files);
    }

    private static ProcessFiles newSharedFiles(String folder) {
      if (folder == null || folder.isEmpty()) {
        System.err.println("event=hot_restart_disabled reason=no_tmpdir");
        return null;
      }
      return new ProcessFiles(
          Path.of(folder),
          ProcessHandle.current().pid(),
          System::currentTimeMillis,
          pid -> ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false),
          LogWriter.standardError());
    }
  }

  /**
   * Runs a node until a signal ends it; returns the exit code.
   *
   * @param configFile the platform's configuration, null if the environment names none
   * @param operatorFile the operator's settings, null for the defaults
   */
  public static int serve(String configFile, String operatorFile) throws InterruptedException {
    Startup startup;
    try {
      startup = Startup.load(configFile, operatorFile);
    } catch (FormatException | IOException e) {
      return reportStartFailure(e.getMessage());
    }
    Node node =
        new Node(
            startup.config(),
            startup.operator(),
            DescriptorBudget.connectionsPerServer(startup.config()),
            startup.inheritedListener(),
            startup.files());
    try {
      node.openAdminServer();
    } catch (IOException e) {
      int exitCode = reportStartFailure(e.getMessage());
      node.close();
      return exitCode;
    }
    node.haltOnLoopFailure();
    node.prepare();
    // Signals are handled before the node listens: from then on the platform may send them.
    Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
    installReload(node, configFile, startup.configJson());
    try {
      node.listen();
    } catch (IOException e) {
      int exitCode =
          reportStartFailure(
              "cannot listen on " + startup.config().listenAddress() + ": " + e.getMessage());
      node.close();
      // Halting skips the shutdown hook: there is nothing to drain.
      Runtime.getRuntime().halt(exitCode);
    }
    node.awaitDrained();
    return 0;
  }

  private static int reportStartFailure(String reason) {
    System.err.println("serve: " + reason);
    return EXIT_BAD_CONFIGURATION;
  }

  private static void installReload(Node node, String configFile, JsonObject configJson) {
    try {
      ReloadSignal.install(() -> node.reload(configFile, configJson));
      if (ReloadSignal.isIgnored()) {
        node.loop().execute(() -> node.balancer().rejectConfiguration(RELOAD_SIGNAL_IGNORED));
      }
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      node.log().writeLine("event=reload_signal_unavailable cause=" + e);
    }
  }

  /**
   * Starts a node with an empty endpoint list, calls its admin server and closes it. The build runs
   * this so that the virtual machine can archive the classes that a start loads, including those
   * that read the operator's file. Returns the exit code.
   */
  public static int rehearse(String operatorFile) throws InterruptedException {
    try (Node node = new Node(NodeConfig.forRehearsal(), OperatorFile.load(operatorFile))) {
      node.start();
      for (String methodAndPath : REHEARSED_CALLS) {
        callAdminServer(node.adminAddress(), methodAndPath);
      }
      return 0;
    } catch (IOException | FormatException e) {
      System.err.println("rehearse: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static void callAdminServer(InetSocketAddress address, String methodAndPath)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(address);
      socket
          .getOutputStream()
          .write((methodAndPath + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().readAllBytes();
    }
  }
}
