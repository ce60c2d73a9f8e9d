package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
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
 * A read-through cache server. Each miss fetches from the origin by itself, so concurrent misses on
 * a key are not coalesced. A write goes to the origin and removes the copies of its key at all
 * servers. Requests of a connection are started as they arrive and answered in order of arrival.
 *
 * <p>A write takes effect when a worker starts it. A request whose connection has closed by then is
 * discarded. Every arrival and every effect is recorded in the {@link EffectLog}.
 */
public final class StandInServer {
  /** Number of pieces that are sent of an oversized value. */
  private static final int OVERSIZED_PIECE_COUNT = 40;

  private static final int OVERSIZED_PIECE_BYTES = 256;

  /** How long a connection may take to read the buffered bytes after reading has resumed. */
  private static final long CATCH_UP_MILLIS = 100;

  private final LoopbackTransport transport;
  private final String id;
  private final String group;
  private final ServerModel model;
  private final StandInOrigin origin;
  private final EffectLog effectLog;
  private final List<StandInServer> fleet;
  private final SplittableRandom random;
  private final WarmUp warmUp;
  private final Map<Fault, Double> faultShares = new EnumMap<>(Fault.class);
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final ArrayDeque<Job> queuedJobs = new ArrayDeque<>();
  private final Map<String, Boolean> cachedKeys = new LinkedHashMap<>(16, 0.75f, true);
  private SocketAddress address;
  private Channel serverChannel;
  private boolean unresponsive;
  private boolean rejectsLate;
  private int readLimitBytes;
  private int truncateAfterBytes = -1;
  private boolean draining;
  private int busyWorkers;
  private int servedRequests;
  private int rejectedRequests;
  private int cacheHits;
  private int cacheMisses;

  /**
   * Creates a server that does not listen yet, and adds it to {@code fleet}.
   *
   * @param id id of the server in the endpoint list
   * @param group idempotency group of the server
   * @param fleet all servers; a write to this server removes the copies at all of them
   */
  public StandInServer(
      LoopbackTransport transport,
      String id,
      String group,
      ServerModel model,
      StandInOrigin origin,
      EffectLog effectLog,
      List<StandInServer> fleet,
      long seed) {
    this.transport = transport;
    this.id = id;
    this.group = group;
    this.model = model;
    this.origin = origin;
    this.effectLog = effectLog;
    this.fleet = fleet;
    this.random = new SplittableRandom(seed);
    this.warmUp = new WarmUp(transport, model);
    fleet.add(this);
  }

  /**
   * Starts to listen, for the first time or again on the same address; the cache is kept. The
   * future completes when the server listens.
   */
  public ChannelFuture start() {
    ChannelFuture bindFuture =
        transport.listen(address == null ? transport.newAddress() : address, this::onAccepted);
    bindFuture.addListener(
        done -> {
          if (done.isSuccess()) {
            serverChannel = bindFuture.channel();
            address = serverChannel.localAddress();
          }
        });
    return bindFuture;
  }

  /** Restarts the process with an empty cache and a reduced capacity. */
  public ChannelFuture startCold() {
    warmUp.start();
    draining = false;
    cachedKeys.clear();
    return start();
  }

  /** Kills the process: closes connections, refuses new ones, and discards queued requests. */
  public void kill() {
    if (serverChannel != null) {
      serverChannel.close();
      serverChannel = null;
    }
    queuedJobs.clear();
    for (Connection connection : List.copyOf(connections)) {
      connection.channel.close();
    }
  }

  /** Rejects all new requests from now on. */
  public void drain() {
    draining = true;
  }

  /** While enabled, simulates a frozen or unreachable machine: open connections are not read. */
  public void setUnresponsive(boolean enabled) {
    unresponsive = enabled;
    for (Connection connection : connections) {
      connection.updateReadMode();
    }
  }

  /** Injects the fault into this share of the responses from now on; a share of 0 ends it. */
  public void injectFault(Fault fault, double share) {
    faultShares.put(fault, share);
  }

