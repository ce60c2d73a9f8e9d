package shalepaddle.testkit;

import java.io.Closeable;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A cache server with a thread for each connection, on which a function answers the requests one
 * after the other with blocking calls. Thread-safe.
 */
public final class BlockingCacheServer implements Closeable {
  /**
   * A request.
   *
   * @param isWrite whether it is a write, whose value is read already
   */
  public record Request(boolean isWrite, String key, String id) {}

  /** Answers requests. */
  @FunctionalInterface
  public interface Responder {
    /** Answers a request on its connection. Called on the connection's thread. */
    void respond(Request request, ScriptedPeer connection) throws IOException, InterruptedException;
  }

  private final ServerSocket socket;
  private final Responder responder;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final List<ScriptedPeer> connections = new CopyOnWriteArrayList<>();

  /** Accepts the connections of a listening socket, which it owns from now on. */
  public BlockingCacheServer(ServerSocket socket, Responder responder) {
    this.socket = socket;
    this.responder = responder;
    threads.execute(this::acceptConnections);
  }

  private void acceptConnections() {
    try {
      socket.setSoTimeout(0);
      while (true) {
        ScriptedPeer connection = new ScriptedPeer(socket.accept());
        connections.add(connection);
        threads.execute(() -> serve(connection));
      }
    } catch (IOException e) {
      // The server is closed.
    }
  }

  private void serve(ScriptedPeer connection) {
    try {
      for (String line = connection.readLine(); line != null; line = connection.readLine()) {
        String[] words = line.split(" ", -1);
        boolean isWrite = words[0].equals("ms");
        if (isWrite) {
          connection.readBytes(Integer.parseInt(words[2]) + 2);
        }
        responder.respond(new Request(isWrite, words[1], words[3].substring(1)), connection);
      }
    } catch (IOException | InterruptedException e) {
      // The other end has closed the connection, or the server is closed.
    }
  }

  /** Closes all connections. */
  @Override
  public void close() throws IOException {
    socket.close();
    threads.shutdownNow();
    for (ScriptedPeer connection : connections) {
      connection.close();
    }
  }
}
