package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node, started as its own process with the command of the deploy file. */
final class Node {
  private final Path root;
  private final Path folder;
  private final int port;
  private Process process;

  Node(Path root) throws IOException {
    this.root = root;
    folder = Files.createTempDirectory("review-");
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      port = probe.getLocalPort();
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
  }

  int port() {
    return port;
  }

  Path log() {
    return folder.resolve("node.log");
  }

  /** Starts the node and waits until it answers mn. */
  void start(String knownList, String discovery, String settings) throws Exception {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!run.find()) {
      throw new IOException("the deploy file has no line 'run'");
    }
    String listen = "127.0.0.1:" + port;
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        "{\"name\":\"n0\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery
            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
            + "\"sockets\":1024},\"known\":" + knownList + ",\"settings\":" + settings + "}");
    Path temporary = Files.createDirectory(folder.resolve("tmp"));
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", run.group(1))
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(log().toFile());
    builder.environment().putAll(
        Map.of("ROUTER_NAME", "n0", "ROUTER_LISTEN", listen, "ROUTER_DISCOVERY", discovery,
            "ROUTER_CONFIG", config.toString(), "TMPDIR", temporary.toString()));
    process = builder.start();
    Rec.line("node started, process %d, at %s", process.pid(), listen);
    Files.writeString(Path.of(System.getProperty("pidfile")), process.pid() + "\n");
    double until = Rec.now() + 30;
    while (Rec.now() < until) {
      if (!process.isAlive()) {
        throw new IOException("the node ended at its start: " + Files.readString(log()));
      }
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.setSoTimeout(1000);
        socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
        Line answer = Line.read(socket.getInputStream());
        if (answer != null && answer.text.equals("MN")) {
          Rec.line("node is ready");
          return;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      Sys.sleep(0.05);
    }
    throw new IOException("the node was not ready within 30 s");
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Ends the process, and copies its log to the record. */
  void kill() {
    if (process == null) {
      return;
    }
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
      for (String line : Files.readAllLines(log())) {
        Rec.line("node's log: %s", line);
      }
      try (var files = Files.walk(folder)) {
        files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } catch (IOException | InterruptedException e) {
      // The folder stays.
    }
    process = null;
  }

  /** Settings with these classes; the other figures are those of the example on the wire page. */
  static String settings(int instances, double askWithin, String services) {
    return "{\"azs\":[\"budapest\",\"debrecen\"],"
        + "\"caps\":{\"attempts-cap\":6,\"cancel\":true,\"conn-idle\":60.0,\"connect-timeout\":0.15,"
        + "\"cpu-us-per-request\":0.0,\"cpu-us-per-s\":400000,\"max-retry-after\":1.0,"
        + "\"may-tell\":false,\"multiplex\":32,\"open-cap\":20000,\"parallel-tries\":true,"
        + "\"probing\":true,\"retry-after\":false},"
        + "\"clients\":{\"marks-retry\":true},"
        + "\"contract\":{\"ask-within\":" + askWithin + ",\"cold-from\":0.12,\"drain-grace\":2.0,"
        + "\"grace-to-answer\":0.02,\"overload-factor\":3.0,\"overload-for\":2.0,\"warm-within\":24.0},"
        + "\"discovery\":\"ask\","
        + "\"family-info\":{\"mode\":\"through\",\"notes\":\"\",\"origin-fall\":3.0,"
        + "\"origin-fall-multiple\":0.0,\"origin-kind\":-1,\"report-x0\":\"\",\"report-x1\":\"\"},"
        + "\"feedback\":{\"fields\":[],\"via\":\"silent\"},"
        + "\"goal\":{\"whole\":0.8,\"worst-class\":0.1,\"worst-tenant\":0.0,\"worst-window\":0.1},"
        + "\"instances\":" + instances + ",\"kinds\":[\"big-box\",\"small-box\"],\"my-number\":0,"
        + "\"over-share-worth\":0.1,\"period\":0.005,"
        + "\"prices\":{\"connection\":0.0,\"cross-zone\":0.03,\"discovery\":0.0,\"handshake\":0.0,"
        + "\"late-fail\":0.05,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.01,\"waste\":0.04},"
        + "\"service-type\":\"cache\",\"services\":[" + services + "],\"tenants\":[],\"tier\":0,"
        + "\"tiers\":[\"lista-cache\"],\"value-by\":\"request\",\"weight-kind\":\"rough\","
        + "\"zone\":\"budapest\"}";
  }

  static String service(String name, String effect, double giveUp, double slo, double window) {
    return "{\"credit\":2.0,\"effect\":\"" + effect + "\",\"give-up\":" + giveUp
        + ",\"group\":\"all\",\"late-share\":0.25,\"name\":\"" + name + "\",\"repeat-window\":"
        + window + ",\"slo\":" + slo + ",\"streamed\":false}";
  }
}