  /** While enabled, rejects each request only after the time that processing it would take. */
  public void setRejectsLate(boolean enabled) {
    rejectsLate = enabled;
  }

  /** Ends the injection of all response faults. */
  public void clearFaults() {
    faultShares.clear();
  }

  /**
   * Reads at most this many bytes every 10 ms on each connection from now on, so that data backs up
   * at the sender; 0 reads without a limit.
   */
  public void limitReadBytes(int bytesPerRead) {
    readLimitBytes = bytesPerRead;
    for (Connection connection : connections) {
      connection.updateReadMode();
    }
  }

  /** Truncates the next response to this many bytes, then closes its connection. */
  public void truncateNextResponse(int maxBytes) {
    truncateAfterBytes = maxBytes;
  }

  /** Closes every connection without outstanding requests, as on an idle timeout. */
  public void closeIdleConnections() {
    for (Connection connection : List.copyOf(connections)) {
      if (connection.outstandingJobs.isEmpty()) {
        connection.channel.close();
      }
    }
  }

  /** Closes this share of the connections, chosen at random, regardless of outstanding requests. */
  public void closeConnections(double share) {
    for (Connection connection : List.copyOf(connections)) {
      if (random.nextDouble() < share) {
        connection.channel.close();
      }
    }
  }

  /** The server's id in the endpoint list. */
  public String id() {
    return id;
  }

  /** The server's idempotency group. */
  public String group() {
    return group;
  }

  /** The address in the form used in endpoint lists; available once the server has started. */
  public String address() {
    return LoopbackTransport.addressText(address);
  }

  /** Whether the server listens. */
  public boolean isRunning() {
    return serverChannel != null;
  }

  /** Whether the server collapsed under overload during a warm-up. */
  public boolean collapsed() {
    return warmUp.collapsed();
  }

  /** Number of requests that are queued or being processed. */
  public int inFlight() {
    return queuedJobs.size() + busyWorkers;
  }

  /** Number of open connections. */
  public int connections() {
    return connections.size();
  }

  /** Number of successful responses: values of reads, and receipts of writes. */
  public int servedRequests() {
    return servedRequests;
  }

  /** Number of requests rejected without being run. */
  public int rejected() {
    return rejectedRequests;
  }

  /** Number of reads that hit the cache. */
  public int cacheHits() {
    return cacheHits;
  }

  /** Number of reads that missed the cache. */
  public int cacheMisses() {
    return cacheMisses;
  }

  private void onAccepted(Channel channel) {
    if (connections.size() >= model.maxConnections()) {
      channel.close();
      return;
    }
    Connection connection = new Connection(channel);
    connections.add(connection);
    channel.closeFuture().addListener(done -> connections.remove(connection));
    connection.updateReadMode();
    channel.pipeline().addLast(connection.inboundBuffer, new MetaRequest.Decoder(), connection);
  }

  /** A connection with its outstanding requests in the order of their arrival. */
  private final class Connection extends SimpleChannelInboundHandler<MetaRequest> {
    private final Channel channel;
    private final ArrayDeque<Job> outstandingJobs = new ArrayDeque<>();
    private final InboundBuffer inboundBuffer = new InboundBuffer(() -> unresponsive);
    private boolean stalled;

    /** Time since which bytes may have been waiting unread; -1 while bytes are read at once. */
    private long readDelayedSinceNanos = -1;

    Connection(Channel channel) {
      this.channel = channel;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, MetaRequest request) {
      if (request.isNoOp()) {
        Job noOp = new Job(this, request, null);
        outstandingJobs.add(noOp);
        noOp.respond("MN\r\n");
        return;
      }
      long arrivedAtNanos =
          readDelayedSinceNanos >= 0 ? readDelayedSinceNanos : transport.nowNanos();
      effectLog.recordArrival(request.id(), new EffectLog.Arrival(id, group, arrivedAtNanos));
      Job job = new Job(this, request, drawFault());
      outstandingJobs.add(job);
      double workSeconds = model.meanServiceSeconds() * (0.5 + random.nextDouble());
      warmUp.checkOverload(workSeconds);
      if (job.fault == Fault.BUSY
          || draining
          || warmUp.collapsed()
          || queuedJobs.size() >= model.maxQueued()) {
        rejectedRequests++;
        reject(job, workSeconds);
        return;
      }
      job.workSeconds = workSeconds;
      queuedJobs.add(job);
      startQueuedJobs();
    }

