package shalepaddle.benchmarks;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * Clients that ask at a rate, whatever becomes of what they asked: what comes does not slow down
 * with the node. A request goes on a connection on which nothing is owed, where there is one, and
 * behind others where there is none. Beside them one that sends {@code mn} a hundred times a
 * second, which the node answers by itself: how long that takes is the delay of its event loop.
 */
final class OpenLoad {
  private static final int LOOPS = 3;
  private static final int KEYS = 5000;

  /** Requests behind one another on a connection at most; what comes then is counted as failed. */
  private static final int MOST_OWED = 64;

  private static final long READ_AIM = TimeUnit.MILLISECONDS.toNanos(750);
  private static final long WRITE_AIM = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * How the clients ask.
   *
   * @param perSecond first tries a second
   * @param writes the part of those that are writes
   * @param repeats how often a client asks again that was refused
   */
  record Manner(double perSecond, double writes, int repeats) {}

  /** What was measured of the requests that were first asked while it was. */
  record Result(
      double seconds,
      long reads,
      long readsInTime,
      long writes,
      long writesInTime,
      long refused,
      long failed,
      Histogram writeTimes,
      Histogram loopDelays) {

    /** Worth served in time, a second: a read counts 2, a write 5. */
    double goodput() {
      return (2 * readsInTime + 5 * writesInTime) / seconds;
    }

    double writesInTimePart() {
      return writes == 0 ? Double.NaN : (double) writesInTime / writes;
    }

    double readsInTimePart() {
      return (double) readsInTime / reads;
    }
  }

  private final Manner manner;
  private final LongAdder[] asked = {new LongAdder(), new LongAdder()};
  private final LongAdder[] inTime = {new LongAdder(), new LongAdder()};
  private final LongAdder refused = new LongAdder();
  private final LongAdder failed = new LongAdder();
  private final Histogram writeTimes = new SynchronizedHistogram(60_000_000_000L, 3);
  private final Histogram loopDelays = new SynchronizedHistogram(60_000_000_000L, 3);
  private final long measureFrom;
  private final long measureTo;

  private OpenLoad(Manner manner, int warmSeconds, int seconds) {
    this.manner = manner;
    measureFrom = System.nanoTime() + TimeUnit.SECONDS.toNanos(warmSeconds);
    measureTo = measureFrom + TimeUnit.SECONDS.toNanos(seconds);
  }

  /** Asks over so many connections, first unmeasured and then measured. */
  static Result run(int port, int connections, Manner manner, int warmSeconds, int seconds)
      throws InterruptedException {
    return new OpenLoad(manner, warmSeconds, seconds).play(port, connections);
  }

