package shalepaddle.daemon;

import io.netty.util.concurrent.Ticker;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A client that pipelines a burst of commands on one connection and closes it soon after. */
final class BurstClient implements Closeable {
  /** How the client ends its connection. */
  enum Ending {
    /** Closes the socket; unread answers make the kernel send a reset. */
    CLOSE,
    /** Shuts down its output only, so that a FIN is sent whatever is unread. */
    SHUT_DOWN_OUTPUT,
    /** Sends a reset. */
    RESET
  }

  private static final int CONNECT_TIMEOUT_MILLIS = 2000;
  private static final Ticker CLOCK = Ticker.systemTicker();

  private final Socket socket = new Socket();
  private final List<String> requestIds = new ArrayList<>();
  private long firstByteAtNanos;
  private long endedAtNanos;

  BurstClient(InetSocketAddress node) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(node, CONNECT_TIMEOUT_MILLIS);
  }

  /** Sends commands that contain these requests. */
  void send(String commands, List<String> ids) throws IOException {
    requestIds.addAll(ids);
    if (firstByteAtNanos == 0) {
      firstByteAtNanos = CLOCK.nanoTime();
    }
    socket.getOutputStream().write(commands.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Ends the connection once this time has passed since the first byte was sent. */
  void endAfter(long millis, Ending ending) throws IOException, InterruptedException {
    long endAtNanos = firstByteAtNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    TimeUnit.NANOSECONDS.sleep(Math.max(0, endAtNanos - CLOCK.nanoTime()));
    endedAtNanos = CLOCK.nanoTime();
    switch (ending) {
      case CLOSE -> socket.close();
      case SHUT_DOWN_OUTPUT -> socket.shutdownOutput();
      case RESET -> {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }
  }

  /**
   * Reads answers without their values.
   *
   * @return the first lines of so many answers, or of those that came until this time had passed
   *     since the first byte was sent
   */
  List<String> readAnswerLines(int count, long withinMillis) throws IOException {
    BufferedReader answers =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    long endAtNanos = firstByteAtNanos + TimeUnit.MILLISECONDS.toNanos(withinMillis);
    List<String> lines = new ArrayList<>();
    try {
      while (lines.size() < count) {
        long leftNanos = endAtNanos - CLOCK.nanoTime();
        socket.setSoTimeout((int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(leftNanos)));
        String line = answers.readLine();
        if (line == null) {
          break;
        }
        lines.add(line);
        if (line.startsWith("VA ")) {
          answers.readLine();
        }
      }
    } catch (SocketTimeoutException e) {
      // The remaining answers are missing.
    }
    return lines;
  }

  /** Sends one request; returns whether its answer came in this time. */
  boolean exchange(String command, long withinMillis) throws IOException {
    firstByteAtNanos = 0;
    send(command, List.of());
    return !readAnswerLines(1, withinMillis).isEmpty();
  }

  /** The ids of all requests that were sent. */
  List<String> requestIds() {
    return requestIds;
  }

  /** When the client ended its connection, by the system ticker. */
  long endedAtNanos() {
    return endedAtNanos;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
