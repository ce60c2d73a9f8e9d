package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection to the node. */
final class Client implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong(System.nanoTime());
  final Socket socket = new Socket();
  final InputStream in;
  final OutputStream out;

  Client(int port, int receiveBufferBytes) throws IOException {
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
    }
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  static String newId() {
    return String.format("%016x", IDS.addAndGet(7919));
  }

  static byte[] readCommand(String id, String key, String service, int deadlineMillis) {
    return ("mg " + key + " v O" + id + " Pc=" + service + ",d=" + deadlineMillis + "\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  static byte[] writeCommand(
      String id, String key, String service, int deadlineMillis, int valueBytes, String more) {
    byte[] head =
        ("ms " + key + " " + valueBytes + " O" + id + " Pc=" + service + ",d=" + deadlineMillis
                + more + "\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    byte[] command = new byte[head.length + valueBytes + 2];
    System.arraycopy(head, 0, command, 0, head.length);
    java.util.Arrays.fill(command, head.length, head.length + valueBytes, (byte) 'x');
    command[command.length - 2] = '\r';
    command[command.length - 1] = '\n';
    return command;
  }

  void send(byte[] command) throws IOException {
    out.write(command);
  }

  /** Reads one whole answer: its line, and its value if it has one; null if the stream has ended. */
  Line answer(double withinSeconds) throws IOException {
    socket.setSoTimeout((int) Math.max(1, withinSeconds * 1000));
    Line answer = Line.read(in);
    if (answer != null && answer.word(0).equals("VA")) {
      answer.readValue(in, Integer.parseInt(answer.word(1)));
    }
    return answer;
  }

  /** Like {@link #answer}, with a text for each way in which there can be none. */
  String answerText(double withinSeconds) {
    try {
      Line answer = answer(withinSeconds);
      return answer == null ? "END OF STREAM" : answer.text;
    } catch (SocketTimeoutException e) {
      return "NOTHING";
    } catch (IOException e) {
      return "BROKEN: " + e.getMessage();
    }
  }

  static boolean isWhole(String answer) {
    return !answer.equals("END OF STREAM")
        && !answer.equals("NOTHING")
        && !answer.startsWith("BROKEN");
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
