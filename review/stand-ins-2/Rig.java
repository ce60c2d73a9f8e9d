import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

/**
 * The stand-ins of the second review: cache servers, discovery, clients, and the platform that
 * starts a node with the deploy file's command. Everything listens on 127.0.0.1 and a free port.
 */
final class Rig {
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  static final int BROKEN = 3;
  static final int HELD = 0;
  static final int CANNOT_RUN = 2;
  private static final long MAX_SECONDS = 112;

  private final long startNanos = System.nanoTime();
  private final BufferedWriter record;
  private final Path temporary;
  private final List<Process> processes = new CopyOnWriteArrayList<>();
  private final List<Path> logs = new CopyOnWriteArrayList<>();
  private final List<AutoCloseable> closeables = new CopyOnWriteArrayList<>();

  private Rig(Path folder) throws IOException {
    record = Files.newBufferedWriter(folder.resolve("record.txt"));
    temporary = Files.createTempDirectory("review-2-");
  }

  /** A case: returns {@link #BROKEN}, {@link #HELD} or {@link #CANNOT_RUN}. */
  interface Case {
    int run(Rig rig) throws Exception;
  }

  /** Runs a case in its folder, ends what it started, and ends this process with its result. */
  static void run(String folder, Case test) throws Exception {
    Rig rig = new Rig(Path.of(folder));
    Runtime.getRuntime().addShutdownHook(new Thread(rig::killAll));
    start(
        "time-limit",
        () -> {
          sleep(MAX_SECONDS * 1000);
          rig.say("the case took over %d s", MAX_SECONDS);
          rig.close();
          Runtime.getRuntime().halt(CANNOT_RUN);
        });
    int result = CANNOT_RUN;
    try {
      result = test.run(rig);
    } catch (Exception e) {
      rig.say("the case could not run: %s", e);
    }
    rig.say(result == HELD ? "HELD" : result == BROKEN ? "BROKEN" : "COULD NOT RUN");
    rig.close();
    Runtime.getRuntime().halt(result);
  }

  private void killAll() {
    processes.forEach(Process::destroyForcibly);
  }

