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
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.IntStream;
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

  /** Requests that wait with their clients at most, on each loop; what comes then has failed. */
  private static final int MOST_WAITING = 200_000;

  private static final long READ_AIM = TimeUnit.MILLISECONDS.toNanos(750);
  private static final long WRITE_AIM = TimeUnit.MILLISECONDS.toNanos(300);

  /** So long clients go on with a request; what they send names it as its deadline. */
  private static final long READ_TIME = TimeUnit.MILLISECONDS.toNanos(2000);

  private static final long WRITE_TIME = TimeUnit.MILLISECONDS.toNanos(1000);
  private static final int READ_WORTH = 2;
  private static final int WRITE_WORTH = 5;
  private static final int FIRST_BACK_OFF = 20;

  /** What clients do that were refused, until their request's time is up. */
  enum Again {
    /** They leave. */
    NEVER,
    /** They ask again at once, whatever they were told. */
    AT_ONCE,
    /** They come when they were told to, or some time later where nothing was advised. */
    ADVISED,
    /** They wait 20 ms, and twice as long each time, by a half more or less. */
    BACK_OFF
  }

  /** First tries a second, by the time in nanoseconds since the clients began. */
  @FunctionalInterface
  interface Rate {
    double perSecond(long sinceBegin);
  }

  /**
   * How the clients ask.
   *
   * @param writes the part of first tries that are writes
   * @param repeats how often a client asks again at most
   * @param depth requests behind one another on a connection at most; what finds none waits with
   *     its client for as long as that goes on with it
   */
  record Manner(Rate rate, double writes, Again again, int repeats, int depth) {
    /** Always as many, who come again so often when they were told to. */
    static Manner steady(double perSecond, double writes, int repeats) {
      return new Manner(
          since -> perSecond,
          writes,
          repeats > 0 ? Again.ADVISED : Again.NEVER,
          repeats,
          MOST_OWED);
    }
  }

  /** Requests, each under the tenth of a second in which it was answered, since the begin. */
  static final class Timeline {
    static final long STEP_NANOS = 100_000_000L;

    private final AtomicLongArray worth;
    private final AtomicLongArray refusals;
    private volatile long begin;

    Timeline(int seconds) {
      int steps = (int) (seconds * TimeUnit.SECONDS.toNanos(1) / STEP_NANOS);
      worth = new AtomicLongArray(steps);
      refusals = new AtomicLongArray(steps);
    }

    private void add(AtomicLongArray counts, long now, int more) {
      int step = (int) ((now - begin) / STEP_NANOS);
      if (step >= 0 && step < counts.length()) {
        counts.addAndGet(step, more);
      }
    }

    /** Worth served in time a second, in each step. */
    double[] goodput() {
      return perSecond(worth);
    }

    /** Refusals a second, in each step. */
    double[] refusals() {
      return perSecond(refusals);
    }

    private static double[] perSecond(AtomicLongArray counts) {
      return IntStream.range(0, counts.length())
          .mapToDouble(i -> counts.get(i) * 1e9 / STEP_NANOS)
          .toArray();
    }
  }

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
      Histogram loopDelays,
      Timeline timeline) {

    /** Worth served in time, a second: a read counts 2, a write 5. */
    double goodput() {
      return (READ_WORTH * readsInTime + WRITE_WORTH * writesInTime) / seconds;
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
  private final Timeline timeline;

  private OpenLoad(Manner manner, int warmSeconds, int seconds) {
    this.manner = manner;
    timeline = new Timeline(warmSeconds + seconds);
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
      timeline.begin = System.nanoTime();
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
        loopDelays,
        timeline);
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
        .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
        .sync();
  }

  /** One request; {@code asked} is when its first try was due. */
  private record Ask(boolean write, int key, int tries, long asked) {
    /** Whether its client goes on with it at that time. */
    boolean wanted(long at) {
      return at - asked < (write ? WRITE_TIME : READ_TIME);
    }
  }

  /** The clients of one event loop. */
  private final class Part {
    private final EventLoop loop;
    private final int number;
    private final SplittableRandom random;
    private final List<Client> clients = new ArrayList<>();
    private final ArrayDeque<Client> idle = new ArrayDeque<>();
    private final ArrayDeque<Ask> waiting = new ArrayDeque<>();
    private long ticked;
    private double due;

    Part(EventLoop loop, int number) {
      this.loop = loop;
      this.number = number;
      this.random = new SplittableRandom(number + 1);
    }

    void start() {
      loop.execute(
          () -> {
            ticked = timeline.begin;
            tick();
          });
    }

    /** Asks what has come due since the last tick. */
    private void tick() {
      long now = System.nanoTime();
      if (now - measureTo >= 0) {
        return;
      }
      double rate = manner.rate().perSecond(now - timeline.begin) / LOOPS / 1e9;
      long at = ticked;
      for (due += rate * (now - ticked); due >= 1; due--) {
        at += (long) (1 / rate);
        boolean write = random.nextDouble() < manner.writes();
        Ask ask = new Ask(write, random.nextInt(KEYS), 0, Math.min(at, now));
        if (measured(ask)) {
          asked[ask.write() ? 1 : 0].increment();
        }
        send(ask);
      }
      ticked = now;
      loop.schedule(this::tick, 1, TimeUnit.MILLISECONDS);
    }

    private void send(Ask ask) {
      Client client = idle.poll();
      if (client == null) {
        client = clients.get(random.nextInt(clients.size()));
      }
      if (client.owed.size() < manner.depth() && client.channel.isActive()) {
        client.send(ask);
      } else if (manner.depth() < MOST_OWED && waiting.size() < MOST_WAITING) {
        waiting.add(ask);
      } else {
        failed.increment();
      }
    }

    /** Nothing is owed on this connection: what waits longest may have it. */
    private void idle(Client client) {
      long now = System.nanoTime();
      for (Ask ask = waiting.poll(); ask != null; ask = waiting.poll()) {
        if (ask.wanted(now)) {
          client.send(ask);
          return;
        }
      }
      idle.add(client);
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
      int key = ask.key();
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
      boolean kept = false;
      if (valueNext || text.startsWith("HD ")) {
        valueNext = false;
        served(ask, now - ask.asked());
      } else if (text.startsWith("SERVER_ERROR busy")) {
        kept = refused(ask, text, now);
      } else if (measured(ask)) {
        failed.increment();
      }
      if (owed.isEmpty() && !kept) {
        part.idle(this);
      }
    }

    private void served(Ask ask, long took) {
      boolean soon = took <= (ask.write() ? WRITE_AIM : READ_AIM);
      if (soon) {
        timeline.add(timeline.worth, ask.asked() + took, ask.write() ? WRITE_WORTH : READ_WORTH);
      }
      if (measured(ask)) {
        if (soon) {
          inTime[ask.write() ? 1 : 0].increment();
        }
        if (ask.write()) {
          writeTimes.recordValue(took);
        }
      }
    }

    /** Returns whether its client asks again at once, on this connection. */
    private boolean refused(Ask ask, String text, long now) {
      timeline.add(timeline.refusals, now, 1);
      if (measured(ask)) {
        refused.increment();
      }
      if (ask.tries() >= manner.repeats()) {
        return false;
      }
      Ask again = new Ask(ask.write(), ask.key(), ask.tries() + 1, ask.asked());
      String advice = text.replaceAll("\\D", "");
      long millis =
          switch (manner.again()) {
            case NEVER -> Long.MAX_VALUE;
            case AT_ONCE -> 0;
            case ADVISED ->
                Math.max(
                    advice.isEmpty() ? 0 : Long.parseLong(advice), part.random.nextInt(15, 120));
            case BACK_OFF ->
                (long)
                    (FIRST_BACK_OFF
                        * Math.pow(2, Math.min(ask.tries(), 6))
                        * (0.5 + part.random.nextDouble()));
          };
      if (!ask.wanted(now + TimeUnit.MILLISECONDS.toNanos(Math.min(millis, 1 << 20)))) {
        return false;
      }
      if (millis == 0) {
        // Whoever does not wait does not look for another connection either.
        send(again);
        return true;
      }
      part.loop.schedule(() -> part.send(again), millis, TimeUnit.MILLISECONDS);
      return false;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
