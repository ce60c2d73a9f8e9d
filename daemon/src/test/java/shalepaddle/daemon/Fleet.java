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
import java.util.function.IntFunction;

/**
 * Stand-in cache servers, and the discovery service that lists them. The servers answer after a
 * fixed time, by default at once, and count the writes that they execute. Each connection has its
 * own thread.
 */
final class Fleet implements Closeable {
  /** A key whose value is large. */
  static final String LARGE_KEY = "large";

  private static final int LARGE_VALUE_BYTES = 2_000_000;

  private final ServerSocket[] serverSockets;
  private final ServerSocket discoverySocket = createListeningSocket();
  private final AtomicInteger[] servedRequests;
  private final Map<String, AtomicInteger> writeExecutions = new ConcurrentHashMap<>();
  private final Set<Connection> openConnections = ConcurrentHashMap.newKeySet();
  private final int maxConnections;
  private final AnswerPolicy answerPolicy;
  private final Map<String, Long> firstArrivalNanos = new ConcurrentHashMap<>();
  private final AtomicInteger[] connectionCounts;
  private final long[] startTimeMillis;
  private int listVersion = 1;
  private final AtomicInteger rejectedConnections = new AtomicInteger();
  private final AtomicInteger watchRequests = new AtomicInteger();
  private final Set<Socket> watchSockets = ConcurrentHashMap.newKeySet();

  /**
   * What a server does with a request.
   *
   * @param delayMillis the time that it takes
   * @param isRejected whether it rejects the request instead of running it
   */
  record Treatment(long delayMillis, boolean isRejected) {}

  /** How the servers treat requests, by the index of the server. Called on many threads. */
  interface AnswerPolicy extends IntFunction<Treatment> {}

  Fleet(int serverCount) throws IOException {
    this(serverCount, Integer.MAX_VALUE, 0);
  }

  /**
   * Starts the servers and discovery.
   *
   * @param serverCount number of servers
   * @param maxConnections limit on the connections of each server
   * @param answerMillis time that a server takes for a request
   */
  Fleet(int serverCount, int maxConnections, int answerMillis) throws IOException {
    this(serverCount, maxConnections, server -> new Treatment(answerMillis, false));
  }

  /**
   * Starts the servers and discovery.
   *
   * @param serverCount number of servers
   * @param maxConnections limit on the connections of each server
   * @param answerPolicy how the servers answer; called on the threads of their connections
   */
  Fleet(int serverCount, int maxConnections, AnswerPolicy answerPolicy) throws IOException {
    this.maxConnections = maxConnections;
    this.answerPolicy = answerPolicy;
    connectionCounts = new AtomicInteger[serverCount];
    startTimeMillis = new long[serverCount];
    serverSockets = new ServerSocket[serverCount];
    servedRequests = new AtomicInteger[serverCount];
    for (int i = 0; i < serverCount; i++) {
      int serverIndex = i;
      serverSockets[i] = createListeningSocket();
      servedRequests[i] = new AtomicInteger();
      connectionCounts[i] = new AtomicInteger();
      startAccepting(serverSockets[i], socket -> new Connection(socket, serverIndex).serve());
    }
    startAccepting(discoverySocket, this::serveWatch);
  }

