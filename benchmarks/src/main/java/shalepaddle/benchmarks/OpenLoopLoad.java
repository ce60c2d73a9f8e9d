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
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * Open-loop load generator: clients send requests at a given rate, which does not slow down with
 * the node. A request is sent on an idle connection if there is one, and otherwise pipelined behind
 * other requests. One more client sends the no-op command {@code mn} 10 ms after each answer. The
 * node answers {@code mn} without a cache server, so that the response time is the delay of the
 * node's event loop.
 */
final class OpenLoopLoad {
  private static final int EVENT_LOOPS = 3;
  private static final int KEY_COUNT = 5000;

  /** The most requests that are pipelined on a connection; further requests fail. */
  private static final int MAX_PIPELINED_REQUESTS = 64;

  /** The most requests that wait for a connection, per event loop; further requests fail. */
  private static final int MAX_WAITING_REQUESTS = 200_000;

  /** Latency objectives, as in the node's settings. */
  private static final long READ_OBJECTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

  private static final long WRITE_OBJECTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /** Client deadlines, which are also sent with each request. */
  private static final long READ_DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

  private static final long WRITE_DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

  /** Priority weights, as in the node's settings. */
  private static final int READ_WEIGHT = 2;

  private static final int WRITE_WEIGHT = 5;
  private static final int FIRST_BACK_OFF_MILLIS = 20;

  /** When clients retry a refused request, if the retry is sent before the request's deadline. */
  enum RetryPolicy {
    /** Clients do not retry. */
    NEVER,
    /** Clients retry at once, and ignore the node's advice. */
    AT_ONCE,
    /** Clients retry after the advised time, but not before a random delay of 15 to 120 ms. */
    ADVISED,
    /** Clients wait 20 ms, doubled with each of the first 6 retries, with a jitter of 50%. */
    BACK_OFF
  }

  /** The rate of first attempts, by the time since the clients started. */
  @FunctionalInterface
  interface Rate {
    double perSecond(long elapsedNanos);
  }

  /**
   * The load that the clients generate.
   *
   * @param rate first attempts per second
   * @param writeRatio the fraction of requests that are writes
   * @param retryPolicy when refused requests are retried
   * @param maxRetries the most retries of a request
   * @param maxPipelinedRequests the most requests that are pipelined on a connection; if this is
   *     less than {@link OpenLoopLoad#MAX_PIPELINED_REQUESTS}, further requests wait for a
   *     connection until their deadline
   */
  record Workload(
      Rate rate,
      double writeRatio,
      RetryPolicy retryPolicy,
      int maxRetries,
      int maxPipelinedRequests) {
    /** Returns a load of constant rate, with at most this many retries, at the advised times. */
    static Workload constantRate(double perSecond, double writeRatio, int maxRetries) {
      return new Workload(
          elapsedNanos -> perSecond,
          writeRatio,
          maxRetries > 0 ? RetryPolicy.ADVISED : RetryPolicy.NEVER,
          maxRetries,
          MAX_PIPELINED_REQUESTS);
    }
  }

  /** The result for requests whose first attempt was due in the measured time after warm-up. */
  record Result(
      double measuredSeconds,
      long readCount,
      long readsInTimeCount,
      long writeCount,
      long writesInTimeCount,
      long refusedCount,
      long failedCount,
      Histogram writeLatencyNanos,
      Histogram loopDelayNanos,
      GoodputTimeline timeline) {

    /** Returns the priority weight of the requests served within their objectives, per second. */
    double goodput() {
      return (READ_WEIGHT * readsInTimeCount + WRITE_WEIGHT * writesInTimeCount) / measuredSeconds;
    }

    double writesInTimeRatio() {
      return writeCount == 0 ? Double.NaN : (double) writesInTimeCount / writeCount;
    }

    double readsInTimeRatio() {
      return (double) readsInTimeCount / readCount;
    }
  }

