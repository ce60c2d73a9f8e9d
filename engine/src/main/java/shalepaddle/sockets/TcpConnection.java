package shalepaddle.sockets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/** A TCP connection on which an interrupted read is retried. On its event loop alone. */
public class TcpConnection extends NioSocketChannel {
  /** The result of a read at the end of the stream. */
  private static final int END_OF_STREAM = -1;

  private static final int NOTHING_READ = 0;

  /** One that is to be connected. */
  public TcpConnection() {}

  /** One that a listener has accepted. */
  public TcpConnection(Channel listener, SocketChannel socket) {
    super(listener, socket);
  }

  /**
   * Reads the available bytes. The Java platform returns a negative number of its own for a read
   * that ended with EINTR, and the transport takes every negative number for the end of the stream:
   * the connection would be closed with requests on it. Nothing was read then, and the next poll
   * reports the socket again.
   */
  @Override
  protected int doReadBytes(ByteBuf bytes) throws Exception {
    int read = super.doReadBytes(bytes);
    return read < END_OF_STREAM ? NOTHING_READ : read;
  }
}
