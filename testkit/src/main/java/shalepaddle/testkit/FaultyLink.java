package shalepaddle.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy into which network faults can be injected: each connection to it is forwarded to the
 * target. A connection carries both directions. To simulate a one-way fault between two processes
 * that each send on a connection of their own, put one link in front of each process.
 *
 * <p>Uses threads for each connection. All methods may be called from any thread.
 */
public final class FaultyLink implements AutoCloseable {
  private final ServerSocket listener = new ServerSocket();
  private final InetSocketAddress target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean discarding;
  private volatile int delayMillis;

  /** Starts a proxy to the target, without faults. */
  public FaultyLink(InetSocketAddress target) throws IOException {
    this.target = target;
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    startThread(
        () -> {
          while (true) {
            Socket source = listener.accept();
            sockets.add(source);
            startThread(() -> forward(source));
          }
        });
  }

  /** The address to connect to instead of the target's. */
  public InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
  }

  /** Discards all data while the connections stay open, until {@link #clearFaults} is called. */
  public void discardData() {
    discarding = true;
  }

  /**
   * Closes all open connections, possibly in the middle of a message. New connections are
   * forwarded.
   */
  public void closeConnections() {
    sockets.forEach(FaultyLink::closeQuietly);
    sockets.clear();
  }

  /** Delays each chunk of data by this many milliseconds from now on. */
  public void setDelayMillis(int delayMillis) {
    this.delayMillis = delayMillis;
  }

  /**
   * Ends all faults. If data was discarded, closes all connections, because their streams have
   * gaps.
   */
  public void clearFaults() {
    delayMillis = 0;
    if (discarding) {
      discarding = false;
      closeConnections();
    }
  }

  private void forward(Socket source) throws IOException {
    try (source;
        Socket destination = new Socket()) {
      source.setTcpNoDelay(true);
      destination.setTcpNoDelay(true);
      destination.connect(target, 2000);
      sockets.add(destination);
      startThread(() -> copy(destination, source));
      copy(source, destination);
    } finally {
      sockets.remove(source);
    }
  }

  private void copy(Socket source, Socket destination) throws IOException {
    byte[] buffer = new byte[16 << 10];
    try {
      InputStream in = source.getInputStream();
      OutputStream out = destination.getOutputStream();
      for (int readBytes = in.read(buffer); readBytes >= 0; readBytes = in.read(buffer)) {
        int currentDelayMillis = delayMillis;
        if (currentDelayMillis > 0) {
          Thread.sleep(currentDelayMillis);
        }
        if (!discarding) {
          out.write(buffer, 0, readBytes);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closeQuietly(source);
      closeQuietly(destination);
      sockets.remove(source);
      sockets.remove(destination);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Ignored because the socket is no longer needed.
    }
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
                // Expected when one end closes the connection or the link is closed.
              }
            },
            "link");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    closeConnections();
  }
}
