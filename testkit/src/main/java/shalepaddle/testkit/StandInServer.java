package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A cache server that reads through: what it lacks it fetches from the origin, each miss by itself;
 * a write goes to the origin and voids the copies of its key at all servers. Requests of a
 * connection are begun as they come and answered in their order.
 *
 * <p>A write takes effect when a worker begins it. One whose connection has ended by then is thrown
 * away. Everything that comes, and every effect, is written down in the {@link EffectLog}.
 */
public final class StandInServer {
  /** So much of an endless answer is sent, in so many pieces. */
  private static final int ENDLESS_PIECES = 40;

  private static final int ENDLESS_PIECE_BYTES = 256;

  /** In so long a connection that is read again has read what waited. */
  private static final long CATCH_UP_MILLIS = 100;

  private final LoopbackTransport wire;
  private final String id;
  private final String group;
  private final ServerModel model;
  private final StandInOrigin origin;
  private final EffectLog ledger;
  private final List<StandInServer> fleet;
  private final SplittableRandom random;
  private final Map<Fault, Double> faults = new EnumMap<>(Fault.class);
  private final Set<Connection> open = new LinkedHashSet<>();
  private final ArrayDeque<Job> queue = new ArrayDeque<>();
  private final ArrayDeque<Asked> asked = new ArrayDeque<>();
  private final Map<String, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private SocketAddress address;
  private Channel listener;
  private long startedAt;
  private boolean cold;
  private boolean fallen;
  private boolean silent;
  private int slowBytes;
  private int cutAt = -1;
  private boolean draining;
  private int working;
  private int served;
  private int turnedAway;
  private int hits;
  private int misses;

  /** Work that came in, for as long as it counts towards a fall. */
  private record Asked(long atNanos, double seconds) {}

  /**
   * A server that does not listen yet.
   *
   * @param id its name in the list
   * @param group the dedup group that it belongs to
   * @param fleet all servers whose copies its writes void; itself is added
   */
  public StandInServer(
      LoopbackTransport wire,
      String id,
      String group,
      ServerModel model,
      StandInOrigin origin,
      EffectLog ledger,
      List<StandInServer> fleet,
      long seed) {
    this.wire = wire;
    this.id = id;
    this.group = group;
    this.model = model;
    this.origin = origin;
    this.ledger = ledger;
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
    fleet.add(this);
  }

  /** Listens, for the first time or again; the future tells when. It begins with what it held. */
  public ChannelFuture start() {
    ChannelFuture bound = wire.listen(address == null ? wire.address() : address, this::accept);
    bound.addListener(
        done -> {
          if (done.isSuccess()) {
            listener = bound.channel();
            address = listener.localAddress();
          }
        });
    return bound;
  }

  /** The process starts anew, with nothing in its cache and little of its capacity. */
  public ChannelFuture startCold() {
    startedAt = wire.now();
    cold = true;
    fallen = false;
    draining = false;
    cache.clear();
    asked.clear();
    return start();
  }

  /** The process dies: connections end, new ones are refused, what was queued never runs. */
  public void kill() {
    if (listener != null) {
      listener.close();
      listener = null;
    }
    queue.clear();
    for (Connection connection : List.copyOf(open)) {
      connection.channel.close();
    }
  }

  /** From now on turns away whatever is new. */
  public void drain() {
    draining = true;
  }

  /** The machine stands still, or is cut off: connections stay open, and nothing is read. */
  public void silent(boolean on) {
    silent = on;
    for (Connection connection : open) {
      connection.pace();
    }
  }

  /** From now on that part of the answers has this fault; 0 ends it. */
  public void fault(Fault fault, double share) {
    faults.put(fault, share);
  }

  /** Ends all faults of answers. */
  public void mend() {
    faults.clear();
  }

  /**
   * From now on reads so many bytes at most every 10 ms on each connection; 0 reads as usual. What
   * is sent to it backs up at the sender.
   */
  public void slowReader(int bytes) {
    slowBytes = bytes;
    for (Connection connection : open) {
      connection.pace();
    }
  }

  /** The next answer is cut off after so many bytes, and its connection with it. */
  public void resetAtByte(int bytes) {
    cutAt = bytes;
  }

  /** Ends every connection on which nothing is under way, as one that was idle for too long. */
  public void closeIdle() {
    for (Connection connection : List.copyOf(open)) {
      if (connection.order.isEmpty()) {
        connection.channel.close();
      }
    }
  }

  /** Breaks off that part of the connections, whatever is under way on them. */
  public void resetConnections(double share) {
    for (Connection connection : List.copyOf(open)) {
      if (random.nextDouble() < share) {
        connection.channel.close();
      }
    }
  }

  /** Its name in the list. */
  public String id() {
    return id;
  }

  /** The dedup group that it belongs to. */
  public String group() {
    return group;
  }

