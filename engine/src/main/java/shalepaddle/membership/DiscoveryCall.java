package shalepaddle.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;
import shalepaddle.sockets.ConnectCompletion;

/**
 * One HTTP request to discovery and its response, a stream of lists. The call ends once: by a
 * failure, when the connection is closed, or by {@link #close}. Used on the event loop only.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {
  private static final String MEMBERS_PATH = "/catalog/members";

  /**
   * How long discovery may send nothing. A watch carries at least an empty line every 2 s, and a
   * poll is queued for about 2 s. The node has to follow a list again within 6 s after its watch
   * became silent, which leaves time for a backoff and another queued call.
   */
  private static final long MAX_SILENCE_MILLIS = 3250;

  /** Receives the lists of a call, and finally the end of the call in {@link #onEnd}. */
  interface Observer {
    void onList(MemberList list);

    /** The call has ended, other than by {@link DiscoveryCall#close}. */
    void onEnd(DiscoveryCall call, End end);
  }

  /**
   * Why a call ended.
   *
   * @param reason the reason to log
   * @param isConnectionClosed whether the service closed the connection without an error
   * @param mayRetryAtOnce whether the next call needs no backoff, since this call ended by its time
   *     limit
   */
  record End(String reason, boolean isConnectionClosed, boolean mayRetryAtOnce) {}

  /**
   * The time limits of a call.
   *
   * @param connectTimeoutMillis the time limit of the connection attempt, in milliseconds
   * @param answerTimeoutMillis the time limit of the start of the response, in milliseconds
   */
  record Limits(long connectTimeoutMillis, long answerTimeoutMillis) {
    /** The limits of a call that is queued at the service until the list changes. */
    static Limits ofPoll(long connectTimeoutMillis) {
      return new Limits(connectTimeoutMillis, MAX_SILENCE_MILLIS);
    }

    /** The limits of a call to an agent, which responds at once. */
    static Limits ofWatch(long agentTimeoutMillis) {
      return new Limits(agentTimeoutMillis, agentTimeoutMillis);
    }
  }

  private final Timers timers;
  private final LoopClock clock;
  private final InetSocketAddress address;
  private final long knownVersion;
  private final Limits limits;
  private final Observer observer;
  private final MemberListDecoder listDecoder;
  private final Channel channel;

  /**
   * When the latest data was received, in nanoseconds of the event loop's time. The time includes
   * stalls, unlike {@link LoopClock#activeNanos}, since the kernel receives data during a stall.
   */
  private long receivedAtNanos;

  private boolean hasResponseStarted;
  private boolean hasEnded;

  DiscoveryCall(
      Bootstrap bootstrap,
      EventLoop loop,
      Timers timers,
      LoopClock clock,
      InetSocketAddress address,
      long knownVersion,
      Limits limits,
      Observer observer) {
    this.timers = timers;
    this.clock = clock;
    this.address = address;
    this.knownVersion = knownVersion;
    this.limits = limits;
    this.observer = observer;
    receivedAtNanos = clock.now();
    listDecoder = new MemberListDecoder(() -> receivedAtNanos);
    var connectFuture = bootstrap.clone().handler(channelInitializer()).connect(address);
    channel = connectFuture.channel();
    timers.limitConnectTime(connectFuture, limits.connectTimeoutMillis() * 1_000_000);
    ConnectCompletion.runWhenDone(
        connectFuture,
        loop,
        done -> {
          if (done.isSuccess()) {
            writeRequest();
          } else {
            fail("cannot connect");
          }
        });
    watchForSilence();
  }

  private ChannelInitializer<Channel> channelInitializer() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel newChannel) {
        newChannel
            .pipeline()
            .addLast(new HttpClientCodec(), DiscoveryCall.this, listDecoder, new ListHandler());
      }
    };
  }

  private void writeRequest() {
    String path = MEMBERS_PATH + "?follow=1&since=" + knownVersion;
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    String host = address.getAddress().getHostAddress() + ":" + address.getPort();
    request.headers().set(HttpHeaderNames.HOST, host);
    channel.writeAndFlush(request);
  }

  /**
   * Ends the call if discovery sends nothing while its connection stays open, or does not complete
   * a list. A stall of this node extends no limit: data that arrived in the stall is read before a
   * timer runs, and the node has to follow the list even if a stall kept it from reading.
   */
  private void watchForSilence() {
    timers.runNoEarlierThan(
        Math.max(1, silentSinceNanos() + maxSilenceNanos() - clock.now()),
        () -> {
          if (hasEnded) {
            return;
          }
          if (clock.now() - silentSinceNanos() >= maxSilenceNanos()) {
            String reason =
                listDecoder.isInsideList()
                    ? "list not completed in time"
                    : "no data received in time";
            end(new End(reason, false, true));
          } else {
            watchForSilence();
          }
        });
  }

  private long silentSinceNanos() {
    return listDecoder.isInsideList() ? listDecoder.listStartedAt() : receivedAtNanos;
  }

  private long maxSilenceNanos() {
    return (hasResponseStarted ? MAX_SILENCE_MILLIS : limits.answerTimeoutMillis()) * 1_000_000;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (hasEnded) {
      return;
    }
    clock.refresh();
    receivedAtNanos = clock.now();
    if (message.decoderResult().isFailure()) {
      fail("malformed HTTP response");
      return;
    }
    if (message instanceof HttpResponse response) {
      hasResponseStarted = true;
      if (!response.status().equals(HttpResponseStatus.OK)) {
        fail("HTTP status " + response.status().code());
        return;
      }
    }
    if (message instanceof HttpContent content) {
      if (content.content().isReadable()) {
        ctx.fireChannelRead(content.content().retain());
      }
      if (message instanceof LastHttpContent && !hasEnded) {
        fail("response ended");
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    end(new End("connection closed", true, false));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(cause.getMessage());
  }

  /** Parses each list and passes it to the observer, until the call ends. */
  private final class ListHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf json) throws FormatException {
      if (hasEnded) {
        return;
      }
      MemberList list = MemberList.parse(JsonObject.parse(json.toString(StandardCharsets.UTF_8)));
      list.requireDistinctServers();
      listDecoder.markListComplete();
      observer.onList(list);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      DiscoveryCall.this.exceptionCaught(ctx, cause);
    }
  }

  private void fail(String reason) {
    end(new End(reason, false, false));
  }

  private void end(End end) {
    if (!hasEnded) {
      close();
      observer.onEnd(this, end);
    }
  }

  /** Ends the call without notifying the observer. */
  void close() {
    hasEnded = true;
    ConnectCompletion.close(channel);
  }
}
