package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send a request, pause for 20 ms to 4 s and send the next one on the same connection,
 * each on a thread of its own. A connection that is closed during a pause is replaced. A request
 * that was written completely counts as lost if its connection is closed before the answer, unless
 * the node may have closed it before it received the request.
 */
final class ClosedLoopClients implements Closeable {
  /**
   * If a reused connection turns out to be closed within this time after a request was sent, the
   * request and the close have crossed on the wire. By the protocol the request is then sent once
   * more on a new connection.
   */
  private static final long MAX_CLOSE_RACE_NANOS = 2_000_000;

  private static final int DEADLINE_MILLIS = 2000;

  /** The timeout is longer than any request's deadline and any pause of the node. */
  private static final int SOCKET_TIMEOUT_MILLIS = 15_000;

  private final InetSocketAddress address;
  private final AtomicInteger remainingRequests;
  private final CountDownLatch activeClients;
  private final List<Thread> threads = new ArrayList<>();
  private final Queue<String> lostRequests = new ConcurrentLinkedQueue<>();
  private final Queue<String> protocolErrors = new ConcurrentLinkedQueue<>();
  private final Queue<Long> latenessMillis = new ConcurrentLinkedQueue<>();
  private final Queue<String> writeIds = new ConcurrentLinkedQueue<>();
  private final AtomicInteger resentRequests = new AtomicInteger();
  private final AtomicInteger answeredRequests = new AtomicInteger();
  private final AtomicInteger refusedRequests = new AtomicInteger();
  private final AtomicInteger failedWrites = new AtomicInteger();
  private volatile boolean endOnConnectionFailure;