  /** Where it listens, as lists have it; known once it has started. */
  public String address() {
    return LoopbackTransport.text(address);
  }

  /** Whether it listens. */
  public boolean running() {
    return listener != null;
  }

  /** Whether it was pushed over when it was cold. */
  public boolean fallen() {
    return fallen;
  }

  /** Requests that wait or are worked on. */
  public int inFlight() {
    return queue.size() + working;
  }

  /** Connections that are open. */
  public int connections() {
    return open.size();
  }

  /** Answers with a value or a receipt. */
  public int served() {
    return served;
  }

  /** Requests turned away without being run. */
  public int turnedAway() {
    return turnedAway;
  }

  /** Reads that found their key here. */
  public int hits() {
    return hits;
  }

  /** Reads that did not. */
  public int misses() {
    return misses;
  }

  /** The part of its capacity that it has now. */
  private double share() {
    if (!cold || model.warmSeconds() <= 0) {
      return 1;
    }
    double age = (wire.now() - startedAt) / 1e9;
    return Math.min(1, model.coldShare() + (1 - model.coldShare()) * age / model.warmSeconds());
  }

  private void accept(Channel channel) {
    if (open.size() >= model.connections()) {
      channel.close();
      return;
    }
    Connection connection = new Connection(channel);
    open.add(connection);
    channel.closeFuture().addListener(done -> open.remove(connection));
    connection.pace();
    channel.pipeline().addLast(connection.gate, new MetaRequest.Decoder(), connection);
  }

  /**
   * Holds back what comes while the machine is silent: a local connection reads once more after it
   * is told not to.
   */
  private final class Gate extends ChannelInboundHandlerAdapter {
    private final ArrayDeque<Object> held = new ArrayDeque<>();

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (silent) {
        held.add(message);
      } else {
        open(ctx);
        ctx.fireChannelRead(message);
      }
    }

