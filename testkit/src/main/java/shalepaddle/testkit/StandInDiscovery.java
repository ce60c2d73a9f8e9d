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
 * A discovery service that serves the endpoint list over HTTP, as a full list or as a watch of its
 * changes. It can lag, fall silent and go down, and records when each change was first sent to any
 * client.
 */
public final class StandInDiscovery {
  private static final String LIST_PATH = "/catalog/members";

  /** Characters per chunk if lists are indented and split at arbitrary positions. */
  private static final int CHUNK_CHARS = 37;

  private static final long HEARTBEAT_MILLIS = 2000;

  /**
   * A change that a muted watch misses counts as sent this long after the watch was muted, since
   * clients must detect a silent watch by then.
   */
  private static final long MUTED_CHANGES_COUNT_AS_SENT_MILLIS = 6000;

  /** State of a server in the endpoint list. */
  public enum State {
    ACTIVE,
    LEAVING,
    LEFT;

    private String wireName() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /**
   * An entry of the endpoint list.
   *
   * @param id id of the server
   * @param address address on which the server listens
   * @param zone zone of the server
   * @param cell cell of the server
   * @param state state of the server
   * @param startUnixMillis Unix time of the last start of the server; 0 if it started long ago
   */
  public record Member(
      String id, String address, String zone, int cell, State state, long startUnixMillis) {
    private String json() {
      return """
          {"id":"%s","addr":"%s","zone":"%s","kind":"m","cell":%d,"state":"%s","weight":1.0,\
          "started_ms":%d}"""
          .formatted(id, address, zone, cell, state.wireName(), startUnixMillis);
    }
  }

  /** An entry with the list version that last changed it and the time from which it may be sent. */
  private record VersionedMember(Member member, long version, long sendableAtNanos) {}

  private final LoopbackTransport transport;
  private final Map<String, VersionedMember> members = new LinkedHashMap<>();
  private final Map<String, Long> firstSentNanosByState = new HashMap<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private long latestVersion;
  private long lagNanos;
  private boolean silenced;
  private boolean indented;
  private SocketAddress address;
  private Channel serverChannel;

  /** Creates a discovery service with an empty endpoint list; it does not listen yet. */
  public StandInDiscovery(LoopbackTransport transport) {
    this.transport = transport;
  }

  /** Starts to listen, for the first time or again after {@link #stop}. */
  public ChannelFuture start() {
    ChannelFuture bindFuture =
        transport.listen(
            address == null ? transport.newAddress() : address,
            channel -> channel.pipeline().addLast(new HttpServerCodec(), new Watch(channel)));
    bindFuture.addListener(
        done -> {
          if (done.isSuccess()) {
            serverChannel = bindFuture.channel();
            address = serverChannel.localAddress();
          }
        });
    return bindFuture;
  }

  /** Goes down: closes all watches and refuses connections. */
  public void stop() {
    if (serverChannel != null) {
      serverChannel.close();
      serverChannel = null;
    }
    for (Watch watch : List.copyOf(watches)) {
      watch.channel.close();
    }
  }

  /** While enabled, sends nothing on watches but keeps their connections open. */
  public void setSilent(boolean enabled) {
    silenced = enabled;
    if (!enabled) {
      sendChangesToAll();
    }
  }

  /**
   * Stops sending on all watches that are open now, for good, but keeps their connections open.
   * Changes that these watches miss count as sent some seconds later, even if no client receives
   * them.
   */
  public void muteWatches() {
    for (Watch watch : watches) {
      watch.muted = true;
      watch.mutedAtNanos = transport.nowNanos();
    }
  }

  /**
   * From now on indents lists over many lines and splits them into chunks at arbitrary positions.
   */
  public void indentLists() {
    indented = true;
  }

  /** Delays each change made from now on by this time before it is sent. */
  public void setLagMillis(long lagMillis) {
    lagNanos = TimeUnit.MILLISECONDS.toNanos(lagMillis);
  }

  /** Adds or replaces the entry of a server. */
  public void put(Member member) {
    members.put(
        member.id(), new VersionedMember(member, ++latestVersion, transport.nowNanos() + lagNanos));
    transport.loop().schedule(this::sendChangesToAll, lagNanos, TimeUnit.NANOSECONDS);
  }

  /** The entry of this server; null if the server was never in the list. */
  public Member member(String id) {
    VersionedMember entry = members.get(id);
    return entry == null ? null : entry.member();
  }

  /** The address in the form used in configurations; available once the service has started. */
  public String address() {
    return LoopbackTransport.addressText(address);
  }

  /**
   * Time at which this state of the server was first sent to any client, in the transport's
   * nanoseconds; -1 if the state was never sent. A state that a muted watch misses counts as sent
   * as well, at a later time; see {@link #muteWatches}.
   */
  public long firstSentNanos(String id, State state) {
    return firstSentNanosByState.getOrDefault(id + state, -1L);
  }

