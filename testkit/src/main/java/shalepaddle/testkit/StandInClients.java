package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
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
 * Clients of one or several load balancers. They send requests at a given rate, independent of the
 * responses (open loop), and check that each request gets exactly one response, in time, and that
 * the response belongs to the request. With the {@link EffectLog} they also check that a refused
 * write had no effect.
 *
 * <p>Connections are reused, with one request on each at a time, and more are opened when all are
 * in use. As the protocol prescribes, a request is sent once more on a new connection if the load
 * balancer closes its first connection just as the request is sent.
 */
public final class StandInClients {
  /**
   * If the connection of a request closes within this time after the request was sent, the request
   * counts as sent after the load balancer's close, and is resent.
   */
  private static final long RESEND_AFTER_CLOSE_WINDOW_NANOS = 2_000_000;

  /** Maximum number of violations that are recorded; further ones are dropped. */
  private static final int MAX_VIOLATIONS = 50;

  /** Maximum number of connections to one load balancer. */
  private final int maxConnections;

  private final LoopbackTransport transport;
  private final EffectLog effectLog;
  private final Traffic traffic;
  private final long graceNanos;
  private final SplittableRandom random;
  private final DiscreteSampler keySampler;
  private final ZigguratSampler.Exponential interArrivalSeconds;
  private final Map<String, Target> targets = new LinkedHashMap<>();
  private final List<Target> activeTargets = new ArrayList<>();

  /** Outstanding requests, each with the connection that it was sent on. */
  private final Map<ClientRequest, Connection> connectionsByRequest = new LinkedHashMap<>();

  private final RequestOutcomes outcomes = new RequestOutcomes();
  private final List<String> violations = new ArrayList<>();
  private final Histogram latencyMicros = new Histogram(3_600_000_000L, 3);

  /** Checks coalesced reads; null if each response must have been produced for its own request. */
  private SharedResponseCheck sharedResponseCheck;

  private double ratePerSecond;
  private long stopAtNanos;

  /** When the next request is to be sent. */
  private long nextDueAtNanos;

  private int startedRequests;
  private int servedRequests;
  private int refusedRequests;
  private int failedRequests;
  private int unsentRequests;
  private int closeRaces;
  private int outstandingRequests;

  /** A load balancer and the connections to it. */
  private static final class Target {
    private final String name;
    private final SocketAddress address;
    private final ArrayDeque<Connection> idleConnections = new ArrayDeque<>();
    private final ProcessPauses pauses = new ProcessPauses();
    private int connectionCount;
    private boolean killed;
    private boolean restarting;

    Target(String name, SocketAddress address) {
      this.name = name;
      this.address = address;
    }
  }

  /** A request of a client. */
  private final class ClientRequest {
    private final String id;
    private final String key;
    private final Traffic.RequestClass requestClass;
    private final long dueAtNanos = transport.nowNanos();
    private Target target;
    private long sentAtNanos;
    private boolean resent;
    private ScheduledFuture<?> timeoutTask;

    ClientRequest(String id, String key, Traffic.RequestClass requestClass, Target target) {
      this.id = id;
      this.key = key;
      this.requestClass = requestClass;
      this.target = target;
    }

    private String commandText() {
      String properties =
          " O"
              + id
              + " Pc="
              + requestClass.name()
              + ",d="
              + requestClass.deadlineMillis()
              + (requestClass.hasIdempotencyKey() ? ",k=k" + id : "")
              + "\r\n";
      return requestClass.isWrite()
          ? "ms "
              + key
              + " "
              + requestClass.valueBytes()
              + properties
              + "v".repeat(requestClass.valueBytes())
              + "\r\n"
          : "mg " + key + " v" + properties;
    }

    /** Ends the request. The receipt is the number in the response to a served write, else null. */
    private void complete(String result, String receipt) {
      if (timeoutTask != null) {
        timeoutTask.cancel(false);
      }
      outstandingRequests--;
      outcomes.put(
          id,
          new RequestOutcomes.Outcome(
              requestClass, target.name, result, transport.nowNanos(), receipt));
    }
  }

