package shalepaddle.sockets;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Accepts connections, and retries shortly after a failure. Failures are not passed to Netty's
 * transport, which would then stop accepting for a second. Used only on its event loop.
 */
public class TcpListener extends NioServerSocketChannel {
  private final AcceptBackoff backoff = new AcceptBackoff();

  /** Creates a listener that is not bound yet. */
  public TcpListener() {}

  /** Creates a listener for a socket that is already listening. */
  public TcpListener(ServerSocketChannel listeningSocket) {
    super(listeningSocket);
  }

  /** Creates the channel of an accepted connection. */
  protected TcpConnection createConnection(SocketChannel socket) {
    return new TcpConnection(this, socket);
  }

  /** Called when no connection waits to be accepted. */
  protected void onBacklogEmpty() {}

  /** Called when accepting has failed: connections may wait from now on. */
  protected void onAcceptFailed() {}

  /** Accepts one connection, if any waits. */
  @Override
  protected int doReadMessages(List<Object> acceptedConnections) {
    SocketChannel socket;
    try {
      socket = javaChannel().accept();
    } catch (IOException e) {
      retryLater();
      return 0;
    }
    if (socket == null) {
      onBacklogEmpty();
      return 0;
    }
    backoff.reset();
    try {
      acceptedConnections.add(createConnection(socket));
    } catch (RuntimeException e) {
      // The connection ended before it could be set up.
      closeQuietly(socket);
    }
    return 1;
  }

  private static void closeQuietly(SocketChannel socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is closed already.
    }
  }

  private void retryLater() {
    onAcceptFailed();
    config().setAutoRead(false);
    eventLoop().schedule(this::resumeAccepting, backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
  }

  private void resumeAccepting() {
    if (isOpen()) {
      config().setAutoRead(true);
    }
  }
}
