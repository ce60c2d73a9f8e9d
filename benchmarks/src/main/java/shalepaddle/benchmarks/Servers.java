package shalepaddle.benchmarks;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cache servers that answer every read at once: they must not be what is measured. */
final class Servers implements AutoCloseable {
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<Integer> ports = new ArrayList<>();

  /** So many of them, with values of that length. */
  Servers(int count, int valueBytes) throws InterruptedException {
    byte[] value = ("v".repeat(valueBytes) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    for (int i = 0; i < count; i++) {
      Channel server =
          new ServerBootstrap()
              .group(group)
              .channel(NioServerSocketChannel.class)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel.pipeline().addLast(new Answers(value));
                    }
                  })
              .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .sync()
              .channel();
      ports.add(((InetSocketAddress) server.localAddress()).getPort());
    }
  }

  List<Integer> ports() {
    return ports;
  }

  /**
   * Answers each read with the value and each write with a receipt, under the id that follows the
   * first O after a space. What is written is a line of its own.
   */
  private static final class Answers extends ByteToMessageDecoder {
    private final byte[] value;
    private boolean written;

    Answers(byte[] value) {
      this.value = value;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      int length = in.bytesBefore((byte) '\n');
      if (length < 0) {
        return;
      }
      String line = in.readCharSequence(length + 1, StandardCharsets.US_ASCII).toString();
      if (written) {
        written = false;
        return;
      }
      written = line.startsWith("ms ");
      int at = line.indexOf(" O");
      String id = line.substring(at, line.indexOf(' ', at + 1));
      String head = written ? "HD" + id + " c1\r\n" : "VA " + (value.length - 2) + id + " h1\r\n";
      ByteBuf answer = ctx.alloc().buffer(head.length() + value.length);
      answer.writeCharSequence(head, StandardCharsets.US_ASCII);
      ctx.write(written ? answer : answer.writeBytes(value), ctx.voidPromise());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // The other end is killed after its turn.
      ctx.close();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      ctx.flush();
    }
  }

  @Override
  public void close() {
    group.shutdownGracefully();
  }
}
