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
import io.netty.handler.codec.json.JsonObjectDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;
import shalepaddle.sockets.ConnectCompletion;

/**
 * Asks discovery for the list of servers. Where the list must be asked for, a call is made only
 * when the module says so, and its failure is told; where it is pushed, a watch is kept up here.
 */
public final class DiscoveryClient implements MemberSource {
  private static final String PATH = "/catalog/members";

  /**
   * How long discovery may say nothing: a watch sends at least an empty line every 2 s, and a call
   * waits in turn for about as long. What a silent watch misses binds the node 6 s after the
   * silence began: a pause after the failure and another call that waits in turn fit into that.
   */
  private static final long MAX_SILENCE_MILLIS = 3250;

  /** The longest that an agent on the node's own machine may take to answer a call. */
  private static final long MOST_AGENT_MILLIS = 1000;

  /** The least, and the least pause: however short a grace, calls must not become a storm. */
  private static final long LEAST_AGENT_MILLIS = 200;

  private static final String ENDED = "connection ended";

  private static final long CONNECT_TIMEOUT_MILLIS = 2000;
  private static final long RETRY_MILLIS = 500;

  /** Longest list, for thousands of servers. */
  private static final int MAX_LIST = 4 << 20;

  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final Timers timers;
  private final LoopClock clock;
  private InetSocketAddress address;
  private final boolean asked;

  /**
   * How long an agent may take to answer: it answers at once, or is silent since discovery is down.
   * What it gets at the return binds the node from then on, so that a call made shortly before must
   * not be waited for: it, and the pause after it, have to fit into the grace of a drain.
   */
  private final long agentMillis;

  private final MemberListener listener;
  private long version;
  private Call watch;
  private boolean stopped = true;

  /**
   * A client that asks nothing yet.
   *
   * @param bootstrap opens connections on the loop
   * @param asked whether a call is made only when told to, and its failure is told in turn; else a
   *     watch is kept up from the first {@link #follow} on
   * @param graceSeconds for how long a server that leaves may still be sent something, 0 where
   *     nothing says so
   * @param version the version of the list that is known
   */
  public DiscoveryClient(
      Bootstrap bootstrap,
      EventLoop loop,
      Timers timers,
      LoopClock clock,
      InetSocketAddress address,
      boolean asked,
      double graceSeconds,
      long version,
      MemberListener listener) {
    this.bootstrap = bootstrap;
    this.loop = loop;
    this.timers = timers;
    this.clock = clock;
    this.address = address;
    this.asked = asked;
    this.agentMillis =
        graceSeconds > 0
            ? Math.max(LEAST_AGENT_MILLIS, Math.min(MOST_AGENT_MILLIS, (long) (graceSeconds * 500)))
            : MOST_AGENT_MILLIS;
    this.version = version;
    this.listener = listener;
  }

  /**
   * Makes a call unless one is under way: that waits its turn, and would lose it. Its own time
   * bounds it.
   */
  @Override
  public void follow() {
    stopped = false;
    if (watch == null) {
      watch = new Call();
    }
  }

  /**
   * Goes on with the service at this address, at once: what the old one had to tell may never come,
   * and a pause after its last failure says nothing of the new one.
   */
  public void switchTo(InetSocketAddress there) {
    if (!there.equals(address)) {
      address = there;
      stop();
      follow();
    }
  }

  @Override
  public void stop() {
    stopped = true;
    if (watch != null) {
      watch.end();
      watch = null;
    }
  }

  /** A call is over; where lists are pushed another is made, after the pause. */
  private void failed(Call call, String why, long pauseMillis) {
    if (call == watch) {
      watch = null;
    }
    // An agent that ends a watch, as it does when it restarts, is asked anew: not worth a line.
    if (asked || !why.equals(ENDED)) {
      listener.onFailure(why);
    }
    if (!asked) {
      loop.schedule(
          () -> {
            if (!stopped) {
              follow();
            }
          },
          pauseMillis,
          TimeUnit.MILLISECONDS);
    }
  }

  /** One call and its answer: a stream of JSON objects, however they are laid out in lines. */
  private final class Call extends SimpleChannelInboundHandler<HttpObject> {
    private final Lists lists = new Lists();
    private final Channel channel;