  static boolean hasTrouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  void log(String format, Object... arguments) {
    String line =
        String.format(Locale.ROOT, "%9.4f ", seconds())
            + (arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments));
    synchronized (record) {
      try {
        record.write(line);
        record.newLine();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  void say(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
    log("%s", text);
    System.out.println(text);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // A connection that ends ends its thread.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Task {
    void run() throws Exception;
  }

  // ------------------------------------------------------------------------------- the platform

  /** A node that was started with the deploy file's command. */
  final class Node {
    final int port;
    final Path config;
    final Path log;
    final Map<String, String> environment = new LinkedHashMap<>();
    Process process;

    Node(String name, int port, String json) throws IOException {
      this.port = port;
      config = temporary.resolve(name + ".json");
      log = temporary.resolve(name + ".log");
      logs.add(log);
      Files.writeString(config, json);
      Path own = Files.createDirectory(temporary.resolve("tmp-" + name));
      environment.put("ROUTER_NAME", name);
      environment.put("ROUTER_LISTEN", "127.0.0.1:" + port);
      environment.put("ROUTER_CONFIG", config.toString());
      environment.put("TMPDIR", own.toString());
    }

    Node start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", deployCommand("run"));
      builder.directory(root().toFile());
      builder.environment().remove("TROUBLE");
      builder.environment().putAll(environment);
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      processes.add(process);
      return this;
    }

    /** Waits until the node answers mn with MN. */
    boolean awaitReady(long millis) {
      long until = System.nanoTime() + millis * 1_000_000;
      while (System.nanoTime() < until && process.isAlive()) {
        try (Socket socket = new Socket()) {
          socket.connect(new InetSocketAddress(LOOPBACK, port), 500);
          socket.setSoTimeout(1000);
          socket.getOutputStream().write("mn\r\n".getBytes(StandardCharsets.US_ASCII));
          byte[] answer = socket.getInputStream().readNBytes(4);
          if (new String(answer, StandardCharsets.US_ASCII).equals("MN\r\n")) {
            return true;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        sleep(50);
      }
      return false;
    }
  }

  static Path root() {
    return Path.of(System.getProperty("root"));
  }

  /** The value of a key of the deploy file. */
  static String deployCommand(String key) throws IOException {
    for (String line : Files.readAllLines(root().resolve("deploy/balancer.toml"))) {
      if (line.startsWith(key + " = \"")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IOException("the deploy file has no " + key);
  }

  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
      return socket.getLocalPort();
    }
  }

  static String service(
      String name, String effect, String group, double slo, double giveUp, double window) {
    return String.format(
        Locale.ROOT,
        "{\"credit\":2.0,\"effect\":\"%s\",\"give-up\":%s,\"group\":\"%s\",\"late-share\":0.25,"
            + "\"name\":\"%s\",\"repeat-window\":%s,\"slo\":%s,\"streamed\":false}",
        effect,
        giveUp,
        group,
        name,
        window,
        slo);
  }

  /** The configuration of a small deployment, after the example of the pages. */
  static String config(
      int port, int discoveryPort, String mode, String caps, String services, String known) {
    return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"discovery\":\"127.0.0.1:"
        + discoveryPort
        + "\",\"seed\":\"8c1f30d27a5be964\","
        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
        + "\"known\":"
        + known
        + ",\"settings\":{\"azs\":[\"a\"],\"caps\":{"
        + caps
        + "},\"clients\":{\"marks-retry\":true},"
        + "\"contract\":{\"ask-within\":10.0,\"cold-from\":0.12,\"drain-grace\":2.0,"
        + "\"grace-to-answer\":0.02,\"overload-factor\":3.0,\"overload-for\":2.0,"
        + "\"warm-within\":24.0},\"discovery\":\""
        + mode
        + "\",\"family-info\":{\"mode\":\"through\",\"notes\":\"1 hit, 2 miss\","
        + "\"origin-fall\":3.0,\"origin-fall-multiple\":0.0,\"origin-kind\":-1,"
        + "\"report-x0\":\"\",\"report-x1\":\"\"},"
        + "\"feedback\":{\"fields\":[],\"via\":\"silent\"},"
        + "\"goal\":{\"whole\":0.8,\"worst-class\":0.1,\"worst-tenant\":0.0,\"worst-window\":0.1},"
        + "\"instances\":2,\"kinds\":[\"box\"],\"my-number\":0,\"over-share-worth\":0.1,"
        + "\"period\":0.005,\"prices\":{\"connection\":0.0,\"cross-zone\":0.03,\"discovery\":0.0,"
        + "\"handshake\":0.0,\"late-fail\":0.05,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,"
        + "\"probe\":0.01,\"waste\":0.04},\"service-type\":\"cache\",\"services\":["
        + services
        + "],\"tenants\":[],\"tier\":0,\"tiers\":[\"t\"],\"value-by\":\"request\","
        + "\"weight-kind\":\"silent\",\"zone\":\"a\"}}";
  }

  /** The caps of the pages' example. */
  static String caps(String changes) {
    return "\"attempts-cap\":6,\"cancel\":true,\"conn-idle\":60.0,\"connect-timeout\":0.15,"
        + "\"cpu-us-per-request\":0.0,\"cpu-us-per-s\":400000,\"max-retry-after\":1.0,"
        + "\"may-tell\":false,\"multiplex\":32,\"open-cap\":20000,\"parallel-tries\":true,"
        + "\"probing\":false,\"retry-after\":false"
        + changes;
  }

  // ---------------------------------------------------------------------------------- discovery

  static String list(List<String> entries) {
    return "{\"version\":1,\"full\":true,\"servers\":[" + String.join(",", entries) + "]}";
  }

  static String entry(String id, int port, int cell, String state) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"a\",\"kind\":\"box\",\"cell\":"
        + cell
        + ",\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":0}";
  }

  /** Discovery: the whole list at the start of each watch, then empty lines. */
  final class Discovery implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 50, LOOPBACK);
    private final List<OutputStream> watches = new ArrayList<>();
    private final Map<String, String> entries = new LinkedHashMap<>();

    Discovery() throws IOException {
      closeables.add(this);
      Rig.start("discovery", this::accept);
      Rig.start("discovery-heartbeat", this::beat);
    }

    int port() {
      return listener.getLocalPort();
    }

    synchronized void put(String id, String entry) {
      entries.put(id, entry);
    }

    synchronized String whole() {
      return list(List.copyOf(entries.values()));
    }