    private void reject(Job job, double workSeconds) {
      if (rejectsLate) {
        long delayNanos = (long) (workSeconds * 1e9);
        transport
            .loop()
            .schedule(() -> job.respond("SERVER_ERROR busy\r\n"), delayNanos, TimeUnit.NANOSECONDS);
      } else {
        job.respond("SERVER_ERROR busy\r\n");
      }
    }

    /** Makes the connection read at once, with a limit, or not at all, as currently set. */
    private void updateReadMode() {
      boolean autoRead = !unresponsive && readLimitBytes == 0;
      channel.config().setAutoRead(autoRead);
      if (!autoRead && readDelayedSinceNanos < 0) {
        readDelayedSinceNanos = transport.nowNanos();
      } else if (autoRead && readDelayedSinceNanos >= 0) {
        ChannelHandlerContext bufferContext = channel.pipeline().context(inboundBuffer);
        if (bufferContext != null) {
          inboundBuffer.deliverBufferedData(bufferContext);
        }
        transport.loop().schedule(this::onCaughtUp, CATCH_UP_MILLIS, TimeUnit.MILLISECONDS);
      }
      if (readLimitBytes > 0 && !unresponsive && channel.isActive()) {
        channel.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(readLimitBytes));
        channel.read();
        transport.loop().schedule(this::updateReadMode, 10, TimeUnit.MILLISECONDS);
      }
    }

    private void onCaughtUp() {
      if (channel.config().isAutoRead()) {
        readDelayedSinceNanos = -1;
      }
    }

    /** Sends all ready responses up to the first request without a response. */
    private void sendReadyResponses() {
      for (Job job = outstandingJobs.peek(); job != null && job.response != null && !stalled; ) {
        outstandingJobs.poll();
        if (!job.request.isNoOp()) {
          effectLog.recordEnd(job.request.id());
        }
        sendResponse(job);
        job = outstandingJobs.peek();
      }
    }

    private void sendResponse(Job job) {
      String response = job.response;
      String firstHalf = response.substring(0, response.length() / 2);
      if (truncateAfterBytes >= 0) {
        String truncatedResponse =
            response.substring(0, Math.min(truncateAfterBytes, response.length()));
        truncateAfterBytes = -1;
        write(truncatedResponse).addListener(ChannelFutureListener.CLOSE);
        return;
      }
      if (job.fault == null) {
        write(response);
        return;
      }
      switch (job.fault) {
        case CLOSE_BEFORE_RESPONSE -> channel.close();
        case CLOSE_WITHIN_RESPONSE -> write(firstHalf).addListener(ChannelFutureListener.CLOSE);
        case CLOSE_AFTER_RESPONSE -> write(response).addListener(ChannelFutureListener.CLOSE);
        case HALF_RESPONSE -> {
          write(firstHalf);
          stalled = true;
        }
        case STALL -> stalled = true;
        case GARBAGE -> write("\u0000\u0007?!\u00ff\r\nEND\r\n");
        case WRONG_ID -> write(response.replace("O" + job.request.id(), "Oother"));
        case OVERSIZED_RESPONSE -> {
          stalled = true;
          write("VA 3221225472 O" + job.request.id() + "\r\n");
          sendOversizedValue(OVERSIZED_PIECE_COUNT);
        }
        case DUPLICATE_RESPONSE -> {
          write(response);
          write(response);
        }
        case TRAILING_GARBAGE -> write(response + "\u0001\u0002noise");
        case ERROR -> write("SERVER_ERROR failed\r\n");
        default -> write(response);
      }
    }

