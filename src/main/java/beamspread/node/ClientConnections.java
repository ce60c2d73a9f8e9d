package beamspread.node;

import io.netty.channel.EventLoop;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** All connections of clients: which are idle, and which must give way. */
final class ClientConnections {
  private final LinkedHashSet<ClientHandler> open = new LinkedHashSet<>();

  /** Those between requests, longest idle first. */
  private final LinkedHashSet<ClientHandler> idle = new LinkedHashSet<>();

  private boolean draining;
  private Runnable whenEmpty;

  void opened(ClientHandler client) {
    open.add(client);
    idle(client);
  }

  void busy(ClientHandler client) {
    idle.remove(client);
  }

  void idle(ClientHandler client) {
    if (!client.isIdle()) {
      return;
    }
    if (!draining) {
      idle.add(client);
    } else if (client.isUsed()) {
      // Guards against cutting off a client that has just connected and is about to write its first
      // command: that connection is not between two requests.
      client.close();
    }
  }

  void closed(ClientHandler client) {
    open.remove(client);
    idle.remove(client);
    if (draining && open.isEmpty()) {
      whenEmpty.run();
    }
  }

  int size() {
    return open.size();
  }

  /** Closes the connection that has been idle longest; false if none is idle. */
  boolean closeIdlest() {
    Iterator<ClientHandler> first = idle.iterator();
    if (!first.hasNext()) {
      return false;
    }
    ClientHandler client = first.next();
    first.remove();
    client.close();
    return true;
  }

  void closeStuck(long now) {
    for (ClientHandler client : List.copyOf(open)) {
      client.closeIfStuck(now);
    }
  }

  /** From now on closes each connection as it falls idle; runs the step when none is left. */
  void drain(EventLoop loop, Runnable then) {
    draining = true;
    whenEmpty = then;
    if (open.isEmpty()) {
      then.run();
    } else {
      idle.removeIf(client -> !client.isUsed());
      closeNext(loop);
    }
  }

  /**
   * Closes idle connections one by one. Guards against requests that come while others are being
   * closed and would stay unread until their own connection is: between two closes the event loop
   * reads what has come.
   */
  private void closeNext(EventLoop loop) {
    if (closeIdlest()) {
      loop.schedule(() -> closeNext(loop), 1, TimeUnit.MILLISECONDS);
    }
  }
}