  private final Workload workload;

  /** Measured requests: index 0 for reads, 1 for writes. */
  private final LongAdder[] requestCounts = {new LongAdder(), new LongAdder()};

  /** Measured requests served within their objective: index 0 for reads, 1 for writes. */
  private final LongAdder[] inTimeCounts = {new LongAdder(), new LongAdder()};

  private final LongAdder refusedCount = new LongAdder();
  private final LongAdder failedCount = new LongAdder();
  private final Histogram writeLatencyNanos = new SynchronizedHistogram(60_000_000_000L, 3);
  private final Histogram loopDelayNanos = new SynchronizedHistogram(60_000_000_000L, 3);
  private final long measureFromNanos;
  private final long measureToNanos;
  private final GoodputTimeline timeline;

  private OpenLoopLoad(Workload workload, int warmSeconds, int measuredSeconds) {
    this.workload = workload;
    timeline = new GoodputTimeline(warmSeconds + measuredSeconds);
    measureFromNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(warmSeconds);
    measureToNanos = measureFromNanos + TimeUnit.SECONDS.toNanos(measuredSeconds);
  }

  /** Generates load over this many connections, first for warm-up and then measured. */
  static Result run(
      int port, int connections, Workload workload, int warmSeconds, int measuredSeconds)
      throws InterruptedException {
    return new OpenLoopLoad(workload, warmSeconds, measuredSeconds).runClients(port, connections);
  }

  private Result runClients(int port, int connections) throws InterruptedException {
    var group = new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());
    List<LoopClients> clientsByLoop = new ArrayList<>();
    try {
      for (int i = 0; i < EVENT_LOOPS; i++) {
        clientsByLoop.add(new LoopClients(group.next(), i));
      }
      for (int i = 0; i < connections; i++) {
        connect(clientsByLoop.get(i % EVENT_LOOPS), port, false);
      }
      connect(clientsByLoop.get(0), port, true);
      timeline.setStartNanos(System.nanoTime());
      clientsByLoop.forEach(LoopClients::start);
      // After 2.5 s more, the last requests are answered or their deadlines have passed.
      TimeUnit.NANOSECONDS.sleep(measureToNanos - System.nanoTime() + 2_500_000_000L);
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
    return new Result(
        (measureToNanos - measureFromNanos) / 1e9,
        requestCounts[0].sum(),
        inTimeCounts[0].sum(),
        requestCounts[1].sum(),
        inTimeCounts[1].sum(),
        refusedCount.sum(),
        failedCount.sum(),
        writeLatencyNanos,
        loopDelayNanos,
        timeline);
  }

