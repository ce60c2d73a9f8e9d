package shalepaddle.daemon;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Cache servers that answer at once and write down what they carried out, and the discovery service
 * that lists them. A thread for each connection.
 */
final class Fleet implements Closeable {
  private final ServerSocket[] servers;
  private final ServerSocket discovery = listen();
  private final AtomicInteger[] served;
  private final Map<String, AtomicInteger> writes = new ConcurrentHashMap<>();
  private final Set<Connection> open = ConcurrentHashMap.newKeySet();
  private final int places;
  private final int millis;
  private final AtomicInteger[] held;
  private final long[] startedMillis;
  private int version = 1;
  private final AtomicInteger turnedDown = new AtomicInteger();
  private final AtomicInteger watches = new AtomicInteger();
  private final Set<Socket> watching = ConcurrentHashMap.newKeySet();

  Fleet(int size) throws IOException {
    this(size, Integer.MAX_VALUE, 0);
  }

  /** Servers that hold so many connections each, and answer after so many milliseconds. */
  Fleet(int size, int places, int millis) throws IOException {
    this.places = places;
    this.millis = millis;
    held = new AtomicInteger[size];
    startedMillis = new long[size];
    servers = new ServerSocket[size];
    served = new AtomicInteger[size];
    for (int i = 0; i < size; i++) {
      int number = i;
      servers[i] = listen();
      served[i] = new AtomicInteger();
      held[i] = new AtomicInteger();
      accept(servers[i], socket -> new Connection(socket, number).serve());
    }
    accept(discovery, this::watch);
  }

  private static ServerSocket listen() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    return socket;
  }

  private interface Service {
    void serve(Socket socket) throws IOException;
  }

  private static void accept(ServerSocket server, Service service) {
    thread(
        () -> {
          while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            thread(
                () -> {
                  try (socket) {
                    service.serve(socket);
                  }
                });
          }
        });
  }

  private interface Work {
    void run() throws IOException;
  }

  private static void thread(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException e) {
                // Its other end has gone, or the test is over.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** The next line without its CRLF; null at the end of the stream. */
  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c >= 0; c = in.read()) {
      if (c == '\n') {
        return line.substring(0, line.length() - 1);
      }
      line.append((char) c);
    }
    return null;
  }

  /** A node's connection to one of the servers. */
  private final class Connection {
    private final Socket socket;
    private final int server;
    private boolean busy;

    Connection(Socket socket, int server) {
      this.socket = socket;
      this.server = server;
    }

    void serve() throws IOException {
      open.add(this);
      try {
        if (held[server].incrementAndGet() > places) {
          turnedDown.incrementAndGet();
          line(socket.getInputStream());
          socket
              .getOutputStream()
              .write("SERVER_ERROR busy\r\n".getBytes(StandardCharsets.US_ASCII));
          return;
        }
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (String line = line(in); line != null; line = line(in)) {
          String[] words = line.split(" ", 0);
          String id = words[3].substring(1);
          String answer = "VA 5 O" + id + " h1\r\nvalue\r\n";
          if (words[0].equals("ms")) {
            in.readNBytes(Integer.parseInt(words[2]) + 2);
            answer = "HD O" + id + " c1\r\n";
          }
          work();
          synchronized (this) {
            if (socket.isClosed()) {
              return;
            }
            if (words[0].equals("ms")) {
              writes.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
            }
            served[server].incrementAndGet();
            out.write(answer.getBytes(StandardCharsets.US_ASCII));
            busy = in.available() > 0;
          }
        }
      } finally {
        held[server].decrementAndGet();
        open.remove(this);
      }
    }

    /** The time that a request takes. */
    private void work() {
      try {
        Thread.sleep(millis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    synchronized void closeIfIdle() throws IOException {
      if (!busy && socket.getInputStream().available() == 0) {
        socket.close();
      }
    }
  }

  /** Ends each connection on which no request waits; from both sides they have long been idle. */
  void closeIdleConnections() throws IOException {
    for (Connection connection : open) {
      connection.closeIfIdle();
    }
  }

  /** Connections that found no place. */
  int turnedDown() {
    return turnedDown.get();
  }

  /** How often the list has been asked for. */
  int watches() {
    return watches.get();
  }

  int serverPort(int server) {
    return servers[server].getLocalPort();
  }

  int served(int server) {
    return served[server].get();
  }

  void resetCounts() {
    for (AtomicInteger count : served) {
      count.set(0);
    }
  }

  /** How often the write of this id was carried out. */
  int executions(String id) {
    AtomicInteger count = writes.get(id);
    return count == null ? 0 : count.get();
  }

  int discoveryPort() {
    return discovery.getLocalPort();
  }

  /** Discovery says from now on that a server started at that time, in its own clock. */
  synchronized void tellStart(int server, long millis) {
    startedMillis[server] = millis;
    version++;
    notifyAll();
  }

  /** The list of servers, in discovery's form. */
  synchronized String list() {
    StringBuilder list = new StringBuilder();
    for (int i = 0; i < servers.length; i++) {
      list.append(i == 0 ? "" : ",")
          .append(
              """
              {"id":"s-%d","addr":"127.0.0.1:%d","zone":"a","kind":"m","cell":0,"state":"active",\
              "weight":1.0,"started_ms":%d}"""
                  .formatted(i, servers[i].getLocalPort(), startedMillis[i]));
    }
    return "{\"version\":" + version + ",\"full\":true,\"servers\":[" + list + "]}";
  }

  /** The configuration of a node that listens there, before this fleet. */
  String config(int port, int sockets) {
    return """
        {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
         "limits":{"memory_mb":192,"sockets":%d},"known":%s,
         "settings":{"instances":1,"discovery":"push",
          "caps":{"attempts-cap":3,"cancel":true,"parallel-tries":true,"multiplex":32,
                  "connect-timeout":0.15,"conn-idle":60},
          "contract":{"ask-within":10,"drain-grace":2,"cold-from":0.1,"warm-within":1},
          "services":[{"name":"read","effect":"retryable","slo":0.75,"give-up":2},
                      {"name":"put","effect":"fragile","slo":0.75,"give-up":2}]}}
        """
        .formatted(port, discoveryPort(), sockets, list());
  }

  /** Ends each connection on which the list is watched. */
  void closeWatches() throws IOException {
    for (Socket watch : watching) {
      watch.close();
    }
  }

  private void watch(Socket socket) throws IOException {
    watches.incrementAndGet();
    watching.removeIf(Socket::isClosed);
    watching.add(socket);
    InputStream in = new BufferedInputStream(socket.getInputStream());
    for (String line = line(in); line != null && !line.isEmpty(); ) {
      line = line(in);
    }
    OutputStream out = socket.getOutputStream();
    out.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII));
    int told = 0;
    while (true) {
      String text = "\n";
      synchronized (this) {
        if (told != version) {
          told = version;
          text = list() + "\n";
        }
      }
      out.write(
          (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      try {
        awaitChange(told);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns once the list has changed, and after a second at the latest. */
  private synchronized void awaitChange(int told) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
    long left = until - System.nanoTime();
    while (told == version && left > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, left);
      left = until - System.nanoTime();
    }
  }

  @Override
  public void close() throws IOException {
    discovery.close();
    for (ServerSocket server : servers) {
      server.close();
    }
    for (Connection connection : open) {
      connection.socket.close();
    }
  }
}