    private synchronized void send(String text) {
      for (OutputStream watch : List.copyOf(watches)) {
        try {
          chunk(watch, text);
        } catch (IOException e) {
          watches.remove(watch);
        }
      }
    }

    private void chunk(OutputStream out, String text) throws IOException {
      byte[] body = text.getBytes(StandardCharsets.UTF_8);
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write((Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      bytes.write(body);
      bytes.write("\r\n".getBytes(StandardCharsets.US_ASCII));
      out.write(bytes.toByteArray());
      out.flush();
    }

    private void beat() throws Exception {
      while (true) {
        sleep(2000);
        send("\n");
      }
    }

    private void accept() throws Exception {
      while (true) {
        Socket socket = listener.accept();
        Rig.start("discovery-call", () -> serve(socket));
      }
    }

    private void serve(Socket socket) throws Exception {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String request = line(in);
      for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
        // No header matters.
      }
      log("discovery is called: %s", request);
      OutputStream out = socket.getOutputStream();
      boolean isWatch = request != null && request.contains("follow=1");
      synchronized (this) {
        if (isWatch) {
          out.write(
              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
          chunk(out, whole() + "\n");
          watches.add(out);
        } else {
          byte[] body = whole().getBytes(StandardCharsets.UTF_8);
          out.write(
              ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
          out.write(body);
        }
        out.flush();
      }
      while (in.read() >= 0) {
        // A watch lasts until its connection ends.
      }
      synchronized (this) {
        watches.remove(out);
      }
      socket.close();
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  // ------------------------------------------------------------------------------ cache servers

  /** A command as a cache server reads it. */
  static final class Command {
    String line;
    String verb;
    String key;
    String id;
    Map<String, String> properties = new LinkedHashMap<>();
    byte[] value;
    double arrived;
    boolean isTurnedAway;
  }

  /** A connection to a cache server. */
  static final class Link {
    final Socket socket;
    final InputStream in;
    final OutputStream out;
    volatile boolean hasEnded;

    /** Whether no command waited behind the one that is being handled when it was begun. */
    volatile boolean isQueueEmpty;

    Link(Socket socket, BooleanSupplier pauses) throws IOException {
      this.socket = socket;
      InputStream bytes =
          new FilterInputStream(socket.getInputStream()) {
            @Override
            public int read(byte[] into, int from, int length) throws IOException {
              while (pauses.getAsBoolean()) {
                Rig.sleep(5);
              }
              return super.read(into, from, length);
            }
          };
      this.in = new BufferedInputStream(bytes, 1 << 16);
      this.out = socket.getOutputStream();
    }

    void write(byte[] bytes) throws IOException {
      synchronized (out) {
        out.write(bytes);
        out.flush();
      }
    }

    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** What a cache server does with a command; called in the order of the commands. */
  interface Behaviour {
    void handle(CacheServer server, Link link, Command command) throws Exception;
  }

  /** What a cache server does as a command arrives, also while an earlier one is being handled. */
  interface Arrival {
    /** Returns whether the command needs nothing more. */
    boolean isDone(CacheServer server, Link link, Command command) throws IOException;
  }

  /** A cache server that answers each connection's commands in order. */
  final class CacheServer implements AutoCloseable {
    final String id;
    final AtomicLong commands = new AtomicLong();
    final List<Link> links = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private final Behaviour behaviour;

    /** Called when a command has arrived; probes are handled as other commands are if it is set. */
    volatile Arrival onArrival;

    /** While it is true the server reads nothing. */
    volatile BooleanSupplier pauses = () -> false;

    CacheServer(String id, Behaviour behaviour) throws IOException {
      this.id = id;
      this.behaviour = behaviour;
      listener = new ServerSocket();
      listener.bind(new InetSocketAddress(LOOPBACK, 0), 128);
      closeables.add(this);
      Rig.start("server-" + id, this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    private void accept() throws Exception {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Rig.start("link-" + id, () -> serve(socket));
      }
    }

    private void serve(Socket socket) throws Exception {
      Link link = new Link(socket, () -> pauses.getAsBoolean());
      links.add(link);
      BlockingQueue<Command> arrived = new LinkedBlockingQueue<>();
      Rig.start("worker-" + id, () -> work(link, arrived));
      try {
        // Commands are read as they arrive, also while an earlier one is being handled.
        for (Command command = readCommand(link); command != null; command = readCommand(link)) {
          if (onArrival == null || !onArrival.isDone(this, link, command)) {
            arrived.add(command);
          }
        }
      } finally {
        link.hasEnded = true;
        links.remove(link);
        Command end = new Command();
        end.verb = "";
        arrived.add(end);
        socket.close();
      }
    }

    private void work(Link link, BlockingQueue<Command> arrived) throws Exception {
      for (Command command = arrived.take(); !command.verb.isEmpty(); command = arrived.take()) {
        link.isQueueEmpty = arrived.isEmpty();
        if (command.verb.equals("mn") && onArrival == null) {
          link.write("MN\r\n");
        } else {
          commands.incrementAndGet();
          behaviour.handle(this, link, command);
        }
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Link link : links) {
        link.socket.close();
      }
    }
  }

  /** Reads a command with its value; null at the end of the stream. */
  Command readCommand(Link link) throws IOException {
    String text = line(link.in);
    if (text == null) {
      return null;
    }
    Command command = parse(text);
    if (command.verb.equals("ms")) {
      int length = Integer.parseInt(text.split(" +")[2]);
      command.value = link.in.readNBytes(length);
      byte[] end = link.in.readNBytes(2);
      if (command.value.length < length || end.length < 2) {
        return null;
      }
    }
    command.arrived = seconds();
    return command;
  }

  static Command parse(String text) {
    Command command = new Command();
    command.line = text;
    String[] tokens = text.split(" +");
    command.verb = tokens[0];
    command.key = tokens.length > 1 ? tokens[1] : "";
    for (String token : tokens) {
      if (token.startsWith("O") && token.length() > 1) {
        command.id = token.substring(1);
      } else if (token.startsWith("P")) {
        for (String pair : token.substring(1).split(",")) {
          int equals = pair.indexOf('=');
          if (equals > 0) {
            command.properties.put(pair.substring(0, equals), pair.substring(equals + 1));
          }
        }
      }
    }
    return command;
  }

  /** Reads a line without its CRLF; null at the end of the stream. */
  static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        int length = text.length();
        if (length > 0 && text.charAt(length - 1) == '\r') {
          text.setLength(length - 1);
        }
        return text.toString();
      }
      text.append((char) b);
    }
    return null;
  }

  static byte[] value(String id, byte[] bytes) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(("VA " + bytes.length + " O" + id + "\r\n").getBytes(StandardCharsets.US_ASCII));
    out.writeBytes(bytes);
    out.writeBytes("\r\n".getBytes(StandardCharsets.US_ASCII));
    return out.toByteArray();
  }

  // ------------------------------------------------------------------------------------ clients

  /** A client's connection, which reads answers in the order of its commands. */
  final class Client implements AutoCloseable {
    final Socket socket;
    final InputStream in;
    final OutputStream out;

    Client(int port) throws IOException {
      socket = new Socket();
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(LOOPBACK, port), 2000);
      in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
      out = socket.getOutputStream();
    }

    void send(String text) throws IOException {
      for (String line : text.split("\r\n")) {
        if (line.startsWith("mg ") || line.startsWith("ms ")) {
          log("a client sends %s", line);
        }
      }
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    /** The next answer's first line, its value read; null if the connection has ended. */
    String answer() throws IOException {
      String head = line(in);
      if (head != null && head.startsWith("VA ")) {
        int length = Integer.parseInt(head.split(" ")[1]);
        byte[] body = in.readNBytes(length);
        byte[] end = in.readNBytes(2);
        if (body.length < length || end.length < 2) {
          return "CUT " + head + " after " + body.length;
        }
      }
      return head;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static String read(String key, String id, String serviceClass, int deadlineMillis) {
    return "mg " + key + " v O" + id + " Pc=" + serviceClass + ",d=" + deadlineMillis + "\r\n";
  }

  private void close() throws Exception {
    for (AutoCloseable closeable : closeables) {
      try {
        closeable.close();
      } catch (Exception e) {
        // Closing goes on.
      }
    }
    killAll();
    for (Process process : processes) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
    for (Path nodeLog : logs) {
      if (Files.exists(nodeLog)) {
        for (String line : Files.readAllLines(nodeLog, StandardCharsets.ISO_8859_1)) {
          log("%s: %s", nodeLog.getFileName(), line);
        }
      }
    }
    synchronized (record) {
      record.close();
    }
    try (Stream<Path> paths = Files.walk(temporary)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(path);
      }
    }
  }
}
