package shalepaddle.sockets;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Accepts connections, and retries soon after a failure. A failure is not passed to the transport,
 * which would then accept nothing for a second. On its event loop alone.
 */
public class TcpListener extends NioServerSocketChannel {
  private final AcceptBackoff backoff = new AcceptBackoff();

  /** One that is to be bound. */
  public TcpListener() {}

  /** One whose socket listens already. */
  public TcpListener(ServerSocketChannel listening) {
    super(listening);
  }

  /** The channel of a connection that was accepted. */
  protected TcpConnection connection(SocketChannel socket) {
    return new TcpConnection(this, socket);
  }

  /** No connection waits to be accepted. */
  protected void backlogEmpty() {}

  /** Accepting has failed: connections may wait from now on. */
  protected void acceptFailed() {}

  /** Accepts one connection, if any waits. */
  @Override
  protected int doReadMessages(List<Object> accepted) {
    SocketChannel socket;
    try {
      socket = javaChannel().accept();
    } catch (IOException e) {
      retryLater();
      return 0;
    }
    if (socket == null) {
      backlogEmpty();
      return 0;
    }
    backoff.reset();
    try {
      accepted.add(connection(socket));
    } catch (RuntimeException e) {
      // It ended before it could be set up.
      closeQuietly(socket);
    }
    return 1;
  }

  private static void closeQuietly(SocketChannel socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is gone already.
    }
  }

  private void retryLater() {
    acceptFailed();
    config().setAutoRead(false);
    eventLoop().schedule(this::resumeAccepting, backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
  }

  private void resumeAccepting() {
    if (isOpen()) {
      config().setAutoRead(true);
    }
  }
}
