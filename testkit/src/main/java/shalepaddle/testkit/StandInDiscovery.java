package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * A discovery service: the list of servers over HTTP, whole or as a watch of its changes. It can
 * lag behind, fall silent and go down, and notes when a change was first written to anybody.
 */
public final class StandInDiscovery {
  private static final String PATH = "/catalog/members";

  /** Characters in a piece where lists are cut anywhere. */
  private static final int PIECE = 37;

  private static final long HEARTBEAT_MILLIS = 2000;

  /** What a watch that has fallen silent misses counts as told so long after that. */
  private static final long SILENCE_BINDS_MILLIS = 6000;

  /** What the list says of a server. */
  public enum State {
    ACTIVE,
    LEAVING,
    LEFT;

    private String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * One line of the list.
   *
   * @param id the server's id
   * @param address where it listens
   * @param zone where it stands
   * @param cell the cell it belongs to
   * @param state what is said of it
   * @param startedMillis when it last started, Unix time, 0 for long ago
   */
  public record Member(
      String id, String address, String zone, int cell, State state, long startedMillis) {
    private String json() {
      return """
          {"id":"%s","addr":"%s","zone":"%s","kind":"m","cell":%d,"state":"%s","weight":1.0,\
          "started_ms":%d}"""
          .formatted(id, address, zone, cell, state.text(), startedMillis);
    }
  }

  /** A line with the version that brought it, and when it may be told. */
  private record Line(Member member, long version, long tellAtNanos) {}

  private final LoopbackTransport wire;
  private final Map<String, Line> lines = new LinkedHashMap<>();
  private final Map<String, Long> toldAt = new HashMap<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private long version;
  private long lagNanos;
  private boolean silent;
  private boolean indented;
  private SocketAddress address;
  private Channel listener;

  /** A service that does not listen yet, and has an empty list. */
  public StandInDiscovery(LoopbackTransport wire) {
    this.wire = wire;
  }

  /** Listens, for the first time or again after it was {@link #down}. */
  public ChannelFuture start() {
    ChannelFuture bound =
        wire.listen(
            address == null ? wire.address() : address,
            channel -> channel.pipeline().addLast(new HttpServerCodec(), new Watch(channel)));
    bound.addListener(
        done -> {
          if (done.isSuccess()) {
            listener = bound.channel();
            address = listener.localAddress();
          }
        });
    return bound;
  }

  /** Goes down: watches end, and calls are refused. */
  public void down() {
    if (listener != null) {
      listener.close();
      listener = null;
    }
    for (Watch watch : List.copyOf(watches)) {
      watch.channel.close();
    }
  }

  /** Says nothing, with its connections open. */
  public void silent(boolean on) {
    silent = on;
    if (!on) {
      tellAll();
    }
  }

  /**
   * The watches that are open now say nothing more, and stay open: what they miss counts as told
   * some seconds later, whether or not anybody hears of it.
   */
  public void muteWatches() {
    for (Watch watch : watches) {
      watch.muted = true;
      watch.mutedAt = wire.now();
    }
  }

  /** From now on lists come over many lines, in pieces cut anywhere. */
  public void indent() {
    indented = true;
  }

  /** What changes from now on is told so much later. */
  public void lag(long millis) {
    lagNanos = TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Changes the list. */
  public void put(Member member) {
    lines.put(member.id(), new Line(member, ++version, wire.now() + lagNanos));
    wire.loop().schedule(this::tellAll, lagNanos, TimeUnit.NANOSECONDS);
  }

  /** The line of this server, null if there never was one. */
  public Member member(String id) {
    Line line = lines.get(id);
    return line == null ? null : line.member();
  }

  /** Where it listens, as configurations have it; known once it has started. */
  public String address() {
    return LoopbackTransport.text(address);
  }

  /**
   * When anybody was first told that this server is in that state, or counted as told; -1 if nobody
   * was.
   */
  public long toldAt(String id, State state) {
    return toldAt.getOrDefault(id + state, -1L);
  }

  /** The whole list as it is now, in its own form. */
  public String list() {
    return json(true, 0, version);
  }

  private String json(boolean full, long since, long upTo) {
    String servers =
        lines.values().stream()
            .filter(line -> line.version() > since && line.version() <= upTo)
            .filter(line -> !full || line.member().state() != State.LEFT)
            .map(line -> line.member().json())
            .collect(Collectors.joining(","));
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}".formatted(upTo, full, servers);
  }

  /** The version that may be told by now: lines are told in their order. */
  private long tellable() {
    long now = wire.now();
    long upTo = version;
    for (Line line : lines.values()) {
      if (line.tellAtNanos() > now) {
        upTo = Math.min(upTo, line.version() - 1);
      }
    }
    return upTo;
  }

  private void tellAll() {
    for (Watch watch : List.copyOf(watches)) {
      watch.tell();
    }
  }

  /** One connection, and the watch on it once it was asked for. */
  private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
    private final Channel channel;
    private long told;
    private boolean muted;
    private long mutedAt;

    Watch(Channel channel) {
      this.channel = channel;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (!(message instanceof HttpRequest request)) {
        return;
      }
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!query.path().equals(PATH)) {
        answer(HttpResponseStatus.NOT_FOUND, "");
      } else if (query.parameters().containsKey("follow")) {
        var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(head);
        long since = Long.parseLong(query.parameters().getOrDefault("since", List.of("0")).get(0));
        told = Math.min(since, version);
        watches.add(this);
        channel.closeFuture().addListener(done -> watches.remove(this));
        tell();
        beat();
      } else {
        long upTo = tellable();
        answer(HttpResponseStatus.OK, json(true, 0, upTo));
        note(0, upTo);
      }
    }

    private void answer(HttpResponseStatus status, String body) {
      ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
      var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes);
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length());
      channel.writeAndFlush(response);
    }

    /** Tells what has changed since it was told last. */
    private void tell() {
      long upTo = tellable();
      if (muted && upTo > told) {
        long binds = mutedAt + TimeUnit.MILLISECONDS.toNanos(SILENCE_BINDS_MILLIS);
        note(told, upTo, Math.max(wire.now(), binds));
        told = upTo;
      } else if (!silent && upTo > told) {
        line(json(false, told, upTo));
        note(told, upTo);
        told = upTo;
      }
    }

    private void beat() {
      wire.loop()
          .schedule(
              () -> {
                if (channel.isActive()) {
                  if (!silent && !muted) {
                    line("");
                  }
                  beat();
                }
              },
              HEARTBEAT_MILLIS,
              TimeUnit.MILLISECONDS);
    }

    private void line(String text) {
      if (indented) {
        String laidOut = text.replace("{", "{\n  ").replace(",", ",\n  ").replace("]", "\n]");
        for (int from = 0; from < laidOut.length(); from += PIECE) {
          piece(laidOut.substring(from, Math.min(laidOut.length(), from + PIECE)));
        }
        piece("\n\n");
      } else {
        piece(text + "\n");
      }
    }

    private void piece(String text) {
      channel.writeAndFlush(new DefaultHttpContent(ByteBufUtil.writeUtf8(channel.alloc(), text)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void note(long since, long upTo) {
    note(since, upTo, wire.now());
  }

  private void note(long since, long upTo, long at) {
    for (Line line : lines.values()) {
      if (line.version() > since && line.version() <= upTo) {
        toldAt.merge(line.member().id() + line.member().state(), at, Math::min);
      }
    }
  }
}
