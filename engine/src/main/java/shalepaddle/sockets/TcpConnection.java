package shalepaddle.sockets;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.BooleanSupplier;

/**
 * A TCP connection that retries interrupted reads, and asks right before each write whether it may
 * still be done. Used only on its event loop.
 */
public class TcpConnection extends NioSocketChannel {
  /** The result of a read at the end of the stream. */
  private static final int END_OF_STREAM = -1;

  private static final int NOTHING_READ = 0;

  private BooleanSupplier writeCheck = () -> true;

  /** Creates a connection that is not connected yet. */
  public TcpConnection() {}

  /** Creates a connection that a listener has accepted. */
  public TcpConnection(Channel listener, SocketChannel socket) {
    super(listener, socket);
  }

  /**
   * Sets a check that is made right before bytes are handed to the kernel. If it fails, they stay
   * in the outbound buffer until the next flush.
   */
  public void setWriteCheck(BooleanSupplier writeCheck) {
    this.writeCheck = writeCheck;
  }

  @Override
  protected void doWrite(ChannelOutboundBuffer outboundBuffer) throws Exception {
    if (writeCheck.getAsBoolean()) {
      super.doWrite(outboundBuffer);
    }
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
