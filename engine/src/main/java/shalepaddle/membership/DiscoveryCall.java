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
 * One HTTP call to discovery and its answer, a stream of lists. It ends once: with a failure, with
 * the connection, or by {@link #close}. On the event loop alone.
 */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {
  private static final String PATH = "/catalog/members";

  /**
   * How long discovery may be silent. A watch carries at least an empty line every 2 s, and a poll
   * is queued for about as long. The node has to follow a list 6 s after its watch fell silent: a
   * backoff and another queued call fit into that.
   */
  private static final long MAX_SILENCE_MILLIS = 3250;

  /** Receives the lists of a call and its end; {@link #onEnd} is the last notification. */
  interface Observer {
    void onList(MemberList list);

    /** The call has ended, other than by {@link DiscoveryCall#close}. */
    void onEnd(DiscoveryCall call, End end);
  }

  /**
   * Why a call ended.
   *
   * @param reason for the log
   * @param isConnectionClosed whether the service closed the connection, without an error
   * @param mayRetryAtOnce whether another call needs no backoff, since this one took long enough
   */
  record End(String reason, boolean isConnectionClosed, boolean mayRetryAtOnce) {}

  /**
   * How long a call waits, in milliseconds.
   *
   * @param connectMillis for its connection
   * @param answerMillis for the begin of the answer
   */
  record Limits(long connectMillis, long answerMillis) {
    /** A call that is queued at the service until the list changes. */
    static Limits ofPoll(long connectMillis) {
      return new Limits(connectMillis, MAX_SILENCE_MILLIS);
    }

    /** A call to an agent, which answers at once. */
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
  private final MemberListDecoder lists;
  private final Channel channel;

  /**
   * The time of the latest data. Not {@link LoopClock#activeNanos}: the kernel receives during a
   * stall.
   */
  private long receivedAt;

  private boolean answerBegun;
  private boolean ended;

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
    receivedAt = clock.now();
    lists = new MemberListDecoder(() -> receivedAt);
    var connecting = bootstrap.clone().handler(pipeline()).connect(address);
    channel = connecting.channel();
    timers.limitConnect(connecting, limits.connectMillis() * 1_000_000);
    ConnectCompletion.whenDone(
        connecting,
        loop,
        done -> {
          if (done.isSuccess()) {
            writeRequest();
          } else {
            fail("no connection");
          }
        });
    watchForSilence();
  }

  private ChannelInitializer<Channel> pipeline() {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(Channel opened) {
        opened
            .pipeline()
            .addLast(new HttpClientCodec(), DiscoveryCall.this, lists, new ListHandler());
      }
    };
  }

  private void writeRequest() {
    String path = PATH + "?follow=1&since=" + knownVersion;
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    String host = address.getAddress().getHostAddress() + ":" + address.getPort();
    request.headers().set(HttpHeaderNames.HOST, host);
    channel.writeAndFlush(request);
  }

  /**
   * Ends the call when discovery is silent, though its connection stays open, or does not complete
   * a list. A stall of this node extends no limit: what came in it was read before a timer runs,
   * and what the node missed is binding all the same.
   */
  private void watchForSilence() {
    timers.runNoEarlierThan(
        Math.max(1, silentSince() + maxSilenceNanos() - clock.now()),
        () -> {
          if (ended) {
            return;
          }
          if (clock.now() - silentSince() >= maxSilenceNanos()) {
            String reason = lists.isInsideList() ? "a list that does not end" : "silent";
            end(new End(reason, false, true));
          } else {
            watchForSilence();
          }
        });
  }

  private long silentSince() {
    return lists.isInsideList() ? lists.listBegunAt() : receivedAt;
  }

  private long maxSilenceNanos() {
    return (answerBegun ? MAX_SILENCE_MILLIS : limits.answerMillis()) * 1_000_000;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (ended) {
      return;
    }
    clock.refresh();
    receivedAt = clock.now();
    if (message.decoderResult().isFailure()) {
      fail("malformed answer");
      return;
    }
    if (message instanceof HttpResponse response) {
      answerBegun = true;
      if (!response.status().equals(HttpResponseStatus.OK)) {
        fail("answered " + response.status().code());
        return;
      }
    }
    if (message instanceof HttpContent content) {
      if (content.content().isReadable()) {
        ctx.fireChannelRead(content.content().retain());
      }
      if (message instanceof LastHttpContent && !ended) {
        fail("watch ended");
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    end(new End("connection ended", true, false));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(cause.getMessage());
  }

  /** Parses each list and passes it on, until the call ends. */
  private final class ListHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf text) throws FormatException {
      if (ended) {
        return;
      }
      MemberList list = MemberList.parse(JsonObject.parse(text.toString(StandardCharsets.UTF_8)));
      list.requireDistinct();
      lists.listComplete();
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
    if (!ended) {
      close();
      observer.onEnd(this, end);
    }
  }

  /** Ends the call without a report. */
  void close() {
    ended = true;
    ConnectCompletion.close(channel);
  }
}
