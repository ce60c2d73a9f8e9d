package shalepaddle.benchmarks;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/** Closed-loop load generator: each connection sends its next request once it has an answer. */
final class ClosedLoopLoad {
  private static final int KEY_COUNT = 5000;

  private final LongAdder servedCount = new LongAdder();
  private final LongAdder refusedCount = new LongAdder();
  private final Histogram latencyNanos = new SynchronizedHistogram(60_000_000_000L, 3);
  private final AtomicBoolean isMeasuring = new AtomicBoolean();

  /**
   * The result of the time that was measured, without the warm-up.
   *
   * @param servedPerSecond values received per second
   * @param p99Micros 99th percentile of the response time of values
   * @param refusedCount the number of answers without a value
   * @param refusedRatio the fraction of answers without a value
   */
  record Result(double servedPerSecond, long p99Micros, long refusedCount, double refusedRatio) {}

  /** Generates load over this many connections, first for warm-up and then measured. */
  static Result run(int port, int connections, int warmSeconds, int measuredSeconds)
      throws InterruptedException {
    return new ClosedLoopLoad().runClients(port, connections, warmSeconds, measuredSeconds);
  }

  private Result runClients(int port, int connections, int warmSeconds, int measuredSeconds)
      throws InterruptedException {
    var group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    List<Channel> channels = new ArrayList<>();
    try {
      for (int i = 0; i < connections; i++) {
        int connectionNumber = i;
        channels.add(
            new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                    new ChannelInitializer<>() {
                      @Override
                      protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Client(connectionNumber));
                      }
                    })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .sync()
                .channel());
      }
      TimeUnit.SECONDS.sleep(warmSeconds);
      long servedCountBefore = servedCount.sum();
      long refusedCountBefore = refusedCount.sum();
      long startNanos = System.nanoTime();
      isMeasuring.set(true);
      TimeUnit.SECONDS.sleep(measuredSeconds);
      isMeasuring.set(false);
      double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
      long valueCount = servedCount.sum() - servedCountBefore;
      long refusalCount = refusedCount.sum() - refusedCountBefore;
      return new Result(
          valueCount / elapsedSeconds,
          latencyNanos.getValueAtPercentile(99) / 1000,
          refusalCount,
          (double) refusalCount / Math.max(1, valueCount + refusalCount));
    } finally {
      channels.forEach(Channel::close);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /** A client connection. */
  private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
    private final int connectionNumber;
    private int sentCount;
    private long sentNanos;
    private int lineCount;
    private boolean isValue;

    Client(int connectionNumber) {
      this.connectionNumber = connectionNumber;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      send(ctx);
    }

    private void send(ChannelHandlerContext ctx) {
      sentNanos = System.nanoTime();
      lineCount = 0;
      // A meta get of the memcached protocol. The request id follows the O.
      String command =
          "mg key"
              + (connectionNumber * 31 + sentCount * 17) % KEY_COUNT
              + " v Oc"
              + connectionNumber
              + "r"
              + sentCount++
              + " Pc=read,d=2000\r\n";
      ByteBuf bytes = ctx.alloc().buffer(command.length());
      bytes.writeCharSequence(command, StandardCharsets.US_ASCII);
      ctx.writeAndFlush(bytes, ctx.voidPromise());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // The measured process is killed after its measurement, which resets this connection.
      ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      while (bytes.isReadable()) {
        byte nextByte = bytes.readByte();
        if (lineCount == 0) {
          // An answer with a value has two lines, since values contain no line feed. Any other
          // answer has one line and counts from 2, so that every answer ends at line count 3.
          isValue = nextByte == 'V';
          lineCount = isValue ? 1 : 2;
        }
        if (nextByte == '\n' && ++lineCount == 3) {
          (isValue ? servedCount : refusedCount).increment();
          if (isMeasuring.get() && isValue) {
            latencyNanos.recordValue(System.nanoTime() - sentNanos);
          }
          send(ctx);
        }
      }
    }
  }
}
