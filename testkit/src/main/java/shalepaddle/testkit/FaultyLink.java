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
 * One way from a process to another that can be troubled: whoever connects here is joined with the
 * target. A connection carries both directions; where each of two processes speaks on a connection
 * of its own, a link for each makes one-way trouble.
 *
 * <p>Threads for each connection; all methods may be called from any thread.
 */
public final class FaultyLink implements AutoCloseable {
  private final ServerSocket listener = new ServerSocket();
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean silent;
  private volatile int delayMillis;

  /** A link to there, with no trouble yet. */
  public FaultyLink(InetSocketAddress target) throws IOException {
    this.target = target;
    listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    thread(
        () -> {
          while (true) {
            Socket from = listener.accept();
            open.add(from);
            thread(() -> join(from));
          }
        });
  }

  /** Where to connect in the target's place. */
  public InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
  }

  /** All that is sent is taken and lost, on connections that stay open, until it is healed. */
  public void lose() {
    silent = true;
  }

  /** Ends what is open, perhaps in the middle of a message; new connections are joined as ever. */
  public void cut() {
    open.forEach(FaultyLink::end);
    open.clear();
  }

  /** From now on what is sent comes so much later. */
  public void delay(int millis) {
    delayMillis = millis;
  }

  /** No trouble from now on. What has lost bytes is ended: its ends can't agree any more. */
  public void heal() {
    delayMillis = 0;
    if (silent) {
      silent = false;
      cut();
    }
  }

  private void join(Socket from) throws IOException {
    try (from;
        Socket to = new Socket()) {
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
      to.connect(target, 2000);
      open.add(to);
      thread(() -> pump(to, from));
      pump(from, to);
    } finally {
      open.remove(from);
    }
  }

  private void pump(Socket from, Socket to) throws IOException {
    byte[] bytes = new byte[16 << 10];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(bytes); read >= 0; read = in.read(bytes)) {
        int late = delayMillis;
        if (late > 0) {
          Thread.sleep(late);
        }
        if (!silent) {
          out.write(bytes, 0, read);
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      end(from);
      end(to);
      open.remove(from);
      open.remove(to);
    }
  }

  private static void end(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is of no more use.
    }
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
                // One of its ends has gone, or the link is closed.
              }
            },
            "link");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    cut();
  }
}