  /**
   * Starts the clients.
   *
   * @param requestCount number of requests that all clients together send
   */
  ClosedLoopClients(InetSocketAddress address, int clientCount, int requestCount) {
    this.address = address;
    remainingRequests = new AtomicInteger(requestCount);
    activeClients = new CountDownLatch(clientCount);
    for (int i = 0; i < clientCount; i++) {
      Client client = new Client(i);
      Thread thread = new Thread(client::run, "caller " + i);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  /** Waits until all clients have ended; returns false if the timeout expires first. */
  boolean awaitEnd(long timeoutMillis) throws InterruptedException {
    return activeClients.await(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  /** Makes each client end when it can't connect or finds its connection closed. */
  void endOnConnectionFailure() {
    endOnConnectionFailure = true;
  }

  /** Stops sending requests; those in flight continue. */
  void stopSending() {
    remainingRequests.set(0);
  }

  /** Returns how many requests were sent again because their connection was being closed. */
  int resentRequests() {
    return resentRequests.get();
  }

  /**
   * Like {@link #assertAllAnswered}, but allows lost requests, for tests that kill processes with
   * requests in flight.
   */
  void assertNoClientWaits(Fleet fleet) {
    assertEquals(0, activeClients.getCount(), "number of clients that still wait for an answer");
    assertEquals(List.of(), List.copyOf(protocolErrors));
    for (String id : writeIds) {
      assertTrue(fleet.writeExecutions(id) <= 1, id + " was executed more than once");
    }
  }

  int refusedRequests() {
    return refusedRequests.get();
  }

  int answeredRequests() {
    return answeredRequests.get();
  }

  int failedWrites() {
    return failedWrites.get();
  }

  /**
   * Checks that each request was answered once and in time, and each write executed at most once.
   *
   * @param maxPauseMillis the longest pause of the node, by which answers may be late
   */
  void assertAllAnswered(long maxPauseMillis, Fleet fleet) {
    assertEquals(0, activeClients.getCount(), "number of clients that still wait for an answer");
    assertEquals(
        List.of(),
        lostRequests.stream().map(lost -> lost + forwarding(lost, fleet)).toList(),
        "lost requests, besides " + answeredRequests + " answered ones");
    assertEquals(List.of(), List.copyOf(protocolErrors));
    assertTrue(answeredRequests.get() > 50, answeredRequests + " requests answered");
    // The protocol allows answers 50 ms late; 200 ms more are for delays of a busy test machine.
    long maxLatenessMillis = latenessMillis.stream().mapToLong(Long::longValue).max().orElse(0);
    assertTrue(
        maxLatenessMillis <= maxPauseMillis + 250,
        "slowest answer late by " + maxLatenessMillis + " ms");
    for (String id : writeIds) {
      assertTrue(fleet.writeExecutions(id) <= 1, id + " was executed more than once");
    }
    assertTrue(
        resentRequests.get() <= 5, resentRequests + " requests were sent again after a close");
  }

  /** Tells whether a lost request reached a server; its description begins with its id. */
  private static String forwarding(String lostRequest, Fleet fleet) {
    String id = lostRequest.split("[ :]", 2)[0];
    return fleet.hasArrived(id) ? ", forwarded" : ", never forwarded";
  }

  /** One client with its connection. */
  private final class Client {
    private final int clientNumber;
    private final SplittableRandom random;
    private Socket socket;
    private InputStream in;

    Client(int clientNumber) {
      this.clientNumber = clientNumber;
      this.random = new SplittableRandom(clientNumber);
    }

    void run() {
      try {
        for (int i = 0; remainingRequests.getAndDecrement() > 0; i++) {
          if (!sendNextRequest("c" + clientNumber + "r" + i)
              || !pause(20 + random.nextInt(3980) / (1 + i % 8))) {
            return;
          }
        }
      } catch (IOException | InterruptedException e) {
        if (!endOnConnectionFailure) {
          lostRequests.add("client " + clientNumber + ": " + e);
        }
      } finally {
        close();
        activeClients.countDown();
      }
    }

    private void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // A failed close is ignored, since the connection isn't used again.
      }
      socket = null;
    }

    /**
     * Pauses, and checks that the connection receives no bytes meanwhile; returns false if the
     * client has to end.
     */
    private boolean pause(int pauseMillis) throws IOException, InterruptedException {
      socket.setSoTimeout(pauseMillis);
      try {
        int nextByte = in.read();
        if (nextByte >= 0) {
          protocolErrors.add("client " + clientNumber + " received bytes without a request");
        }
      } catch (SocketTimeoutException e) {
        return true;
      } catch (IOException e) {
        protocolErrors.add("client " + clientNumber + ": connection without a request was reset");
      }
      close();
      return !endOnConnectionFailure;
    }

    /** Sends a request and reads its answer; returns false if the client has to end. */
    private boolean sendNextRequest(String id) throws IOException, InterruptedException {
      boolean isWrite = random.nextInt(3) == 0;
      String key = "key" + random.nextInt(200);
      String flags = "O" + id + " Pc=" + (isWrite ? "put" : "read") + ",d=" + DEADLINE_MILLIS;
      String command =
          isWrite ? "ms " + key + " 5 " + flags + "\r\nvalue\r\n" : "mg " + key + " v " + flags;
      if (isWrite) {
        writeIds.add(id);
      } else {
        command += "\r\n";
      }
      boolean isNewConnection = socket == null;
      if (isNewConnection && !connect()) {
        return false;
      }
      if (sendAndReadAnswer(id, command, isWrite, isNewConnection)) {
        return true;
      }
      resentRequests.incrementAndGet();
      close();
      if (!connect()) {
        return false;
      }
      // By the protocol, a client sends a request that crossed a close once more.
      if (!sendAndReadAnswer(id, command, isWrite, true)) {
        lostRequests.add(id + ": connection closed again at the second attempt");
      }
      return true;
    }

    private boolean connect() throws IOException {
      socket = new Socket();
      try {
        socket.connect(address, SOCKET_TIMEOUT_MILLIS);
      } catch (IOException e) {
        if (endOnConnectionFailure) {
          return false;
        }
        throw e;
      }
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
      return true;
    }

    /** Sends a command; returns false if the connection was being closed at that moment. */
    private boolean sendAndReadAnswer(
        String id, String command, boolean isWrite, boolean isNewConnection) throws IOException {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      long sentAtNanos = System.nanoTime();
      String line;
      try {
        socket.getOutputStream().write(command.getBytes(StandardCharsets.US_ASCII));
        line = Fleet.readLine(in);
      } catch (IOException e) {
        line = null;
      }
      long answerNanos = System.nanoTime() - sentAtNanos;
      if (line == null) {
        if (!isNewConnection && answerNanos < MAX_CLOSE_RACE_NANOS) {
          return false;
        }
        lostRequests.add(
            id
                + (isNewConnection ? " on a new connection" : "")
                + " after "
                + answerNanos / 1000
                + " us");
        close();
        return connect();
      }
      if (line.startsWith("VA 5 O" + id) && !isWrite) {
        if (!"value".equals(Fleet.readLine(in))) {
          protocolErrors.add(id + ": answer without its value");
        }
      } else if (line.equals("SERVER_ERROR failed")) {
        failedWrites.addAndGet(isWrite ? 1 : 0);
      } else if (line.startsWith("SERVER_ERROR busy")) {
        refusedRequests.incrementAndGet();
      } else if (!(line.startsWith("HD O" + id) && isWrite)) {
        protocolErrors.add(id + ": " + line);
      }
      answeredRequests.incrementAndGet();
      latenessMillis.add(answerNanos / 1_000_000 - DEADLINE_MILLIS);
      return true;
    }
  }

  @Override
  public void close() {
    endOnConnectionFailure = true;
    remainingRequests.set(0);
    for (Thread thread : threads) {
      thread.interrupt();
    }
  }
}