    private void open(ChannelHandlerContext ctx) {
      for (Object message = held.poll(); message != null; message = held.poll()) {
        ctx.fireChannelRead(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      held.forEach(ReferenceCountUtil::release);
      held.clear();
      ctx.fireChannelInactive();
    }
  }

  /** One connection, and the answers that it is owed in their order. */
  private final class Connection extends SimpleChannelInboundHandler<MetaRequest> {
    private final Channel channel;
    private final ArrayDeque<Job> order = new ArrayDeque<>();
    private final Gate gate = new Gate();
    private boolean stalled;

    /** Since when what comes may have waited to be read, -1 where it is read at once. */
    private long behindSince = -1;

    Connection(Channel channel) {
      this.channel = channel;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, MetaRequest request) {
      long since = behindSince >= 0 ? behindSince : wire.now();
      ledger.arrived(request.id(), new EffectLog.Arrival(id, group, since));
      Job job = new Job(this, request, drawFault());
      order.add(job);
      double work = model.meanSeconds() * (0.5 + random.nextDouble());
      weigh(work);
      if (job.fault == Fault.BUSY || draining || fallen || queue.size() >= model.queue()) {
        turnedAway++;
        job.answer("SERVER_ERROR busy\r\n");
        return;
      }
      job.seconds = work;
      queue.add(job);
      work();
    }

    /** Reads as it should now: at once, slowly, or not at all. */
    private void pace() {
      boolean reads = !silent && slowBytes == 0;
      channel.config().setAutoRead(reads);
      if (!reads && behindSince < 0) {
        behindSince = wire.now();
      } else if (reads && behindSince >= 0) {
        ChannelHandlerContext context = channel.pipeline().context(gate);
        if (context != null) {
          gate.open(context);
        }
        wire.loop().schedule(this::caughtUp, CATCH_UP_MILLIS, TimeUnit.MILLISECONDS);
      }
      if (slowBytes > 0 && !silent && channel.isActive()) {
        channel.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(slowBytes));
        channel.read();
        wire.loop().schedule(this::pace, 10, TimeUnit.MILLISECONDS);
      }
    }

    private void caughtUp() {
      if (channel.config().isAutoRead()) {
        behindSince = -1;
      }
    }

    /** Gives the answers that are ready, as far as none before them is missing. */
    private void advance() {
      for (Job job = order.peek(); job != null && job.answer != null && !stalled; ) {
        order.poll();
        ledger.settled(job.request.id());
        give(job);
        job = order.peek();
      }
    }

    private void give(Job job) {
      String answer = job.answer;
      String half = answer.substring(0, answer.length() / 2);
      if (cutAt >= 0) {
        String cut = answer.substring(0, Math.min(cutAt, answer.length()));
        cutAt = -1;
        write(cut).addListener(ChannelFutureListener.CLOSE);
        return;
      }
      if (job.fault == null) {
        write(answer);
        return;
      }
      switch (job.fault) {
        case RESET_BEFORE_ANSWER -> channel.close();
        case RESET_WITHIN_ANSWER -> write(half).addListener(ChannelFutureListener.CLOSE);
        case CLOSE_AFTER_ANSWER -> write(answer).addListener(ChannelFutureListener.CLOSE);
        case HALF_ANSWER -> {
          write(half);
          stalled = true;
        }
        case STALL -> stalled = true;
        case NOISE -> write("\u0000\u0007?!\u00ff\r\nEND\r\n");
        case WRONG_ID -> write(answer.replace("O" + job.request.id(), "Oother"));
        case ENDLESS -> {
          stalled = true;
          write("VA 3221225472 O" + job.request.id() + "\r\n");
          endless(ENDLESS_PIECES);
        }
        case TWICE -> {
          write(answer);
          write(answer);
        }
        case TRAILING_NOISE -> write(answer + "\u0001\u0002noise");
        case ERROR -> write("SERVER_ERROR failed\r\n");
        default -> write(answer);
      }
    }

    private void endless(int pieces) {
      if (pieces > 0 && channel.isActive()) {
        write("x".repeat(ENDLESS_PIECE_BYTES));
        wire.loop().schedule(() -> endless(pieces - 1), 5, TimeUnit.MILLISECONDS);
      }
    }

    private ChannelFuture write(String text) {
      ByteBuf bytes = channel.alloc().buffer(text.length());
      bytes.writeCharSequence(text, StandardCharsets.ISO_8859_1);
      return channel.writeAndFlush(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      order.forEach(job -> ledger.settled(job.request.id()));
      order.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // It closes on what it cannot read, whatever else waits.
      ctx.close();
    }
  }

  private Fault drawFault() {
    double draw = random.nextDouble();
    for (var fault : faults.entrySet()) {
      draw -= fault.getValue();
      if (draw < 0) {
        return fault.getKey();
      }
    }
    return null;
  }

  /** Falls over if it is asked for too much for too long while it is cold. */
  private void weigh(double seconds) {
    if (model.fallMultiple() <= 0 || !cold || share() >= 1) {
      return;
    }
    long now = wire.now();
    long window = (long) (model.fallSeconds() * 1e9);
    asked.add(new Asked(now, seconds));
    while (now - asked.peek().atNanos() > window) {
      asked.poll();
    }
    double sum = 0;
    for (Asked work : asked) {
      sum += work.seconds();
    }
    double able = model.workers() * share() * model.fallSeconds();
    if (now - startedAt >= window && sum > model.fallMultiple() * able) {
      fallen = true;
    }
  }

  private void work() {
    while (working < model.workers() && !queue.isEmpty()) {
      Job job = queue.poll();
      if (!job.connection.channel.isActive()) {
        continue; // Its caller has gone before it began.
      }
      working++;
      job.begin();
      long nanos = (long) (job.seconds / share() * 1e9);
      wire.loop()
          .schedule(
              () -> {
                working--;
                job.worked();
                work();
              },
              nanos,
              TimeUnit.NANOSECONDS);
    }
  }

  /** One request on its way through the server. */
  private final class Job {
    private final Connection connection;
    private final MetaRequest request;
    private final Fault fault;
    private double seconds;
    private String receipt;
    private String answer;

    Job(Connection connection, MetaRequest request, Fault fault) {
      this.connection = connection;
      this.request = request;
      this.fault = fault;
    }

    void begin() {
      if (request.write()) {
        boolean keyed = request.properties().containsKey("k");
        long window = (long) (model.dedupSeconds() * 1e9);
        receipt = ledger.carriedOut(request.id(), group, keyed, window, wire.now());
        for (StandInServer server : fleet) {
          server.cache.remove(request.key());
        }
      }
    }

    void worked() {
      if (request.write()) {
        origin.write(
            () -> {
              served++;
              answer("HD O" + request.id() + " c" + receipt + "\r\n");
            });
      } else if (cache.containsKey(request.key())) {
        cache.get(request.key()); // It is the one used last now.
        hits++;
        serve("h1");
      } else {
        misses++;
        origin.fetch(
            request.key(),
            () -> {
              keep(request.key());
              serve("h0");
            });
      }
    }

    private void serve(String note) {
      served++;
      String value = value(request.key(), request.id(), model.valueBytes());
      answer("VA " + value.length() + " O" + request.id() + " " + note + "\r\n" + value + "\r\n");
    }

    void answer(String text) {
      answer = text;
      connection.advance();
    }
  }

  private void keep(String key) {
    cache.put(key, true);
    if (cache.size() > model.keys()) {
      cache.remove(cache.keySet().iterator().next());
    }
  }

  /** The value that a server makes of a key for the request of this id, so long at least. */
  static String value(String key, String id, int length) {
    StringBuilder value = new StringBuilder(key).append('|').append(id);
    while (value.length() < length) {
      value.append('.');
    }
    return value.toString();
  }
}