    /**
     * When anything came last. Not {@link LoopClock#activeNanos}: the kernel listens in a pause.
     */
    private long heardAt = clock.now();

    /** Whether the answer has begun: what follows is a watch. */
    private boolean answered;

    private boolean over;

    Call() {
      Bootstrap connector =
          bootstrap
              .clone()
              .handler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      ch.pipeline()
                          .addLast(new HttpClientCodec(), Call.this, lists, new ListReader());
                    }
                  });
      var connected = connector.connect(address);
      channel = connected.channel();
      timers.limitConnect(connected, (asked ? CONNECT_TIMEOUT_MILLIS : agentMillis) * 1_000_000);
      ConnectCompletion.whenDone(
          connected,
          loop,
          done -> {
            if (done.isSuccess()) {
              ask();
            } else {
              fail("no connection");
            }
          });
      watchOver();
    }

    private void ask() {
      String path = PATH + "?follow=1&since=" + version;
      var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
      request
          .headers()
          .set(
              HttpHeaderNames.HOST,
              address.getAddress().getHostAddress() + ":" + address.getPort());
      channel.writeAndFlush(request);
    }

    /** How long nothing may come from now on. */
    private long patience() {
      return (answered || asked ? MAX_SILENCE_MILLIS : agentMillis) * 1_000_000;
    }

    /**
     * Guards against discovery falling silent, where its connections stay open, and against a list
     * that begins and does not end. A pause of this node is no excuse: what came in it has been
     * read by the time that a timer runs, and what it missed binds it all the same.
     */
    private void watchOver() {
      timers.runNoEarlierThan(
          Math.max(1, since() + patience() - clock.now()),
          () -> {
            if (over) {
              return;
            }
            if (clock.now() - since() >= patience()) {
              fail(lists.midway() ? "a list that does not end" : "silent", 0);
            } else {
              watchOver();
            }
          });
    }

    private long since() {
      return lists.midway() ? lists.begunAt : heardAt;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (over) {
        return;
      }
      clock.refresh();
      heardAt = clock.now();
      if (message.decoderResult().isFailure()) {
        fail("malformed answer");
        return;
      }
      if (message instanceof HttpResponse response) {
        answered = true;
        if (!response.status().equals(HttpResponseStatus.OK)) {
          fail("answered " + response.status().code());
          return;
        }
      }
      if (message instanceof HttpContent content) {
        if (content.content().isReadable()) {
          ctx.fireChannelRead(content.content().retain());
        }
        if (message instanceof LastHttpContent && !over) {
          fail("watch ended");
        }
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      fail(ENDED);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      fail(cause.getMessage());
    }

    /** Splits what comes into objects. */
    private final class Lists extends JsonObjectDecoder {
      private long begunAt;
      private boolean midway;

      Lists() {
        super(MAX_LIST);
      }

      boolean midway() {
        return midway;
      }

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        super.channelRead(ctx, message);
        boolean left = actualReadableBytes() > 0;
        if (left && !midway) {
          // Set back where another has ended within the same bytes.
          begunAt = heardAt;
        }
        midway = left;
      }
    }

    /** Takes one object after the other. */
    private final class ListReader extends SimpleChannelInboundHandler<ByteBuf> {
      @Override
      protected void channelRead0(ChannelHandlerContext ctx, ByteBuf text) throws FormatException {
        if (over) {
          return;
        }
        MemberList list = MemberList.parse(JsonObject.parse(text.toString(StandardCharsets.UTF_8)));
        list.requireDistinct();
        lists.midway = false;
        version = list.full() ? list.version() : Math.max(version, list.version());
        listener.onList(list);
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Call.this.exceptionCaught(ctx, cause);
      }
    }

    private void fail(String why) {
      fail(why, Math.min(RETRY_MILLIS, agentMillis));
    }

    private void fail(String why, long pauseMillis) {
      if (!over) {
        end();
        failed(this, why, pauseMillis);
      }
    }

    void end() {
      over = true;
      ConnectCompletion.close(channel);
    }
  }
}
