package shalepaddle.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Clients for which a node has to know what they and its servers have taken: some read a large
 * value slowly, some leave while their large write is out. They try again until they are stopped.
 */
final class DisturbingClients {
  private static final int STEP_BYTES = 5_000;
  private static final int STEP_MILLIS = 50;
  private static final int WRITE_BYTES = 300_000;
  private static final int STAY_MILLIS = 30;

  private final InetSocketAddress node;
  private volatile boolean isStopped;
  private int clientCount;

  DisturbingClients(InetSocketAddress node) {
    this.node = node;
  }

  /** Starts so many clients of each kind. */
  void start(int slowReaders, int leavingWriters) {
    for (int i = 0; i < slowReaders; i++) {
      startThread(this::readSlowly);
    }
    for (int i = 0; i < leavingWriters; i++) {
      startThread(this::writeAndLeave);
    }
  }

  /** Makes all clients leave soon. */
  void stop() {
    isStopped = true;
  }

  private interface Exchange {
    void run(Socket socket, String id) throws IOException, InterruptedException;
  }

  private void startThread(Exchange exchange) {
    String name = "disturbing" + clientCount++;
    Thread thread = new Thread(() -> repeat(exchange, name));
    thread.setDaemon(true);
    thread.start();
  }

  private void repeat(Exchange exchange, String name) {
    try {
      for (int i = 0; !isStopped; i++) {
        try (Socket socket = new Socket(node.getAddress(), node.getPort())) {
          exchange.run(socket, name + "-" + i);
        } catch (IOException e) {
          // The node has closed the connection, or has ended.
        }
        TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void readSlowly(Socket socket, String id) throws IOException, InterruptedException {
    send(socket, "mg " + Fleet.LARGE_KEY + " v O" + id + " Pc=read,d=300\r\n");
    InputStream in = socket.getInputStream();
    while (!isStopped && in.readNBytes(STEP_BYTES).length == STEP_BYTES) {
      TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
    }
  }

  private void writeAndLeave(Socket socket, String id) throws IOException, InterruptedException {
    send(socket, "ms key " + WRITE_BYTES + " O" + id + " Pc=put,d=300\r\n");
    socket.getOutputStream().write(new byte[WRITE_BYTES]);
    send(socket, "\r\n");
    TimeUnit.MILLISECONDS.sleep(STAY_MILLIS);
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }
}
