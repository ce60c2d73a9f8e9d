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

/** Clients that ask again as soon as they are answered, one request on each connection. */
final class Load {
  private static final int KEYS = 5000;

  private final LongAdder served = new LongAdder();
  private final LongAdder refused = new LongAdder();
  private final Histogram latencies = new SynchronizedHistogram(60_000_000_000L, 3);
  private final AtomicBoolean measuring = new AtomicBoolean();

  /**
   * What was measured.
   *
   * @param perSecond values that came, a second
   * @param p99Micros how long 99 of 100 of those took at most
   * @param refused requests whose answer was no value, in all the time measured
   * @param refusedPart their part of all answers
   */
  record Result(double perSecond, long p99Micros, long refused, double refusedPart) {}

  /** Asks over so many connections, first unmeasured and then measured. */
  static Result run(int port, int connections, int warmSeconds, int seconds)
      throws InterruptedException {
    return new Load().play(port, connections, warmSeconds, seconds);
  }

  private Result play(int port, int connections, int warmSeconds, int seconds)
      throws InterruptedException {
    var group = new MultiThreadIoEventLoopGroup(3, NioIoHandler.newFactory());
    List<Channel> channels = new ArrayList<>();
    try {
      for (int i = 0; i < connections; i++) {
        int number = i;
        channels.add(
            new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                    new ChannelInitializer<>() {
                      @Override
                      protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Client(number));
                      }
                    })
                .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .sync()
                .channel());
      }
      TimeUnit.SECONDS.sleep(warmSeconds);
      long before = served.sum();
      long refusedBefore = refused.sum();
      long began = System.nanoTime();
      measuring.set(true);
      TimeUnit.SECONDS.sleep(seconds);
      measuring.set(false);
      double elapsed = (System.nanoTime() - began) / 1e9;
      long values = served.sum() - before;
      long others = refused.sum() - refusedBefore;
      return new Result(
          values / elapsed,
          latencies.getValueAtPercentile(99) / 1000,
          others,
          (double) others / Math.max(1, values + others));
    } finally {
      channels.forEach(Channel::close);
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  /** One connection. */
  private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
    private final int number;
    private int sent;
    private long sentAt;
    private int lines;
    private boolean value;

    Client(int number) {
      this.number = number;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      send(ctx);
    }

    private void send(ChannelHandlerContext ctx) {
      sentAt = System.nanoTime();
      lines = 0;
      String command =
          "mg key"
              + (number * 31 + sent * 17) % KEYS
              + " v Oc"
              + number
              + "r"
              + sent++
              + " Pc=read,d=2000\r\n";
      ByteBuf bytes = ctx.alloc().buffer(command.length());
      bytes.writeCharSequence(command, StandardCharsets.US_ASCII);
      ctx.writeAndFlush(bytes, ctx.voidPromise());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // The other end is killed after its turn.
      ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      while (bytes.isReadable()) {
        byte next = bytes.readByte();
        if (lines == 0) {
          // A value has two lines and holds none; a refusal has one.
          value = next == 'V';
          lines = value ? 1 : 2;
        }
        if (next == '\n' && ++lines == 3) {
          (value ? served : refused).increment();
          if (measuring.get() && value) {
            latencies.recordValue(System.nanoTime() - sentAt);
          }
          send(ctx);
        }
      }
    }
  }
}
