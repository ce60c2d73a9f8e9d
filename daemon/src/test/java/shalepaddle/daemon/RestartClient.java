package shalepaddle.daemon;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A client that sends one request after the other, or several at a time, on a connection that it
 * uses until the connection ends. Then it connects to the address that the front names at that
 * time. Runs on one thread and records each request.
 */
final class RestartClient {
  /** How a request ended for the client. */
  enum Ending {
    SERVED,
    REFUSED,
    FAILED,
    /** The connection could not be opened, so that the request was never taken. */
    NOT_CONNECTED,
    /** The connection ended before the answer. */
    CONNECTION_ENDED,
    /** No answer came until long after the deadline. */
    NO_ANSWER,
    /** The client left since it had no answer to an earlier request on the connection. */
    ABANDONED
  }

  /**
   * A request.
   *
   * @param sentNanos when its last byte was written, or when connecting failed
   * @param endedNanos when it ended for the client
   * @param isFirstOnConnection whether it was sent first on its connection
   */
  record Sent(
      String id,
      int deadlineMillis,
      boolean isWrite,
      InetSocketAddress address,
      long sentNanos,
      long endedNanos,
      boolean isFirstOnConnection,
      Ending ending) {}

  /**
   * How clients behave.
   *
   * @param deadlineMillis the longest time that a client waits for an answer
   * @param maxThinkMillis the longest pause between an answer and the next request
   * @param pipelined the number of requests that are sent at a time
   */
  record Habits(int deadlineMillis, int maxThinkMillis, int pipelined) {}

  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  /** The pause after a connection that could not be opened. */
  private static final int RECONNECT_MILLIS = 20;

  /** By the protocol, an answer that comes later than this after the deadline is lost. */
  private static final int MAX_LATENESS_MILLIS = 500;

  private static final double MIN_DEADLINE_RATIO = 0.25;
  private static final int WRITE_SHARE_DIVISOR = 4;

  private final String name;
  private final Habits habits;
  private final Supplier<InetSocketAddress> front;
  private final SplittableRandom random;
  private final Queue<Sent> requests = new ConcurrentLinkedQueue<>();
  private final Thread thread = new Thread(this::run);
  private volatile boolean isStopped;
  private InetSocketAddress address;
  private Socket socket;
  private InputStream in;
  private int requestCount;

  /**
   * Creates a client.
   *
   * @param front names the address of the next connection, null if there is none now
   */
  RestartClient(String name, Habits habits, Supplier<InetSocketAddress> front, long seed) {
    this.name = name;
    this.habits = habits;
    this.front = front;
    this.random = new SplittableRandom(seed);
  }

  void start() {
    thread.setDaemon(true);
    thread.start();
  }

  /** Makes the client end after its present request. */
  void stop() {
    isStopped = true;
  }

  void awaitEnd() throws InterruptedException {
    thread.join();
  }

  /** The requests that have ended. */
  List<Sent> requests() {
    return List.copyOf(requests);
  }

  private void run() {
    try {
      while (!isStopped) {
        if (socket == null && !connect()) {
          TimeUnit.MILLISECONDS.sleep(RECONNECT_MILLIS);
          continue;
        }
        exchangeUntilConnectionEnds();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closeSocket();
    }
  }

  private boolean connect() {
    address = front.get();
    if (address == null) {
      return false;
    }
    socket = new Socket();
    try {
      socket.connect(address, CONNECT_TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
      return true;
    } catch (IOException e) {
      record(newRequest(System.nanoTime(), true), Ending.NOT_CONNECTED);
      closeSocket();
      return false;
    }
  }

  private void closeSocket() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // The connection is not used again.
    }
    socket = null;
  }

  private void exchangeUntilConnectionEnds() throws InterruptedException {
    boolean isFirst = true;
    while (!isStopped) {
      if (!exchange(isFirst) || !think()) {
        closeSocket();
        return;
      }
      isFirst = false;
    }
    closeSocket();
  }

  /** Pauses; returns false if the connection ends meanwhile. */
  private boolean think() {
    if (habits.maxThinkMillis() == 0) {
      return true;
    }
    try {
      socket.setSoTimeout(1 + random.nextInt(habits.maxThinkMillis()));
      return in.read() >= 0;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends requests and reads their answers; returns false if the connection has ended. */
  private boolean exchange(boolean isFirst) {
    Sent[] batch = new Sent[habits.pipelined()];
    StringBuilder commands = new StringBuilder();
    for (int i = 0; i < batch.length; i++) {
      batch[i] = newRequest(System.nanoTime(), isFirst);
      commands.append(command(batch[i]));
    }
    Ending ending = Ending.SERVED;
    try {
      socket.getOutputStream().write(commands.toString().getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      ending = Ending.CONNECTION_ENDED;
    }
    for (Sent request : batch) {
      if (ending == Ending.NO_ANSWER) {
        ending = Ending.ABANDONED;
      } else if (ending != Ending.CONNECTION_ENDED && ending != Ending.ABANDONED) {
        ending = readAnswer(request);
      }
      record(request, ending);
    }
    return ending != Ending.CONNECTION_ENDED
        && ending != Ending.NO_ANSWER
        && ending != Ending.ABANDONED;
  }

  private Sent newRequest(long now, boolean isFirst) {
    int minMillis = (int) (MIN_DEADLINE_RATIO * habits.deadlineMillis());
    int deadlineMillis = minMillis + random.nextInt(habits.deadlineMillis() - minMillis);
    boolean isWrite = random.nextInt(WRITE_SHARE_DIVISOR) == 0;
    String id = name + "r" + requestCount++;
    return new Sent(id, deadlineMillis, isWrite, address, now, now, isFirst, Ending.SERVED);
  }

  private String command(Sent request) {
    String key = "key" + random.nextInt(500);
    String flags =
        " O%s Pc=%s,d=%d\r\n"
            .formatted(request.id(), request.isWrite() ? "put" : "read", request.deadlineMillis());
    return request.isWrite()
        ? "ms " + key + " 5" + flags + "value\r\n"
        : "mg " + key + " v" + flags;
  }

  private Ending readAnswer(Sent request) {
    try {
      socket.setSoTimeout(request.deadlineMillis() + MAX_LATENESS_MILLIS);
      String line = Fleet.readLine(in);
      if (line == null) {
        return Ending.CONNECTION_ENDED;
      }
      if (line.startsWith("SERVER_ERROR busy")) {
        return Ending.REFUSED;
      }
      if (line.startsWith("VA ")) {
        return Fleet.readLine(in) == null ? Ending.CONNECTION_ENDED : Ending.SERVED;
      }
      return line.startsWith("HD ") ? Ending.SERVED : Ending.FAILED;
    } catch (SocketTimeoutException e) {
      return Ending.NO_ANSWER;
    } catch (IOException e) {
      return Ending.CONNECTION_ENDED;
    }
  }

  private void record(Sent sent, Ending ending) {
    requests.add(
        new Sent(
            sent.id(),
            sent.deadlineMillis(),
            sent.isWrite(),
            sent.address(),
            sent.sentNanos(),
            System.nanoTime(),
            sent.isFirstOnConnection(),
            ending));
  }
}