  /** The current full list as JSON, including changes that are still delayed. */
  public String listJson() {
    return membersJson(true, 0, latestVersion);
  }

  private String membersJson(boolean fullList, long sinceVersion, long upToVersion) {
    String serversJson =
        members.values().stream()
            .filter(entry -> entry.version() > sinceVersion && entry.version() <= upToVersion)
            .filter(entry -> !fullList || entry.member().state() != State.LEFT)
            .map(entry -> entry.member().json())
            .collect(Collectors.joining(","));
    return "{\"version\":%d,\"full\":%b,\"servers\":[%s]}"
        .formatted(upToVersion, fullList, serversJson);
  }

  /**
   * The latest version that may be sent now. Changes are sent in order, so a delayed change holds
   * back all later ones.
   */
  private long latestSendableVersion() {
    long nowNanos = transport.nowNanos();
    long upToVersion = latestVersion;
    for (VersionedMember entry : members.values()) {
      if (entry.sendableAtNanos() > nowNanos) {
        upToVersion = Math.min(upToVersion, entry.version() - 1);
      }
    }
    return upToVersion;
  }

  private void sendChangesToAll() {
    for (Watch watch : List.copyOf(watches)) {
      watch.sendChanges();
    }
  }

  /** A client connection, which becomes a watch if the client requests one. */
  private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
    private final Channel channel;
    private long sentVersion;
    private boolean muted;
    private long mutedAtNanos;

    Watch(Channel channel) {
      this.channel = channel;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (!(message instanceof HttpRequest request)) {
        return;
      }
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!query.path().equals(LIST_PATH)) {
        respond(HttpResponseStatus.NOT_FOUND, "");
      } else if (query.parameters().containsKey("follow")) {
        var responseHead = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        responseHead.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        channel.writeAndFlush(responseHead);
        long sinceVersion =
            Long.parseLong(query.parameters().getOrDefault("since", List.of("0")).get(0));
        sentVersion = Math.min(sinceVersion, latestVersion);
        watches.add(this);
        channel.closeFuture().addListener(done -> watches.remove(this));
        sendChanges();
        scheduleHeartbeat();
      } else {
        long upToVersion = latestSendableVersion();
        respond(HttpResponseStatus.OK, membersJson(true, 0, upToVersion));
        recordSent(0, upToVersion);
      }
    }

    private void respond(HttpResponseStatus status, String body) {
      ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
      var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, bytes);
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length());
      channel.writeAndFlush(response);
    }

    /** Sends all changes since the last version sent. */
    private void sendChanges() {
      long upToVersion = latestSendableVersion();
      if (muted && upToVersion > sentVersion) {
        long countsAsSentAtNanos =
            mutedAtNanos + TimeUnit.MILLISECONDS.toNanos(MUTED_CHANGES_COUNT_AS_SENT_MILLIS);
        recordSent(sentVersion, upToVersion, Math.max(transport.nowNanos(), countsAsSentAtNanos));
        sentVersion = upToVersion;
      } else if (!silenced && upToVersion > sentVersion) {
        sendMessage(membersJson(false, sentVersion, upToVersion));
        recordSent(sentVersion, upToVersion);
        sentVersion = upToVersion;
      }
    }

    private void scheduleHeartbeat() {
      transport
          .loop()
          .schedule(
              () -> {
                if (channel.isActive()) {
                  if (!silenced && !muted) {
                    sendMessage("");
                  }
                  scheduleHeartbeat();
                }
              },
              HEARTBEAT_MILLIS,
              TimeUnit.MILLISECONDS);
    }

    private void sendMessage(String text) {
      if (indented) {
        String indentedText = text.replace("{", "{\n  ").replace(",", ",\n  ").replace("]", "\n]");
        for (int chunkStart = 0; chunkStart < indentedText.length(); chunkStart += CHUNK_CHARS) {
          sendChunk(
              indentedText.substring(
                  chunkStart, Math.min(indentedText.length(), chunkStart + CHUNK_CHARS)));
        }
        sendChunk("\n\n");
      } else {
        sendChunk(text + "\n");
      }
    }

    private void sendChunk(String text) {
      channel.writeAndFlush(new DefaultHttpContent(ByteBufUtil.writeUtf8(channel.alloc(), text)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  private void recordSent(long sinceVersion, long upToVersion) {
    recordSent(sinceVersion, upToVersion, transport.nowNanos());
  }

  private void recordSent(long sinceVersion, long upToVersion, long sentAtNanos) {
    for (VersionedMember entry : members.values()) {
      if (entry.version() > sinceVersion && entry.version() <= upToVersion) {
        firstSentNanosByState.merge(
            entry.member().id() + entry.member().state(), sentAtNanos, Math::min);
      }
    }
  }
}