  private static ServerSocket createListeningSocket() throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
    return socket;
  }

  private interface ConnectionHandler {
    void handle(Socket socket) throws IOException;
  }

  private static void startAccepting(ServerSocket serverSocket, ConnectionHandler handler) {
    startThread(
        () -> {
          while (true) {
            Socket socket = serverSocket.accept();
            socket.setTcpNoDelay(true);
            startThread(
                () -> {
                  try (socket) {
                    handler.handle(socket);
                  }
                });
          }
        });
  }

  private interface IoTask {
    void run() throws IOException;
  }

  private static void startThread(IoTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The thread ends, since the peer closed the connection or the test is over.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Reads the next line without its CRLF; returns null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
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
    private final int serverIndex;

    /** Whether more bytes had arrived after the last request when its answer was written. */
    private boolean hasBufferedRequest;

    Connection(Socket socket, int serverIndex) {
      this.socket = socket;
      this.serverIndex = serverIndex;
    }

    void serve() throws IOException {
      openConnections.add(this);
      try {
        if (connectionCounts[serverIndex].incrementAndGet() > maxConnections) {
          rejectedConnections.incrementAndGet();
          readLine(socket.getInputStream());
          socket
              .getOutputStream()
              .write("SERVER_ERROR busy\r\n".getBytes(StandardCharsets.US_ASCII));
          return;
        }
        InputStream in = new BufferedInputStream(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        for (String line = readLine(in); line != null; line = readLine(in)) {
          String[] commandWords = line.split(" ", 0);
          if (commandWords[0].equals("mn")) {
            out.write("MN\r\n".getBytes(StandardCharsets.US_ASCII));
            continue;
          }
          String id = commandWords[3].substring(1);
          String value =
              commandWords[1].equals(LARGE_KEY) ? "v".repeat(LARGE_VALUE_BYTES) : "value";
          String answer = "VA " + value.length() + " O" + id + " h1\r\n" + value + "\r\n";
          if (commandWords[0].equals("ms")) {
            in.readNBytes(Integer.parseInt(commandWords[2]) + 2);
            answer = "HD O" + id + " c1\r\n";
          }
          firstArrivalNanos.putIfAbsent(id, System.nanoTime());
          Treatment treatment = answerPolicy.apply(serverIndex);
          awaitAnswerTime(treatment.delayMillis());
          if (treatment.isRejected()) {
            answer = "SERVER_ERROR busy\r\n";
          }
          synchronized (this) {
            if (socket.isClosed()) {
              return;
            }
            if (commandWords[0].equals("ms") && !treatment.isRejected()) {
              writeExecutions.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
            }
            servedRequests[serverIndex].incrementAndGet();
            out.write(answer.getBytes(StandardCharsets.US_ASCII));
            hasBufferedRequest = in.available() > 0;
          }
        }
      } finally {
        connectionCounts[serverIndex].decrementAndGet();
        openConnections.remove(this);
      }
    }

    private void awaitAnswerTime(long delayMillis) {
      try {
        Thread.sleep(delayMillis);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    synchronized void closeIfIdle() throws IOException {
      if (!hasBufferedRequest && socket.getInputStream().available() == 0) {
        socket.close();
      }
    }
  }

  /** Closes each connection without a pending request, as after an idle timeout. */
  void closeIdleConnections() throws IOException {
    for (Connection connection : openConnections) {
      connection.closeIfIdle();
    }
  }

  /** Returns how many connections were rejected because their server had too many. */
  int rejectedConnections() {
    return rejectedConnections.get();
  }

  /** Returns how many requests to watch the server list were received. */
  int watchRequests() {
    return watchRequests.get();
  }

  int serverPort(int serverIndex) {
    return serverSockets[serverIndex].getLocalPort();
  }

  int servedRequests(int serverIndex) {
    return servedRequests[serverIndex].get();
  }

  void resetCounts() {
    for (AtomicInteger count : servedRequests) {
      count.set(0);
    }
  }

  /** Returns how often the write with this id was executed. */
  int writeExecutions(String id) {
    AtomicInteger count = writeExecutions.get(id);
    return count == null ? 0 : count.get();
  }

  /** Returns whether a request has arrived at a server. */
  boolean hasArrived(String id) {
    return firstArrivalNanos.containsKey(id);
  }

  /** Returns when a request first arrived at a server; null if it did not. */
  Long firstArrivalNanos(String id) {
    return firstArrivalNanos.get(id);
  }

  int discoveryPort() {
    return discoverySocket.getLocalPort();
  }

  /** Sets the time at which a server started, by discovery's clock, and publishes a new list. */
  synchronized void setStartTime(int serverIndex, long timeMillis) {
    startTimeMillis[serverIndex] = timeMillis;
    listVersion++;
    notifyAll();
  }

  /** Returns the list of servers in discovery's JSON format. */
  synchronized String listJson() {
    StringBuilder list = new StringBuilder();
    for (int i = 0; i < serverSockets.length; i++) {
      list.append(i == 0 ? "" : ",")
          .append(
              """
              {"id":"s-%d","addr":"127.0.0.1:%d","zone":"a","kind":"m","cell":0,"state":"active",\
              "weight":1.0,"started_ms":%d}"""
                  .formatted(i, serverSockets[i].getLocalPort(), startTimeMillis[i]));
    }
    return "{\"version\":" + listVersion + ",\"full\":true,\"servers\":[" + list + "]}";
  }

  /**
   * Returns the configuration of a node in front of this fleet.
   *
   * @param port on which the node listens
   * @param maxDescriptors limit on the node's descriptors
   */
  String config(int port, int maxDescriptors) {
    return config(port, maxDescriptors, 2);
  }

  /** Returns the configuration of a node whose services have the given longest deadline. */
  String config(int port, int maxDescriptors, double longestDeadlineSeconds) {
    return """
        {"listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
         "limits":{"memory_mb":192,"sockets":%d},"known":%s,
         "settings":{"instances":1,"discovery":"push",
          "caps":{"attempts-cap":3,"cancel":true,"parallel-tries":true,"multiplex":32,
                  "connect-timeout":0.15,"conn-idle":60},
          "contract":{"ask-within":10,"drain-grace":2,"cold-from":0.1,"warm-within":1},
          "services":[{"name":"read","effect":"retryable","slo":0.75,"give-up":%s},
                      {"name":"put","effect":"fragile","slo":0.75,"give-up":%s}]}}
        """
        .formatted(
            port,
            discoveryPort(),
            maxDescriptors,
            listJson(),
            longestDeadlineSeconds,
            longestDeadlineSeconds);
  }

  /** Closes each connection on which the server list is watched. */
  void closeWatches() throws IOException {
    for (Socket watch : watchSockets) {
      watch.close();
    }
  }

  private void serveWatch(Socket socket) throws IOException {
    watchRequests.incrementAndGet();
    watchSockets.removeIf(Socket::isClosed);
    watchSockets.add(socket);
    InputStream in = new BufferedInputStream(socket.getInputStream());
    for (String line = readLine(in); line != null && !line.isEmpty(); ) {
      line = readLine(in);
    }
    OutputStream out = socket.getOutputStream();
    out.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII));
    int sentVersion = 0;
    while (true) {
      String chunk = "\n";
      synchronized (this) {
        if (sentVersion != listVersion) {
          sentVersion = listVersion;
          chunk = listJson() + "\n";
        }
      }
      out.write(
          (Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      try {
        awaitChange(sentVersion);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Waits for one second at most until the list has another version than the one sent. */
  private synchronized void awaitChange(int sentVersion) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
    long remainingNanos = deadlineNanos - System.nanoTime();
    while (sentVersion == listVersion && remainingNanos > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
      remainingNanos = deadlineNanos - System.nanoTime();
    }
  }

  @Override
  public void close() throws IOException {
    discoverySocket.close();
    for (ServerSocket serverSocket : serverSockets) {
      serverSocket.close();
    }
    for (Connection connection : openConnections) {
      connection.socket.close();
    }
  }
}
