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
import shalepaddle.membership.MemberList;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/**
 * Runs a {@link Node} as a process of its own: reads its environment and files, sets its signal
 * handlers and turns failures into exit codes. Errors before the node listens go to standard error.
 */
public final class NodeProcess {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_BAD_CONFIGURATION = 2;

  private static final String RELOAD_SIGNAL_IGNORED =
      "SIGHUP is ignored, as under nohup, and no later one will be taken; start with setsid instead";

  /** One call of each kind, so that a rehearsal loads the admin server's classes. */
  private static final List<String> REHEARSED_CALLS =
      List.of("GET /api/ready", "GET /api/telemetry", "PUT /api/include?member=a");

  private NodeProcess() {}

  /**
   * What a process is started with.
   *
   * @param config the configuration, with what the environment and other processes add to it
   * @param configJson the configuration file's content, whose keys a reload needs all
   * @param inherited the clients' listener from the platform, null where the node opens its own
   * @param files those shared with other processes of this node, null for none
   */
  private record Startup(
      NodeConfig config,
      JsonObject configJson,
      OperatorFile operator,
      ServerSocketChannel inherited,
      ProcessFiles files) {

    static Startup load(String configFile, String operatorFile)
        throws FormatException, IOException {
      JsonObject json = NodeConfig.readJson(configFile);
      NodeConfig config =
          NodeConfig.read(configFile, json).withAdminAddress(System.getenv("ROUTER_MANAGEMENT"));
      OperatorFile operator = OperatorFile.load(operatorFile);
      ServerSocketChannel inherited =
          InheritedListener.fromDescriptor(System.getenv("ROUTER_LISTEN_FD"));
      ProcessFiles files = inherited == null ? null : sharedFiles(System.getenv("TMPDIR"));
      MemberList newer = files == null ? null : files.readOthers().newestMemberList();
      return new Startup(
          newer == null ? config : config.withKnownMembers(newer),
          json,
          operator,
          inherited,
          files);
    }

    private static ProcessFiles sharedFiles(String folder) {
      if (folder == null || folder.isEmpty()) {
        System.err.println("event=hot_restart_disabled reason=no_tmpdir");
        return null;
      }
      return new ProcessFiles(
          Path.of(folder),
          ProcessHandle.current().pid(),
          System::currentTimeMillis,
          pid -> ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false),
          System.err::println);
    }
  }

  /**
   * Runs a node until a signal ends it; returns the exit code.
   *
   * @param configFile the platform's configuration, null where the environment names none
   * @param operatorFile the operator's settings, null for the defaults
   */
  public static int serve(String configFile, String operatorFile) throws InterruptedException {
    Startup startup;
    try {
      startup = Startup.load(configFile, operatorFile);
    } catch (FormatException | IOException e) {
      return failed(e.getMessage());
    }
    Node node =
        new Node(
            startup.config(),
            startup.operator(),
            DescriptorBudget.connectionsPerServer(startup.config()),
            startup.inherited(),
            startup.files());
    try {
      node.openAdminServer();
    } catch (IOException e) {
      int exitCode = failed(e.getMessage());
      node.close();
      return exitCode;
    }
    node.haltOnLoopFailure();
    node.prepare();
    // Before it listens: once a node answers, the platform may signal it at any time.
    Runtime.getRuntime().addShutdownHook(new Thread(node::drain, "drain"));
    installReload(node, configFile, startup.configJson());
    try {
      node.listen();
    } catch (IOException e) {
      int exitCode =
          failed("cannot listen on " + startup.config().listen() + ": " + e.getMessage());
      node.close();
      // Not by way of the shutdown hook: there is nothing to drain.
      Runtime.getRuntime().halt(exitCode);
    }
    node.awaitDrained();
    return 0;
  }

  private static int failed(String reason) {
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
      node.log().line("event=reload_signal_unavailable cause=" + e);
    }
  }

  /**
   * Starts a node that knows no servers, and ends it: at the build, so that the virtual machine can
   * archive the classes that a start loads, those that read the operator's file among them. Returns
   * the exit code.
   */
  public static int rehearse(String operatorFile) throws InterruptedException {
    try (Node node = new Node(NodeConfig.rehearsal(), OperatorFile.load(operatorFile))) {
      node.start();
      for (String call : REHEARSED_CALLS) {
        callAdminServer(node.adminAddress(), call);
      }
      return 0;
    } catch (IOException | FormatException e) {
      System.err.println("rehearse: " + e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static void callAdminServer(InetSocketAddress address, String call) throws IOException {
    try (Socket caller = new Socket()) {
      caller.connect(address);
      caller
          .getOutputStream()
          .write((call + " HTTP/1.1\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
      caller.getInputStream().readAllBytes();
    }
  }
}
