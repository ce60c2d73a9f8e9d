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

/** Cache servers that answer every request at once, so that they do not limit the measurement. */
final class StubCacheServers implements AutoCloseable {
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final List<Integer> ports = new ArrayList<>();

  /** Starts this many servers, which answer reads with a value of this length. */
  StubCacheServers(int serverCount, int valueBytes) throws InterruptedException {
    byte[] valueLine = ("v".repeat(valueBytes) + "\r\n").getBytes(StandardCharsets.US_ASCII);
    for (int i = 0; i < serverCount; i++) {
      Channel server =
          new ServerBootstrap()
              .group(group)
              .channel(NioServerSocketChannel.class)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel.pipeline().addLast(new RequestHandler(valueLine));
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
   * Answers each read with the value and each write with {@code HD}. The answer repeats the request
   * id, which begins with the first {@code O} after a space. The value of a write is a line of its
   * own.
   */
  private static final class RequestHandler extends ByteToMessageDecoder {
    private final byte[] valueLine;

    /** Whether the last command was a write, whose value is the next line. */
    private boolean isWrite;

    RequestHandler(byte[] valueLine) {
      this.valueLine = valueLine;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      int lineLength = in.bytesBefore((byte) '\n');
      if (lineLength < 0) {
        return;
      }
      String line = in.readCharSequence(lineLength + 1, StandardCharsets.US_ASCII).toString();
      if (isWrite) {
        isWrite = false;
        return;
      }
      isWrite = line.startsWith("ms ");
      int idStart = line.indexOf(" O");
      String id = line.substring(idStart, line.indexOf(' ', idStart + 1));
      String headLine =
          isWrite ? "HD" + id + " c1\r\n" : "VA " + (valueLine.length - 2) + id + " h1\r\n";
      ByteBuf answer = ctx.alloc().buffer(headLine.length() + valueLine.length);
      answer.writeCharSequence(headLine, StandardCharsets.US_ASCII);
      ctx.write(isWrite ? answer : answer.writeBytes(valueLine), ctx.voidPromise());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // The measured process is killed after its measurement, which resets this connection.
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