  private void connect(LoopClients loopClients, int port, boolean isProbe)
      throws InterruptedException {
    Client client = new Client(loopClients, isProbe);
    new Bootstrap()
        .group(loopClients.loop)
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

  /** An attempt of a request, whose first attempt was due at {@code dueNanos}. */
  private record Request(boolean isWrite, int key, int retryCount, long dueNanos) {
    /** Returns whether this time is before the request's deadline. */
    boolean isBeforeDeadline(long atNanos) {
      return atNanos - dueNanos < (isWrite ? WRITE_DEADLINE_NANOS : READ_DEADLINE_NANOS);
    }
  }

  /** The clients of one event loop. */
  private final class LoopClients {
    private final EventLoop loop;
    private final int loopNumber;
    private final SplittableRandom random;
    private final List<Client> clients = new ArrayList<>();
    private final ArrayDeque<Client> idleClients = new ArrayDeque<>();
    private final ArrayDeque<Request> waitingRequests = new ArrayDeque<>();
    private long lastTickNanos;
    private double dueRequestCount;

    LoopClients(EventLoop loop, int loopNumber) {
      this.loop = loop;
      this.loopNumber = loopNumber;
      this.random = new SplittableRandom(loopNumber + 1);
    }

    void start() {
      loop.execute(
          () -> {
            lastTickNanos = timeline.startNanos();
            tick();
          });
    }

    /** Sends the requests that have come due since the last tick. */
    private void tick() {
      long now = System.nanoTime();
      if (now - measureToNanos >= 0) {
        return;
      }
      double requestsPerNano =
          workload.rate().perSecond(now - timeline.startNanos()) / EVENT_LOOPS / 1e9;
      long dueNanos = lastTickNanos;
      dueRequestCount += requestsPerNano * (now - lastTickNanos);
      for (; dueRequestCount >= 1; dueRequestCount--) {
        dueNanos += (long) (1 / requestsPerNano);
        boolean isWrite = random.nextDouble() < workload.writeRatio();
        Request request =
            new Request(isWrite, random.nextInt(KEY_COUNT), 0, Math.min(dueNanos, now));
        if (isMeasured(request)) {
          requestCounts[request.isWrite() ? 1 : 0].increment();
        }
        send(request);
      }
      lastTickNanos = now;
      loop.schedule(this::tick, 1, TimeUnit.MILLISECONDS);
    }

    private void send(Request request) {
      Client client = idleClients.poll();
      if (client == null) {
        client = clients.get(random.nextInt(clients.size()));
      }
      if (client.outstandingRequests.size() < workload.maxPipelinedRequests()
          && client.channel.isActive()) {
        client.send(request);
      } else if (workload.maxPipelinedRequests() < MAX_PIPELINED_REQUESTS
          && waitingRequests.size() < MAX_WAITING_REQUESTS) {
        waitingRequests.add(request);
      } else {
        failedCount.increment();
      }
    }

    /** Sends the longest waiting request whose deadline has not passed on an idle connection. */
    private void onIdle(Client client) {
      long now = System.nanoTime();
      for (Request request = waitingRequests.poll();
          request != null;
          request = waitingRequests.poll()) {
        if (request.isBeforeDeadline(now)) {
          client.send(request);
          return;
        }
      }
      idleClients.add(client);
    }

    private String nextId() {
      return Integer.toString(loopNumber) + 'x' + Long.toHexString(random.nextLong());
    }
  }

  private boolean isMeasured(Request request) {
    return request.dueNanos() - measureFromNanos >= 0 && request.dueNanos() - measureToNanos < 0;
  }

  /** A client connection. */
  private final class Client extends SimpleChannelInboundHandler<ByteBuf> {
    private final LoopClients loopClients;
    private final boolean isProbe;
    private final ArrayDeque<Request> outstandingRequests = new ArrayDeque<>();

    /** The part of the next answer line that has been received. */
    private final StringBuilder partialLine = new StringBuilder();

    private Channel channel;
    private boolean isValueNext;
    private boolean isFlushScheduled;
    private long probeSentNanos;

    Client(LoopClients loopClients, boolean isProbe) {
      this.loopClients = loopClients;
      this.isProbe = isProbe;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      if (isProbe) {
        sendProbe();
      } else {
        loopClients.clients.add(this);
        loopClients.idleClients.add(this);
      }
    }

    private void sendProbe() {
      if (channel.isActive()) {
        probeSentNanos = System.nanoTime();
        ByteBuf bytes = channel.alloc().buffer(8);
        bytes.writeCharSequence("mn\r\n", StandardCharsets.US_ASCII);
        channel.writeAndFlush(bytes, channel.voidPromise());
      }
    }

    void send(Request request) {
      outstandingRequests.add(request);
      String retryMark = request.retryCount() > 0 ? ",r=1" : "";
      int key = request.key();
      String id = loopClients.nextId();
      String command =
          request.isWrite()
              ? "ms key" + key + " 2 O" + id + " Pc=put,d=1000" + retryMark + "\r\nhi\r\n"
              : "mg key" + key + " v O" + id + " Pc=read,d=2000" + retryMark + "\r\n";
      ByteBuf bytes = channel.alloc().buffer(command.length());
      bytes.writeCharSequence(command, StandardCharsets.US_ASCII);
      channel.write(bytes, channel.voidPromise());
      if (!isFlushScheduled) {
        isFlushScheduled = true;
        loopClients.loop.execute(
            () -> {
              isFlushScheduled = false;
              channel.flush();
            });
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      while (bytes.isReadable()) {
        char c = (char) bytes.readByte();
        if (c != '\n') {
          partialLine.append(c);
        } else {
          handleLine(partialLine.toString());
          partialLine.setLength(0);
        }
      }
    }

    private void handleLine(String answerLine) {
      long now = System.nanoTime();
      if (isProbe) {
        if (now - measureFromNanos >= 0 && now - measureToNanos < 0) {
          loopDelayNanos.recordValue(now - probeSentNanos);
        }
        loopClients.loop.schedule(this::sendProbe, 10, TimeUnit.MILLISECONDS);
        return;
      }
      if (answerLine.startsWith("VA ")) {
        isValueNext = true;
        return;
      }
      Request request = outstandingRequests.poll();
      boolean isRetriedAtOnce = false;
      if (isValueNext || answerLine.startsWith("HD ")) {
        isValueNext = false;
        recordServed(request, now - request.dueNanos());
      } else if (answerLine.startsWith("SERVER_ERROR busy")) {
        isRetriedAtOnce = handleRefusal(request, answerLine, now);
      } else if (isMeasured(request)) {
        failedCount.increment();
      }
      if (outstandingRequests.isEmpty() && !isRetriedAtOnce) {
        loopClients.onIdle(this);
      }
    }

    private void recordServed(Request request, long latencyNanos) {
      boolean isWithinObjective =
          latencyNanos <= (request.isWrite() ? WRITE_OBJECTIVE_NANOS : READ_OBJECTIVE_NANOS);
      if (isWithinObjective) {
        timeline.addServed(
            request.dueNanos() + latencyNanos, request.isWrite() ? WRITE_WEIGHT : READ_WEIGHT);
      }
      if (isMeasured(request)) {
        if (isWithinObjective) {
          inTimeCounts[request.isWrite() ? 1 : 0].increment();
        }
        if (request.isWrite()) {
          writeLatencyNanos.recordValue(latencyNanos);
        }
      }
    }

    /** Returns whether the request was retried at once, on this connection. */
    private boolean handleRefusal(Request request, String answerLine, long now) {
      timeline.addRefusal(now);
      if (isMeasured(request)) {
        refusedCount.increment();
      }
      if (request.retryCount() >= workload.maxRetries()) {
        return false;
      }
      Request retry =
          new Request(
              request.isWrite(), request.key(), request.retryCount() + 1, request.dueNanos());
      String advisedMillis = answerLine.replaceAll("\\D", "");
      long delayMillis =
          switch (workload.retryPolicy()) {
            case NEVER -> Long.MAX_VALUE;
            case AT_ONCE -> 0;
            case ADVISED ->
                Math.max(
                    advisedMillis.isEmpty() ? 0 : Long.parseLong(advisedMillis),
                    loopClients.random.nextInt(15, 120));
            case BACK_OFF ->
                (long)
                    (FIRST_BACK_OFF_MILLIS
                        * Math.pow(2, Math.min(request.retryCount(), 6))
                        * (0.5 + loopClients.random.nextDouble()));
          };
      long retryDelayNanos = TimeUnit.MILLISECONDS.toNanos(Math.min(delayMillis, 1 << 20));
      if (!request.isBeforeDeadline(now + retryDelayNanos)) {
        return false;
      }
      if (delayMillis == 0) {
        // An immediate retry goes over the same connection.
        send(retry);
        return true;
      }
      loopClients.loop.schedule(() -> loopClients.send(retry), delayMillis, TimeUnit.MILLISECONDS);
      return false;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