  private Result play(int port, int connections) throws InterruptedException {
    var group = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
    List<Part> parts = new ArrayList<>();
    try {
      for (int i = 0; i < LOOPS; i++) {
        parts.add(new Part(group.next(), i));
      }
      for (int i = 0; i < connections; i++) {
        connect(parts.get(i % LOOPS), port, false);
      }
      connect(parts.get(0), port, true);
      parts.forEach(Part::start);
      // What was asked last is answered, or its time is up.
      TimeUnit.NANOSECONDS.sleep(measureTo - System.nanoTime() + 2_500_000_000L);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
    return new Result(
        (measureTo - measureFrom) / 1e9,
        asked[0].sum(),
        inTime[0].sum(),
        asked[1].sum(),
        inTime[1].sum(),
        refused.sum(),
        failed.sum(),
        writeTimes,
        loopDelays);
  }

  private void connect(Part part, int port, boolean probes) throws InterruptedException {
    Client client = new Client(part, probes);
    new Bootstrap()
        .group(part.loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                channel.pipeline().addLast(client);
              }
            })
        .connect(new InetSocketAddress("127.0.0.1", port))
        .sync();
  }

  /** One request; {@code asked} is when its first try was due. */
  private record Ask(boolean write, int tries, long asked) {}

  /** The clients of one event loop. */
  private final class Part {
    private final EventLoop loop;
    private final int number;
    private final SplittableRandom random;
    private final List<Client> clients = new ArrayList<>();
    private final ArrayDeque<Client> idle = new ArrayDeque<>();
    private long began;
    private long sent;

    Part(EventLoop loop, int number) {
      this.loop = loop;
      this.number = number;
      this.random = new SplittableRandom(number + 1);
    }

    void start() {
      loop.execute(
          () -> {
            began = System.nanoTime();
            tick();
          });
    }

    /** Asks what has come due since the last tick. */
    private void tick() {
      long now = System.nanoTime();
      if (now - measureTo >= 0) {
        return;
      }
      double rate = manner.perSecond() / LOOPS / 1e9;
      for (long due = (long) ((now - began) * rate); sent < due; sent++) {
        long at = began + (long) (sent / rate);
        Ask ask = new Ask(random.nextDouble() < manner.writes(), 0, at);
        if (measured(ask)) {
          asked[ask.write() ? 1 : 0].increment();
        }
        send(ask);
      }
      loop.schedule(this::tick, 1, TimeUnit.MILLISECONDS);
    }

    private void send(Ask ask) {
      Client client = idle.poll();
      if (client == null) {
        client = clients.get(random.nextInt(clients.size()));
      }
      if (client.owed.size() >= MOST_OWED || !client.channel.isActive()) {
        failed.increment();
      } else {
        client.send(ask);
      }
    }

    private String id() {
      return Integer.toString(number) + 'x' + Long.toHexString(random.nextLong());
    }
  }

  private boolean measured(Ask ask) {
    return ask.asked() - measureFrom >= 0 && ask.asked() - measureTo < 0;
  }

  /** One connection. */
  private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
    private final Part part;
    private final boolean probes;
    private final ArrayDeque<Ask> owed = new ArrayDeque<>();
    private final StringBuilder line = new StringBuilder();
    private Channel channel;
    private boolean valueNext;
    private boolean flushing;
    private long probedAt;

    Client(Part part, boolean probes) {
      this.part = part;
      this.probes = probes;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      if (probes) {
        probe();
      } else {
        part.clients.add(this);
        part.idle.add(this);
      }
    }

    private void probe() {
      if (channel.isActive()) {
        probedAt = System.nanoTime();
        ByteBuf bytes = channel.alloc().buffer(8);
        bytes.writeCharSequence("mn\r\n", StandardCharsets.US_ASCII);
        channel.writeAndFlush(bytes, channel.voidPromise());
      }
    }

    void send(Ask ask) {
      owed.add(ask);
      String tail = ask.tries() > 0 ? ",r=1" : "";
      int key = part.random.nextInt(KEYS);
      String command =
          ask.write()
              ? "ms key" + key + " 2 O" + part.id() + " Pc=put,d=1000" + tail + "\r\nhi\r\n"
              : "mg key" + key + " v O" + part.id() + " Pc=read,d=2000" + tail + "\r\n";
      ByteBuf bytes = channel.alloc().buffer(command.length());
      bytes.writeCharSequence(command, StandardCharsets.US_ASCII);
      channel.write(bytes, channel.voidPromise());
      if (!flushing) {
        flushing = true;
        part.loop.execute(
            () -> {
              flushing = false;
              channel.flush();
            });
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      while (bytes.isReadable()) {
        char c = (char) bytes.readByte();
        if (c != '\n') {
          line.append(c);
        } else {
          answer(line.toString());
          line.setLength(0);
        }
      }
    }

    private void answer(String text) {
      long now = System.nanoTime();
      if (probes) {
        if (now - measureFrom >= 0 && now - measureTo < 0) {
          loopDelays.recordValue(now - probedAt);
        }
        part.loop.schedule(this::probe, 10, TimeUnit.MILLISECONDS);
        return;
      }
      if (text.startsWith("VA ")) {
        valueNext = true;
        return;
      }
      Ask ask = owed.poll();
      if (owed.isEmpty()) {
        part.idle.add(this);
      }
      if (valueNext || text.startsWith("HD ")) {
        valueNext = false;
        served(ask, now - ask.asked());
      } else if (text.startsWith("SERVER_ERROR busy")) {
        refused(ask, text);
      } else if (measured(ask)) {
        failed.increment();
      }
    }

    private void served(Ask ask, long took) {
      if (measured(ask)) {
        if (took <= (ask.write() ? WRITE_AIM : READ_AIM)) {
          inTime[ask.write() ? 1 : 0].increment();
        }
        if (ask.write()) {
          writeTimes.recordValue(took);
        }
      }
    }

    private void refused(Ask ask, String text) {
      if (measured(ask)) {
        refused.increment();
      }
      if (ask.tries() < manner.repeats()) {
        String advice = text.replaceAll("\\D", "");
        long millis =
            Math.max(advice.isEmpty() ? 0 : Long.parseLong(advice), part.random.nextInt(15, 120));
        part.loop.schedule(
            () -> part.send(new Ask(ask.write(), ask.tries() + 1, ask.asked())),
            millis,
            TimeUnit.MILLISECONDS);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
