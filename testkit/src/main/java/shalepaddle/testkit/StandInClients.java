package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Clients of one or several load balancers, which ask at a given rate whether or not they are
 * answered, and hold every answer against what was asked: that it is the one answer, in time, of
 * this request; and with the {@link EffectLog}, that what was refused has not run.
 *
 * <p>Each keeps its connections, one request on each at a time, and opens more when all are in use.
 * A request that crosses the end of its connection is sent once more on a new one, as the protocol
 * has it.
 */
public final class StandInClients {
  /** A request that finds its connection ended within so long has crossed that end. */
  private static final long CROSSED_NANOS = 2_000_000;

  /** Breaches that are told one by one. */
  private static final int MAX_BREACHES = 50;

  /** Connections to one load balancer at most. */
  private final int maxConnections;

  private final LoopbackTransport wire;
  private final EffectLog ledger;
  private final Traffic traffic;
  private final long graceNanos;
  private final SplittableRandom random;
  private final DiscreteSampler keys;
  private final ZigguratSampler.Exponential gaps;
  private final Map<String, Target> targets = new LinkedHashMap<>();
  private final List<Target> dealt = new ArrayList<>();

  /** What is under way, and on which connection. */
  private final Map<Ask, Connection> under = new LinkedHashMap<>();

  private final Map<String, Fate> fates = new LinkedHashMap<>();
  private final List<String> breaches = new ArrayList<>();
  private final Histogram latencies = new Histogram(3_600_000_000L, 3);

  /** Null where each answer must have been made for its own request. */
  private SharedResponseCheck shared;

  private double rate;
  private long until;

  /** When the next request is due. */
  private long dueAt;

  private int asked;
  private int served;
  private int refused;
  private int failed;
  private int unsent;
  private int crossed;
  private int open;

  /** How a request ended for its client, for the checks at the end. */
  private record Fate(
      Traffic.RequestClass type, String target, String end, long endedAt, String receipt) {}

  /** A load balancer, and the connections to it. */
  private static final class Target {
    private final String name;
    private final SocketAddress address;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final ProcessPauses pauses = new ProcessPauses();
    private int connections;
    private boolean excused;
    private boolean leaving;

    Target(String name, SocketAddress address) {
      this.name = name;
      this.address = address;
    }
  }

  /** One request of a client's. */
  private final class Ask {
    private final String id;
    private final String key;
    private final Traffic.RequestClass type;
    private final long dueAt = wire.now();
    private Target target;
    private long sentAt;
    private boolean again;
    private ScheduledFuture<?> patience;

    Ask(String id, String key, Traffic.RequestClass type, Target target) {
      this.id = id;
      this.key = key;
      this.type = type;
      this.target = target;
    }

    private String command() {
      String properties =
          " O"
              + id
              + " Pc="
              + type.name()
              + ",d="
              + type.deadlineMillis()
              + (type.keyed() ? ",k=k" + id : "")
              + "\r\n";
      return type.write()
          ? "ms "
              + key
              + " "
              + type.valueBytes()
              + properties
              + "v".repeat(type.valueBytes())
              + "\r\n"
          : "mg " + key + " v" + properties;
    }

    private void over(String end, String receipt) {
      if (patience != null) {
        patience.cancel(false);
      }
      open--;
      fates.put(id, new Fate(type, target.name, end, wire.now(), receipt));
    }
  }

