package shalepaddle.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import shalepaddle.config.NodeConfig;
import shalepaddle.config.OperatorFile;
import shalepaddle.testkit.ScriptedPeer;

/** A node on loopback with one scripted cache server and one scripted discovery. */
final class NodeFixture implements Closeable {
  final ServerSocket cache;
  final ServerSocket discovery;
  final Node node;
  final InetSocketAddress address;
  private final List<Closeable> peers = new ArrayList<>();

  NodeFixture() throws Exception {
    this("");
  }

  /** A node with further settings, which override the usual ones. */
  NodeFixture(String settings) throws Exception {
    this(settings, OperatorFile.DEFAULTS);
  }

  /** A node with further settings, and what an operator sets. */
  NodeFixture(String settings, OperatorFile operator) throws Exception {
    cache = listen();
    discovery = listen();
    node = new Node(config(settings), operator);
    address = node.start();
  }

  /** A node that asks this discovery and knows this server, with further settings. */
  NodeFixture(ServerSocket discovery, ServerSocket cache, String settings) throws Exception {
    this.cache = cache;
    this.discovery = discovery;
    node = new Node(config(settings), OperatorFile.DEFAULTS);
    address = node.start();
  }

  /** A node that opens so many connections to a server. */
  NodeFixture(int connections) throws Exception {
    cache = listen();
    discovery = listen();
    node = new Node(config(""), OperatorFile.DEFAULTS, connections);
    address = node.start();
  }

  /** A node that may hold so many descriptors, and opens so many connections to a server. */
  NodeFixture(int connections, int sockets) throws Exception {
    cache = listen();
    discovery = listen();
    node =
        new Node(
            load(configText("").replace("\"sockets\":1024", "\"sockets\":" + sockets)),
            OperatorFile.DEFAULTS,
            connections);
    address = node.start();
  }

  static ServerSocket listen() throws IOException {
    return listen(0);
  }