    private void sendOversizedValue(int remainingPieces) {
      if (remainingPieces > 0 && channel.isActive()) {
        write("x".repeat(OVERSIZED_PIECE_BYTES));
        transport
            .loop()
            .schedule(() -> sendOversizedValue(remainingPieces - 1), 5, TimeUnit.MILLISECONDS);
      }
    }

    private ChannelFuture write(String text) {
      ByteBuf bytes = channel.alloc().buffer(text.length());
      bytes.writeCharSequence(text, StandardCharsets.ISO_8859_1);
      return channel.writeAndFlush(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      for (Job job : outstandingJobs) {
        if (!job.request.isNoOp()) {
          effectLog.recordEnd(job.request.id());
        }
      }
      outstandingJobs.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Closes the connection on invalid input, even if requests are outstanding.
      ctx.close();
    }
  }

  private Fault drawFault() {
    double draw = random.nextDouble();
    for (var faultShare : faultShares.entrySet()) {
      draw -= faultShare.getValue();
      if (draw < 0) {
        return faultShare.getKey();
      }
    }
    return null;
  }

  private void startQueuedJobs() {
    while (busyWorkers < model.workers() && !queuedJobs.isEmpty()) {
      Job job = queuedJobs.poll();
      if (!job.connection.channel.isActive()) {
        continue; // The client disconnected before a worker was free.
      }
      busyWorkers++;
      job.start();
      long serviceNanos = (long) (job.workSeconds / warmUp.capacityShare() * 1e9);
      transport
          .loop()
          .schedule(
              () -> {
                busyWorkers--;
                job.onWorkDone();
                startQueuedJobs();
              },
              serviceNanos,
              TimeUnit.NANOSECONDS);
    }
  }

  /** A received request and its response, until the response is sent. */
  private final class Job {
    private final Connection connection;
    private final MetaRequest request;
    private final Fault fault;
    private double workSeconds;
    private String receipt;
    private String response;

    Job(Connection connection, MetaRequest request, Fault fault) {
      this.connection = connection;
      this.request = request;
      this.fault = fault;
    }

    void start() {
      if (request.isWrite()) {
        boolean hasIdempotencyKey = request.properties().containsKey("k");
        long windowNanos = (long) (model.dedupWindowSeconds() * 1e9);
        receipt =
            effectLog.recordExecution(
                request.id(), group, hasIdempotencyKey, windowNanos, transport.nowNanos());
        for (StandInServer server : fleet) {
          server.cachedKeys.remove(request.key());
        }
      }
    }

    void onWorkDone() {
      if (request.isWrite()) {
        origin.write(
            () -> {
              servedRequests++;
              respond("HD O" + request.id() + " c" + receipt + "\r\n");
            });
      } else if (cachedKeys.containsKey(request.key())) {
        cachedKeys.get(request.key()); // Marks the key as most recently used.
        cacheHits++;
        respondWithValue("h1");
      } else {
        cacheMisses++;
        origin.fetch(
            request.key(),
            () -> {
              addToCache(request.key());
              respondWithValue("h0");
            });
      }
    }

    private void respondWithValue(String cacheStatus) {
      servedRequests++;
      String value = makeValue(request.key(), request.id(), model.minValueBytes());
      respond(
          "VA "
              + value.length()
              + " O"
              + request.id()
              + " "
              + cacheStatus
              + "\r\n"
              + value
              + "\r\n");
    }

    void respond(String text) {
      response = text;
      connection.sendReadyResponses();
    }
  }

  private void addToCache(String key) {
    cachedKeys.put(key, true);
    if (cachedKeys.size() > model.maxKeys()) {
      cachedKeys.remove(cachedKeys.keySet().iterator().next());
    }
  }

  /** The value of a key as served to the request with this id, padded to a minimum length. */
  static String makeValue(String key, String id, int minLength) {
    StringBuilder value = new StringBuilder(key).append('|').append(id);
    while (value.length() < minLength) {
      value.append('.');
    }
    return value.toString();
  }
}
