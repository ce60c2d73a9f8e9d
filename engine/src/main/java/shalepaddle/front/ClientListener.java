package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import shalepaddle.loop.LoopClock;
import shalepaddle.sockets.TcpConnection;
import shalepaddle.sockets.TcpListener;

/**
 * Accepts client connections, and tracks the earliest time at which each can have arrived. Owned by
 * its event loop.
 */
public final class ClientListener extends TcpListener {
  private final boolean isInherited;

  /** The backlog of connections accepted now; replaced once the accept queue was seen empty. */
  private Backlog backlog = new Backlog();

  /** Creates a listener that is not bound yet. */
  public ClientListener() {
    isInherited = false;
  }

  /** Wraps a listening socket that is shared with other processes and therefore never closed. */
  public ClientListener(ServerSocketChannel listeningSocket) {
    super(listeningSocket);
    isInherited = true;
  }

  /**
   * Stops accepting connections. An inherited listener is only deregistered from the event loop:
   * its socket is still in use by another process, and closing it here would lose requests on new
   * connections.
   */
  public void stop() {
    if (isInherited) {
      deregister();
    } else {
      acceptAll();
      close();
    }
  }

  /** Accepts all queued connections: closing the listener would reset them and their requests. */
  private void acceptAll() {
    List<Object> acceptedConnections = new ArrayList<>();
    // If accepting fails, the close of the listener resets the remaining connections.
    while (doReadMessages(acceptedConnections) > 0) {
      // Each call of doReadMessages accepts one connection; the loop has no other step.
    }
    acceptedConnections.forEach(pipeline()::fireChannelRead);
    pipeline().fireChannelReadComplete();
  }

  @Override
  protected void doClose() throws Exception {
    if (!isInherited) {
      super.doClose();
    }
  }

  @Override
  protected TcpConnection createConnection(SocketChannel socket) {
    return new Connection(this, socket);
  }

  @Override
  protected void onBacklogEmpty() {
    backlog = new Backlog();
  }

  @Override
  protected void onAcceptFailed() {
    backlog.acceptFailed(eventLoop().ticker().nanoTime());
  }

  /**
   * The earliest arrival time of consecutively accepted connections. A turn accepts only some of
   * many queued connections, and none while accepting fails, so the last one can be as old as the
   * first.
   */
  private static final class Backlog {
    private boolean isSinceKnown;
    private long sinceNanos;
    private long lastTurn;

    /** Whether accepting has failed and the listener has not been polled since. */
    private boolean isUnpolled;

    /** The earliest time at which a connection that is accepted in this turn can have arrived. */
    long earliestArrivalNanos(long polledNanos, long turn) {
      // A poll between the two turns that did not report the listener shows that its queue was
      // empty.
      boolean wasSeenEmpty = !isUnpolled && turn - lastTurn > 1;
      if (!isSinceKnown || wasSeenEmpty || polledNanos - sinceNanos < 0) {
        sinceNanos = polledNanos;
      }
      isSinceKnown = true;
      isUnpolled = false;
      lastTurn = turn;
      return sinceNanos;
    }

    void acceptFailed(long now) {
      if (!isSinceKnown) {
        sinceNanos = now;
      }
      isSinceKnown = true;
      isUnpolled = true;
    }
  }

  /** A client's connection. */
  private static final class Connection extends TcpConnection {
    private final Backlog backlog;

    /** Whether only the end of the stream is read, and no bytes. */
    private boolean isWatched;

    Connection(ClientListener parent, SocketChannel socket) {
      super(parent, socket);
      backlog = parent.backlog;
    }

    private int unreadBytes() throws IOException {
      return javaChannel().socket().getInputStream().available();
    }

    /**
     * While the connection is only watched, reads nothing before unread bytes, and stops polling.
     */
    @Override
    protected int doReadBytes(ByteBuf bytes) throws Exception {
      if (isWatched && unreadBytes() > 0) {
        config().setAutoRead(false);
        return 0;
      }
      return super.doReadBytes(bytes);
    }
  }

  /**
   * The earliest time at which a connection that was accepted in this turn can have arrived, by the
   * loop's clock.
   */
  static long waitingSinceNanos(Channel channel, LoopClock clock) {
    long polledNanos = clock.earliestArrivalNanos();
    return channel instanceof Connection connection
        ? connection.backlog.earliestArrivalNanos(polledNanos, clock.turn())
        : polledNanos;
  }

  /**
   * Sets whether only the end of the client's stream is read, not its bytes. If bytes arrive, the
   * connection is no longer polled. No effect on channels that are no sockets.
   */
  static void setWatched(Channel channel, boolean isWatched) {
    if (channel instanceof Connection connection) {
      connection.isWatched = isWatched;
    }
  }

  /**
   * Whether the kernel has unread bytes of this connection. Queries the kernel, since the event
   * loop may not have polled the connection for some time.
   */
  static boolean hasUnreadBytes(Channel channel) {
    try {
      return channel instanceof Connection connection
          && connection.isActive()
          && connection.unreadBytes() > 0;
    } catch (IOException e) {
      return false;
    }
  }
}