  /** Listens on this port, on a free one for 0. */
  static ServerSocket listen(int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    // A fixed size: how much the system would buffer differs from machine to machine.
    socket.setReceiveBufferSize(1 << 16);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 50);
    socket.setSoTimeout(ScriptedPeer.PATIENCE_MILLIS);
    return socket;
  }

  /** The next connection to one of two servers. */
  static ScriptedPeer acceptEither(ServerSocket one, ServerSocket other) throws IOException {
    for (int i = 0; i < ScriptedPeer.PATIENCE_MILLIS / 20; i++) {
      ServerSocket server = i % 2 == 0 ? one : other;
      server.setSoTimeout(20);
      try {
        return new ScriptedPeer(server.accept());
      } catch (SocketTimeoutException e) {
        // Perhaps the other.
      }
    }
    throw new IOException("no connection to either server");
  }

  /** The configuration's text; the node listens where there is a free port. */
  String configText(String settings) {
    return """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
         "settings":{"instances":1,"discovery":"ask",
          "caps":{"attempts-cap":1,"cancel":true,"parallel-tries":true,"multiplex":32,
                  "connect-timeout":0.15,"conn-idle":60},
          "contract":{"ask-within":10,"drain-grace":2,"cold-from":0.1,"warm-within":1},
          "services":[{"name":"read","effect":"retryable","slo":0.75,"give-up":2},
                      {"name":"put","effect":"fragile","slo":0.3,"give-up":2}]%s}}
        """
        .formatted(discovery.getLocalPort(), members(7, true, cache.getLocalPort()), settings);
  }

  NodeConfig config(String settings) throws Exception {
    return load(configText(settings));
  }

  private static NodeConfig load(String text) throws Exception {
    Path file = Files.createTempFile("config", ".json");
    try {
      Files.writeString(file, text);
      return NodeConfig.load(file.toString());
    } finally {
      Files.delete(file);
    }
  }

  /** A list of one active server for each port. */
  static String members(int version, boolean full, int... ports) {
    StringBuilder servers = new StringBuilder();
    for (int port : ports) {
      servers.append(servers.isEmpty() ? "" : ",").append(member("s-" + port, port, "active"));
    }
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}".formatted(version, full, servers);
  }

  static String member(String id, int port, String state) {
    return """
        {"id":"%s","addr":"127.0.0.1:%d","zone":"a","kind":"m","cell":0,"state":"%s","weight":1.0,\
        "started_ms":0}"""
        .formatted(id, port, state);
  }

  /** A text as one chunk of an HTTP answer. */
  static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  static String get(String id, int millis) {
    return "mg key v O" + id + " Pc=read,d=" + millis + "\r\n";
  }

  static String put(String id, int millis, String value) {
    return "ms key " + value.length() + " O" + id + " Pc=put,d=" + millis + "\r\n" + value + "\r\n";
  }

  ScriptedPeer client() throws IOException {
    return keep(ScriptedPeer.connect(address));
  }

  /** What happens while the event loop does not run. */
  interface Meanwhile {
    void happens() throws Exception;
  }

  /** Holds the event loop for as long as this takes. */
  void pausedWhile(Meanwhile meanwhile) throws Exception {
    pausedWhile(120, meanwhile);
  }

  /** Holds the event loop for as long as this takes, and for so long before. */
  void pausedWhile(long millis, Meanwhile meanwhile) throws Exception {
    CountDownLatch begun = new CountDownLatch(1);
    CountDownLatch over = new CountDownLatch(1);
    Runnable hold =
        () -> {
          begun.countDown();
          awaitInLoop(over, Long.MAX_VALUE);
        };
    // At the worst moment: what came due in the time before is run once the loop runs again, and
    // comes before it reads; what is due every 100 ms is always among that.
    node.loop()
        .execute(
            () -> {
              node.loop().schedule(hold, 0, TimeUnit.MILLISECONDS);
              awaitInLoop(over, millis);
            });
    begun.await();
    try {
      meanwhile.happens();
    } finally {
      over.countDown();
    }
  }

  private static void awaitInLoop(CountDownLatch latch, long millis) {
    try {
      latch.await(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns once the event loop has read what had come. */
  void settled() throws InterruptedException {
    for (int i = 0; i < 3; i++) {
      CountDownLatch turned = new CountDownLatch(1);
      node.loop().schedule(turned::countDown, 5, TimeUnit.MILLISECONDS);
      turned.await();
    }
  }

  /** Whether the node calls discovery once more within so long. */
  boolean hasAnotherDiscoveryCall(int millis) throws IOException {
    discovery.setSoTimeout(millis);
    try {
      keep(new ScriptedPeer(discovery.accept()));
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }

  /** Whether a request comes to the cache server on a connection that is new, in so long. */
  boolean sendsOnNewConnection(int millis) throws IOException {
    cache.setSoTimeout(millis);
    try {
      Socket socket = cache.accept();
      keep(new ScriptedPeer(socket));
      socket.setSoTimeout(millis);
      return socket.getInputStream().read() >= 0;
    } catch (SocketTimeoutException e) {
      return false;
    }
  }

  /** Returns once the node accepts no more. */
  void awaitClosedListener() throws Exception {
    for (int i = 0; i < ScriptedPeer.PATIENCE_MILLIS / 10; i++) {
      try {
        ScriptedPeer.connect(address).close();
      } catch (ConnectException e) {
        return;
      }
      Thread.sleep(10);
    }
    throw new IOException("the node goes on accepting");
  }

  /** The next connection that the node opens to the cache server. */
  ScriptedPeer acceptCache() throws IOException {
    return keep(new ScriptedPeer(cache.accept()));
  }

  ScriptedPeer acceptDiscovery() throws IOException {
    return keep(new ScriptedPeer(discovery.accept()));
  }

  private ScriptedPeer keep(ScriptedPeer peer) {
    peers.add(peer);
    return peer;
  }

  @Override
  public void close() throws IOException {
    node.close();
    for (Closeable peer : peers) {
      peer.close();
    }
    cache.close();
    discovery.close();
  }
}
