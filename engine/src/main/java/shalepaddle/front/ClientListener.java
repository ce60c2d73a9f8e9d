package shalepaddle.front;

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
 * Accepts clients' connections, and knows the earliest time at which each can have arrived. Owned
 * by its event loop.
 */
public final class ClientListener extends TcpListener {
  private final boolean isInherited;

  /** Shared by connections accepted in a row, until the accept queue is seen empty. */
  private Backlog backlog = new Backlog();

  /** One that is to be bound. */
  public ClientListener() {
    isInherited = false;
  }

  /** One that listens already; it is shared with other processes and so never closed. */
  public ClientListener(ServerSocketChannel listening) {
    super(listening);
    isInherited = true;
  }

  /**
   * Accepts no more connections. An inherited listener is taken off the event loop and not closed:
   * its socket lives on in another process, and closing it here loses requests on new connections.
   */
  public void stop() {
    if (isInherited) {
      deregister();
    } else {
      acceptAll();
      close();
    }
  }

  /** Accepts the whole backlog: closing would reset it, with the requests that may wait on it. */
  private void acceptAll() {
    List<Object> waiting = new ArrayList<>();
    // Where accepting fails the rest is reset.
    while (doReadMessages(waiting) > 0) {
      // Each call accepts some.
    }
    waiting.forEach(pipeline()::fireChannelRead);
    pipeline().fireChannelReadComplete();
  }

  @Override
  protected void doClose() throws Exception {
    if (!isInherited) {
      super.doClose();
    }
  }

  @Override
  protected TcpConnection connection(SocketChannel socket) {
    return new Connection(this, socket);
  }

  @Override
  protected void backlogEmpty() {
    backlog = new Backlog();
  }

  @Override
  protected void acceptFailed() {
    backlog.failed(eventLoop().ticker().nanoTime());
  }

  /**
   * Connections that may all have waited since the same time. A turn accepts a part of many, and
   * none while accepting fails, so the last of them can be as old as the first.
   */
  private static final class Backlog {
    private boolean isKnown;
    private long sinceNanos;
    private long lastTurn;

    /** Whether accepting has failed, and the listener has not been polled since. */
    private boolean isUnpolled;

    /** The earliest time at which the connection that is accepted in this turn can have come. */
    long since(long polledNanos, long turn) {
      // A poll in between that reported nothing has seen it empty.
      boolean wasSeenEmpty = !isUnpolled && turn - lastTurn > 1;
      if (!isKnown || wasSeenEmpty || polledNanos - sinceNanos < 0) {
        sinceNanos = polledNanos;
      }
      isKnown = true;
      isUnpolled = false;
      lastTurn = turn;
      return sinceNanos;
    }

    void failed(long now) {
      if (!isKnown) {
        sinceNanos = now;
      }
      isKnown = true;
      isUnpolled = true;
    }
  }

  /** A client's connection. */
  private static final class Connection extends TcpConnection {
    private final Backlog backlog;

    Connection(ClientListener parent, SocketChannel socket) {
      super(parent, socket);
      backlog = parent.backlog;
    }

    private int unreadBytes() throws IOException {
      return javaChannel().socket().getInputStream().available();
    }
  }

  /**
   * Since when a connection that was accepted in this turn may have waited, by the loop's clock.
   */
  static long waitingSince(Channel channel, LoopClock clock) {
    long polledNanos = clock.earliestArrival();
    return channel instanceof Connection connection
        ? connection.backlog.since(polledNanos, clock.turn())
        : polledNanos;
  }

  /**
   * Whether the kernel has unread bytes of this connection. Asks the kernel itself, since the event
   * loop may not have polled for a while.
   */
  static boolean hasUnread(Channel channel) {
    try {
      return channel instanceof Connection connection
          && connection.isActive()
          && connection.unreadBytes() > 0;
    } catch (IOException e) {
      return false;
    }
  }
}