  /**
   * Creates clients without a load balancer; {@link #addTarget} adds one.
   *
   * @param graceMillis how long after its deadline a response may arrive
   * @param maxConnections maximum number of connections to one load balancer; a request for which
   *     no connection is free is not sent
   */
  public StandInClients(
      LoopbackTransport transport,
      EffectLog effectLog,
      Traffic traffic,
      long graceMillis,
      int maxConnections,
      long seed) {
    this.transport = transport;
    this.effectLog = effectLog;
    this.traffic = traffic;
    this.graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMillis);
    this.maxConnections = maxConnections;
    this.random = new SplittableRandom(seed);
    SplittableRandom samplerRandom = random.split();
    this.keySampler =
        RejectionInversionZipfSampler.of(
            samplerRandom::nextLong, traffic.keyCount(), traffic.zipfExponent());
    this.interArrivalSeconds = ZigguratSampler.Exponential.of(samplerRandom::nextLong);
  }

  /**
   * Allows load balancers to serve equal reads with one value. The value must belong to the same
   * key and class, and must not have been requested before a write of the key that preceded the
   * read.
   */
  public void allowSharedResponses() {
    sharedResponseCheck = new SharedResponseCheck();
  }

  /** Sends requests to this load balancer as well from now on. */
  public void addTarget(String name, SocketAddress address) {
    Target target = new Target(name, address);
    targets.put(name, target);
    activeTargets.add(target);
  }

  /**
   * Announces a planned restart of the load balancer: clients open no more connections to it, use
   * their existing connections until these are closed, and must lose no request.
   */
  public void markRestarting(String name) {
    Target target = targets.get(name);
    target.restarting = true;
    if (target.connectionCount == 0) {
      activeTargets.remove(target);
    }
  }

  /**
   * Announces that the load balancer is killed: its clients lose the requests that it has accepted,
   * which is no violation.
   */
  public void markKilled(String name) {
    Target target = targets.get(name);
    target.killed = true;
    activeTargets.remove(target);
  }

  /**
   * Announces that the load balancer is paused from now on for this time: its responses may be late
   * by that much, and it notices events only after the pause.
   */
  public void recordPause(String name, long pauseMillis) {
    targets.get(name).pauses.add(transport.nowNanos(), pauseMillis);
  }

  /** Sends requests at the rate of the traffic for this duration. */
  public void run(long durationMillis) {
    ratePerSecond = traffic.ratePerSecond();
    nextDueAtNanos = transport.nowNanos();
    stopAtNanos = nextDueAtNanos + TimeUnit.MILLISECONDS.toNanos(durationMillis);
    scheduleNextRequest();
  }

  /** Stops sending new requests; outstanding requests continue. */
  public void stop() {
    stopAtNanos = transport.nowNanos();
  }

  /** Multiplies the request rate of the traffic by this factor from now on. */
  public void setRateFactor(double factor) {
    ratePerSecond = factor * traffic.ratePerSecond();
  }

  /**
   * Schedules the next request relative to the time at which the previous one was due, so that
   * delays do not add up.
   */
  private void scheduleNextRequest() {
    nextDueAtNanos += (long) (interArrivalSeconds.sample() / ratePerSecond * 1e9);
    transport
        .loop()
        .schedule(
            () -> {
              if (transport.nowNanos() - stopAtNanos < 0) {
                sendNextRequest();
                scheduleNextRequest();
              }
            },
            nextDueAtNanos - transport.nowNanos(),
            TimeUnit.NANOSECONDS);
  }

  private void sendNextRequest() {
    if (activeTargets.isEmpty()) {
      unsentRequests++;
      return;
    }
    Traffic.RequestClass requestClass = drawRequestClass();
    Target target = activeTargets.get(random.nextInt(activeTargets.size()));
    String key = "key" + keySampler.sample();
    ClientRequest request =
        new ClientRequest("r" + Integer.toHexString(startedRequests++), key, requestClass, target);
    outstandingRequests++;
    boolean willDisconnect = random.nextDouble() < traffic.disconnectShare();
    send(request);
    if (willDisconnect) {
      transport
          .loop()
          .schedule(
              () -> disconnect(request),
              random.nextInt(Math.max(1, requestClass.deadlineMillis() / 4)),
              TimeUnit.MILLISECONDS);
    }
  }

  private void disconnect(ClientRequest request) {
    Connection connection = connectionsByRequest.get(request);
    if (connection != null) {
      connection.clientDisconnected = true;
      connection.channel.close();
    }
  }

  private Traffic.RequestClass drawRequestClass() {
    double draw = random.nextDouble();
    for (Traffic.RequestClass requestClass : traffic.classes()) {
      draw -= requestClass.share();
      if (draw < 0) {
        return requestClass;
      }
    }
    return traffic.classes().get(traffic.classes().size() - 1);
  }

  private void send(ClientRequest request) {
    for (Connection connection = request.target.idleConnections.pollLast();
        connection != null;
        connection = request.target.idleConnections.pollLast()) {
      if (connection.channel.isActive()) {
        connection.write(request);
        return;
      }
    }
    if (request.target.restarting || request.target.connectionCount >= maxConnections) {
      unsentRequests++;
      request.complete("unsent", null);
      return;
    }
    connect(request);
  }

  /**
   * Resends a request whose connection closed just after the request was sent; to another load
   * balancer if its own is restarting.
   */
  private void resend(ClientRequest request) {
    if (!request.target.restarting) {
      connect(request);
      return;
    }
    List<Target> otherTargets =
        activeTargets.stream().filter(target -> !target.restarting).toList();
    if (otherTargets.isEmpty()) {
      unsentRequests++;
      request.complete("unsent", null);
    } else {
      request.target = otherTargets.get(random.nextInt(otherTargets.size()));
      connect(request);
    }
  }

  private void connect(ClientRequest request) {
    Connection connection = new Connection(request.target);
    request.target.connectionCount++;
    ChannelFuture connectFuture =
        transport
            .connector()
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.channel = channel;
                    channel.pipeline().addLast(new MetaResponse.Decoder(), connection);
                  }
                })
            .connect(request.target.address);
    connectFuture.addListener(
        future -> {
          if (future.isSuccess()) {
            connectFuture.channel().closeFuture().addListener(closed -> connection.onClosed());
            connection.write(request);
          } else {
            request.target.connectionCount--;
            unsentRequests++;
            request.complete("unsent", null);
          }
        });
  }

  /** A connection to a load balancer. */
  private final class Connection extends SimpleChannelInboundHandler<MetaResponse> {
    private final Target target;
    private Channel channel;
    private ClientRequest currentRequest;
    private boolean hasReceivedResponse;
    private boolean clientDisconnected;

    Connection(Target target) {
      this.target = target;
    }

    void write(ClientRequest request) {
      currentRequest = request;
      connectionsByRequest.put(request, this);
      request.sentAtNanos = transport.nowNanos();
      if (sharedResponseCheck != null && request.requestClass.isWrite()) {
        sharedResponseCheck.recordWrite(request.id, target.name, request.key, request.sentAtNanos);
      } else if (sharedResponseCheck != null) {
        sharedResponseCheck.recordRead(
            request.id, target.name, request.key, request.requestClass.name(), request.sentAtNanos);
      }
      scheduleTimeout(
          request,
          TimeUnit.MILLISECONDS.toNanos(request.requestClass.deadlineMillis())
              + graceNanos
              + RESEND_AFTER_CLOSE_WINDOW_NANOS,
          0);
      ByteBuf bytes = channel.alloc().buffer();
      bytes.writeCharSequence(request.commandText(), StandardCharsets.ISO_8859_1);
      channel.writeAndFlush(bytes);
    }

    /**
     * Schedules the timeout of a request. The timeout is postponed by the time for which the load
     * balancer was paused after the response was due; earlier pauses do not extend the client's
     * deadline.
     */
    private void scheduleTimeout(ClientRequest request, long delayNanos, long postponedNanos) {
      request.timeoutTask =
          transport
              .loop()
              .schedule(
                  () -> {
                    long responseDueNanos =
                        request.sentAtNanos
                            + TimeUnit.MILLISECONDS.toNanos(request.requestClass.deadlineMillis());
                    long pausedNanos =
                        target.pauses.pausedNanos(responseDueNanos, transport.nowNanos());
                    if (pausedNanos > postponedNanos) {
                      scheduleTimeout(request, pausedNanos - postponedNanos, pausedNanos);
                    } else {
                      recordViolation(request, "no answer in time");
                      channel.close();
                    }
                  },
                  delayNanos,
                  TimeUnit.NANOSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, MetaResponse response) {
      ClientRequest request = currentRequest;
      if (request == null) {
        recordViolation(target.name + ": more than one answer: " + response.firstLine());
        channel.close();
        return;
      }
      handleResponse(request, response);
      currentRequest = null;
      hasReceivedResponse = true;
      connectionsByRequest.remove(request);
      target.idleConnections.add(this);
    }

    private void handleResponse(ClientRequest request, MetaResponse response) {
      String line = response.firstLine();
      if (line.startsWith("VA ") && !request.requestClass.isWrite()) {
        String expectedPrefix = request.key + "|" + request.id;
        if (!line.endsWith(" O" + request.id)) {
          recordViolation(request, "served with another request's response: " + line);
        } else if (sharedResponseCheck != null) {
          String violation =
              sharedResponseCheck.findViolation(
                  request.id, response.value(), target.pauses::pausedNanos);
          if (violation != null) {
            recordViolation(request, violation);
          }
        } else if (!response.value().startsWith(expectedPrefix)) {
          recordViolation(request, "served with another request's response: " + line);
        }
        recordServed(request, null);
      } else if (line.startsWith("HD O" + request.id + " c") && request.requestClass.isWrite()) {
        recordServed(request, line.substring(line.lastIndexOf(" c") + 2));
      } else if (line.startsWith("SERVER_ERROR busy")) {
        refusedRequests++;
        request.complete("refused", null);
      } else if (line.startsWith("SERVER_ERROR")) {
        failedRequests++;
        request.complete("failed", null);
      } else {
        recordViolation(request, "unexpected response: " + line);
        request.complete("failed", null);
      }
    }

    private void recordServed(ClientRequest request, String receipt) {
      servedRequests++;
      latencyMicros.recordValue(
          Math.min(3_600_000_000L, (transport.nowNanos() - request.dueAtNanos) / 1000));
      request.complete("served", receipt);
    }

    /** Ends or resends the current request after either side has closed the connection. */
    void onClosed() {
      target.connectionCount--;
      target.idleConnections.remove(this);
      if (target.restarting && target.connectionCount == 0) {
        activeTargets.remove(target);
      }
      ClientRequest lostRequest = currentRequest;
      currentRequest = null;
      if (lostRequest == null) {
        return;
      }
      connectionsByRequest.remove(lostRequest);
      if (clientDisconnected || target.killed) {
        lostRequest.complete("gone", null);
      } else if (hasReceivedResponse
          && !lostRequest.resent
          && transport.nowNanos() - lostRequest.sentAtNanos <= RESEND_AFTER_CLOSE_WINDOW_NANOS) {
        closeRaces++;
        lostRequest.resent = true;
        lostRequest.timeoutTask.cancel(false);
        resend(lostRequest);
      } else {
        if (lostRequest.timeoutTask.cancel(false)) {
          recordViolation(lostRequest, "its connection ended without an answer");
        }
        lostRequest.complete("lost", null);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void recordViolation(ClientRequest request, String message) {
    recordViolation(
        request.id
            + " ("
            + request.requestClass.name()
            + " at "
            + request.target.name
            + ", sent at "
            + request.sentAtNanos / 1_000_000
            + " ms): "
            + message);
  }

  private void recordViolation(String message) {
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(message + ", at " + transport.nowNanos() / 1_000_000 + " ms");
    }
  }

  /**
   * Compares all results with the effects at servers. Must be called only after the last request
   * has ended.
   *
   * @param maxAttemptDelayNanos how long after the end of a request an attempt that was already on
   *     its way to a server may still arrive
   */
  public void checkEffects(long maxAttemptDelayNanos) {
    outcomes.check(
        effectLog,
        outcome -> targets.get(outcome.target()).pauses.resumeNanos(outcome.endedAtNanos()),
        maxAttemptDelayNanos,
        this::recordViolation);
  }

  /** A hash over the results of all requests and their times, to compare runs. */
  public long digest() {
    return outcomes.digest();
  }

  /** The ids of all requests that have ended. */
  public Set<String> endedRequestIds() {
    return outcomes.endedRequestIds();
  }

  /** Name of the load balancer that a request was sent to; null if the request is unknown. */
  public String targetOf(String id) {
    return outcomes.targetOf(id);
  }

  /** Stops sending requests and closes all idle connections. */
  public void close() {
    stop();
    for (Target target : targets.values()) {
      for (Connection connection : List.copyOf(target.idleConnections)) {
        connection.channel.close();
      }
    }
  }

  /** Descriptions of the violations by load balancers that clients detected. */
  public List<String> violations() {
    return Collections.unmodifiableList(violations);
  }

  /** Latencies of the served requests in microseconds. */
  public Histogram latencyMicros() {
    return latencyMicros;
  }

  /** Number of requests started. */
  public int requests() {
    return startedRequests;
  }

  /** Number of requests served. */
  public int servedRequests() {
    return servedRequests;
  }

  /** Number of requests refused. */
  public int refusedRequests() {
    return refusedRequests;
  }

  /** Number of requests that failed. */
  public int failedRequests() {
    return failedRequests;
  }

  /** Number of requests for which no connection was available. */
  public int unsentRequests() {
    return unsentRequests;
  }

  /** Number of requests resent because their connection closed just after they were sent. */
  public int closeRaces() {
    return closeRaces;
  }

  /** Number of outstanding requests. */
  public int outstanding() {
    return outstandingRequests;
  }
}