  /**
   * Clients that ask nobody yet.
   *
   * @param graceMillis how late an answer may be
   * @param maxConnections connections to one load balancer at most; a request that finds none is
   *     not sent
   */
  public StandInClients(
      LoopbackTransport wire,
      EffectLog ledger,
      Traffic traffic,
      long graceMillis,
      int maxConnections,
      long seed) {
    this.wire = wire;
    this.ledger = ledger;
    this.traffic = traffic;
    this.graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMillis);
    this.maxConnections = maxConnections;
    this.random = new SplittableRandom(seed);
    SplittableRandom drawn = random.split();
    this.keys = RejectionInversionZipfSampler.of(drawn::nextLong, traffic.keys(), traffic.skew());
    this.gaps = ZigguratSampler.Exponential.of(drawn::nextLong);
  }

  /**
   * The load balancers may answer like reads with one value. It must be of the same key and class,
   * and must not have been asked for before a write of the key that came before the read.
   */
  public void mayShareAnswers() {
    shared = new SharedResponseCheck();
  }

  /** From now on a load balancer of this name is asked as well. */
  public void add(String name, SocketAddress address) {
    Target target = new Target(name, address);
    targets.put(name, target);
    dealt.add(target);
  }

  /**
   * The load balancer of this name restarts as planned: clients open no more connections to it, use
   * those that they have for as long as these stay open, and lose nothing by it.
   */
  public void leaving(String name) {
    Target target = targets.get(name);
    target.leaving = true;
    if (target.connections == 0) {
      dealt.remove(target);
    }
  }

  /** The load balancer of this name dies: what it has taken is its clients' loss. */
  public void excuse(String name) {
    Target target = targets.get(name);
    target.excused = true;
    dealt.remove(target);
  }

  /**
   * The load balancer of this name does not run for so long from now on: its answers may be late by
   * that, and it hears of what happens when it runs again.
   */
  public void paused(String name, long millis) {
    targets.get(name).pauses.add(wire.now(), millis);
  }

  /** Asks at the traffic's rate for so long. */
  public void run(long millis) {
    rate = traffic.ratePerSecond();
    dueAt = wire.now();
    until = dueAt + TimeUnit.MILLISECONDS.toNanos(millis);
    next();
  }

  /** Asks no more; what is under way goes on. */
  public void stop() {
    until = wire.now();
  }

  /** Asks at so many times the rate from now on. */
  public void rush(double times) {
    rate = times * traffic.ratePerSecond();
  }

  /** Sets the next request, from when the one before it was due: what is late adds no lateness. */
  private void next() {
    dueAt += (long) (gaps.sample() / rate * 1e9);
    wire.loop()
        .schedule(
            () -> {
              if (wire.now() - until < 0) {
                ask();
                next();
              }
            },
            dueAt - wire.now(),
            TimeUnit.NANOSECONDS);
  }

  private void ask() {
    if (dealt.isEmpty()) {
      unsent++;
      return;
    }
    Traffic.RequestClass type = draw();
    Target target = dealt.get(random.nextInt(dealt.size()));
    String key = "key" + keys.sample();
    Ask ask = new Ask("r" + Integer.toHexString(asked++), key, type, target);
    open++;
    boolean goes = random.nextDouble() < traffic.goneShare();
    send(ask);
    if (goes) {
      wire.loop()
          .schedule(
              () -> leave(ask),
              random.nextInt(Math.max(1, type.deadlineMillis() / 4)),
              TimeUnit.MILLISECONDS);
    }
  }

  private void leave(Ask ask) {
    Connection connection = under.get(ask);
    if (connection != null) {
      connection.left = true;
      connection.channel.close();
    }
  }

  private Traffic.RequestClass draw() {
    double draw = random.nextDouble();
    for (Traffic.RequestClass type : traffic.classes()) {
      draw -= type.share();
      if (draw < 0) {
        return type;
      }
    }
    return traffic.classes().get(traffic.classes().size() - 1);
  }

  private void send(Ask ask) {
    for (Connection c = ask.target.idle.pollLast(); c != null; c = ask.target.idle.pollLast()) {
      if (c.channel.isActive()) {
        c.write(ask);
        return;
      }
    }
    if (ask.target.leaving || ask.target.connections >= maxConnections) {
      unsent++;
      ask.over("unsent", null);
      return;
    }
    connect(ask);
  }

  /** Sends what crossed the end of its connection once more, to another where its own leaves. */
  private void sendAgain(Ask ask) {
    if (!ask.target.leaving) {
      connect(ask);
      return;
    }
    List<Target> others = dealt.stream().filter(target -> !target.leaving).toList();
    if (others.isEmpty()) {
      unsent++;
      ask.over("unsent", null);
    } else {
      ask.target = others.get(random.nextInt(others.size()));
      connect(ask);
    }
  }

  private void connect(Ask ask) {
    Connection connection = new Connection(ask.target);
    ask.target.connections++;
    ChannelFuture connected =
        wire.connector()
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.channel = channel;
                    channel.pipeline().addLast(new Answers(), connection);
                  }
                })
            .connect(ask.target.address);
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            connected.channel().closeFuture().addListener(closed -> connection.closed());
            connection.write(ask);
          } else {
            ask.target.connections--;
            unsent++;
            ask.over("unsent", null);
          }
        });
  }

  /** One connection to a load balancer. */
  private final class Connection extends SimpleChannelInboundHandler<Answer> {
    private final Target target;
    private Channel channel;
    private Ask ask;
    private boolean used;
    private boolean left;

    Connection(Target target) {
      this.target = target;
    }

    void write(Ask next) {
      ask = next;
      under.put(next, this);
      next.sentAt = wire.now();
      if (shared != null && next.type.write()) {
        shared.wrote(next.id, target.name, next.key, next.sentAt);
      } else if (shared != null) {
        shared.read(next.id, target.name, next.key, next.type.name(), next.sentAt);
      }
      wait(
          next,
          TimeUnit.MILLISECONDS.toNanos(next.type.deadlineMillis()) + graceNanos + CROSSED_NANOS,
          0);
      ByteBuf bytes = channel.alloc().buffer();
      bytes.writeCharSequence(next.command(), StandardCharsets.ISO_8859_1);
      channel.writeAndFlush(bytes);
    }

    /**
     * Waits for the answer, and for as long again as the load balancer did not run since it was
     * due: a pause before that takes nothing from the client's time.
     */
    private void wait(Ask next, long nanos, long granted) {
      next.patience =
          wire.loop()
              .schedule(
                  () -> {
                    long due =
                        next.sentAt + TimeUnit.MILLISECONDS.toNanos(next.type.deadlineMillis());
                    long stood = target.pauses.within(due, wire.now());
                    if (stood > granted) {
                      wait(next, stood - granted, stood);
                    } else {
                      breach(next, "no answer in time");
                      channel.close();
                    }
                  },
                  nanos,
                  TimeUnit.NANOSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Answer answer) {
      Ask done = ask;
      if (done == null) {
        breach(target.name + ": more than one answer: " + answer.line());
        channel.close();
        return;
      }
      take(done, answer);
      ask = null;
      used = true;
      under.remove(done);
      target.idle.add(this);
    }

    private void take(Ask done, Answer answer) {
      String line = answer.line();
      if (line.startsWith("VA ") && !done.type.write()) {
        String expected = done.key + "|" + done.id;
        if (!line.endsWith(" O" + done.id)) {
          breach(done, "served with another's answer: " + line);
        } else if (shared != null) {
          String wrong = shared.wrong(done.id, answer.value(), target.pauses::within);
          if (wrong != null) {
            breach(done, wrong);
          }
        } else if (!answer.value().startsWith(expected)) {
          breach(done, "served with another's answer: " + line);
        }
        serve(done, null);
      } else if (line.startsWith("HD O" + done.id + " c") && done.type.write()) {
        serve(done, line.substring(line.lastIndexOf(" c") + 2));
      } else if (line.startsWith("SERVER_ERROR busy")) {
        refused++;
        done.over("refused", null);
      } else if (line.startsWith("SERVER_ERROR")) {
        failed++;
        done.over("failed", null);
      } else {
        breach(done, "answered " + line);
        done.over("failed", null);
      }
    }

    private void serve(Ask done, String receipt) {
      served++;
      latencies.recordValue(Math.min(3_600_000_000L, (wire.now() - done.dueAt) / 1000));
      done.over("served", receipt);
    }

    /** It has ended, from whichever side. */
    void closed() {
      target.connections--;
      target.idle.remove(this);
      if (target.leaving && target.connections == 0) {
        dealt.remove(target);
      }
      Ask lost = ask;
      ask = null;
      if (lost == null) {
        return;
      }
      under.remove(lost);
      if (left || target.excused) {
        lost.over("gone", null);
      } else if (used && !lost.again && wire.now() - lost.sentAt <= CROSSED_NANOS) {
        crossed++;
        lost.again = true;
        lost.patience.cancel(false);
        sendAgain(lost);
      } else {
        if (lost.patience.cancel(false)) {
          breach(lost, "its connection ended without an answer");
        }
        lost.over("lost", null);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void breach(Ask ask, String what) {
    breach(
        ask.id
            + " ("
            + ask.type.name()
            + " at "
            + ask.target.name
            + ", asked at "
            + ask.sentAt / 1_000_000
            + " ms): "
            + what);
  }

  private void breach(String what) {
    if (breaches.size() < MAX_BREACHES) {
      breaches.add(what + ", at " + wire.now() / 1_000_000 + " ms");
    }
  }

  /**
   * Holds all answers against what servers did, once nothing is under way any more.
   *
   * @param settleNanos how long after an answer something sent before it may still arrive
   */
  public void check(long settleNanos) {
    for (var each : fates.entrySet()) {
      String id = each.getKey();
      Fate fate = each.getValue();
      EffectLog.Entry done = ledger.of(id);
      String told = id + " (" + fate.type().name() + " at " + fate.target() + ") ";
      if (done.effects() > 1) {
        breach(told + "took effect " + done.effects() + " times");
      }
      if (fate.end().equals("refused") && fate.type().write() && done.effects() > 0) {
        breach(told + "was refused and took effect");
      }
      if (fate.receipt() != null && !fate.receipt().equals(done.receipt())) {
        breach(told + "was served with a receipt that nobody gave");
      }
      long heard = targets.get(fate.target()).pauses.runs(fate.endedAt());
      for (EffectLog.Arrival arrival : done.arrivals()) {
        if (arrival.atNanos() - heard > settleNanos) {
          breach(
              told
                  + "was sent to "
                  + arrival.server()
                  + " "
                  + (arrival.atNanos() - heard) / 1_000_000
                  + " ms after it had ended ("
                  + fate.end()
                  + ")");
        }
      }
    }
  }

  /** A figure made of every answer and its time. */
  public long digest() {
    long digest = 7;
    for (var fate : fates.entrySet()) {
      digest = 31 * digest + fate.getKey().hashCode();
      digest = 31 * digest + fate.getValue().end().hashCode();
      digest = 31 * digest + fate.getValue().endedAt();
    }
    return digest;
  }

  /** All requests that have ended, by their ids. */
  public Set<String> ids() {
    return Collections.unmodifiableSet(fates.keySet());
  }

  /** Which load balancer a request went to; null for one that was never sent. */
  public String targetOf(String id) {
    Fate fate = fates.get(id);
    return fate == null ? null : fate.target();
  }

  /** Closes all connections. */
  public void close() {
    stop();
    for (Target target : targets.values()) {
      for (Connection connection : List.copyOf(target.idle)) {
        connection.channel.close();
      }
    }
  }

  /** What load balancers did against the rules, as far as clients can tell. */
  public List<String> breaches() {
    return Collections.unmodifiableList(breaches);
  }

  /** Microseconds to the answers that served. */
  public Histogram latencies() {
    return latencies;
  }

  /** Requests that were due. */
  public int asked() {
    return asked;
  }

  /** Requests served. */
  public int served() {
    return served;
  }

  /** Requests refused. */
  public int refused() {
    return refused;
  }

  /** Requests that failed. */
  public int failed() {
    return failed;
  }

  /** Requests for which no connection was to be had. */
  public int unsent() {
    return unsent;
  }

  /** Requests that crossed the end of their connection. */
  public int crossed() {
    return crossed;
  }

  /** Requests under way. */
  public int open() {
    return open;
  }

  /** An answer as it was read: its line, and its value if it has one. */
  private record Answer(String line, String value) {}

  private static final class Answers extends ByteToMessageDecoder {
    private String line;

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (line == null) {
        int length = in.bytesBefore((byte) '\n');
        if (length < 0) {
          return;
        }
        line = in.readSlice(length).toString(StandardCharsets.ISO_8859_1).stripTrailing();
        in.skipBytes(1);
      }
      String value = null;
      if (line.startsWith("VA ")) {
        int length = Integer.parseInt(line.split(" ", 0)[1]);
        if (in.readableBytes() < length + 2) {
          return;
        }
        value = in.readSlice(length).toString(StandardCharsets.ISO_8859_1);
        in.skipBytes(2);
      }
      out.add(new Answer(line, value));
      line = null;
    }
  }
}
