package shalepaddle.sockets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/** A TCP connection that retries interrupted reads. Used only on its event loop. */
public class TcpConnection extends NioSocketChannel {
  /** The result of a read at the end of the stream. */
  private static final int END_OF_STREAM = -1;

  private static final int NOTHING_READ = 0;

  /** Creates a connection that is not connected yet. */
  public TcpConnection() {}

  /** Creates a connection that a listener has accepted. */
  public TcpConnection(Channel listener, SocketChannel socket) {
    super(listener, socket);
  }

  /**
   * Reads the available bytes. If a read is interrupted (EINTR), the JDK returns a negative number
   * other than -1. Netty's transport treats every negative number as the end of the stream, and
   * would close the connection with requests on it. No bytes were read in that case, and the next
   * poll reports the socket again.
   */
  @Override
  protected int doReadBytes(ByteBuf bytes) throws Exception {
    int readBytes = super.doReadBytes(bytes);
    return readBytes < END_OF_STREAM ? NOTHING_READ : readBytes;
  }
}
