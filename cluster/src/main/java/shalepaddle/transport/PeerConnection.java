package shalepaddle.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The connection on which a member sends to one other member. It is opened when there is something
 * to send, and after a failure again with exponential backoff; what is sent meanwhile is lost, as
 * any message may be. Owned by one event loop.
 */
final class PeerConnection {
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final long INITIAL_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 500;

  /** Bytes that wait to be sent at most; messages beyond them are lost. */
  private static final int MAX_PENDING_BYTES = 8 << 20;

  /** A connection that accepts no bytes for so long is closed. */
  private static final long STALL_TIMEOUT_NANOS = 2_000_000_000L;

  /** Requests without a response at most. */
  private static final int MAX_PENDING_REQUESTS = 1024;

  private static final long UNBLOCKED = 0;
  private static final long NO_BACKOFF = 0;

  private enum State {
    DISCONNECTED,
    CONNECTING,
    CONNECTED,
    CLOSED
  }

  private final EventLoop loop;
  private final ControlMessages.Hello hello;
  private final Map<Long, CompletableFuture<byte[]>> pendingRequests = new HashMap<>();
  private InetSocketAddress address;
  private State state = State.DISCONNECTED;

  /** The connection, null unless {@link State#CONNECTED} or closed from there. */
  private Channel channel;

  /** The backoff after the next failure; doubled with each, reset by a TCP connection. */
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;

  /** No attempt to connect before; {@link #NO_BACKOFF} for at once. */
  private long notBeforeNanos = NO_BACKOFF;

  /** Since when the connection accepts no bytes; {@link #UNBLOCKED} while it does. */
  private long blockedSinceNanos = UNBLOCKED;

  private long lastRequestId;

  PeerConnection(EventLoop loop, InetSocketAddress address, ControlMessages.Hello hello) {
    this.loop = loop;
    this.address = address;
    this.hello = hello;
  }

  /** The peer is at this address from now on. */
  void setAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      notBeforeNanos = NO_BACKOFF;
      if (channel != null) {
        channel.close();
      }
    }
  }

  /** Sends a frame if the connection accepts it now; otherwise the frame is lost. */
  void send(Frame frame) {
    if (ensureReady()) {
      channel.writeAndFlush(frame.encode(channel.alloc()), channel.voidPromise());
    }
  }

  /**
   * Sends a request.
   *
   * @param timeoutMillis for the response
   * @return the response's body; fails with {@link RequestRejectedException} or {@link
   *     PeerUnavailableException}
   */
  CompletableFuture<byte[]> request(String method, byte[] body, long timeoutMillis) {
    CompletableFuture<byte[]> response = new CompletableFuture<>();
    if (!ensureReady() || pendingRequests.size() >= MAX_PENDING_REQUESTS) {
      response.completeExceptionally(new PeerUnavailableException("no connection to " + address));
      return response;
    }
    long id = ++lastRequestId;
    pendingRequests.put(id, response);
    response.whenComplete((result, failure) -> loop.execute(() -> pendingRequests.remove(id)));
    loop.schedule(
        () ->
            response.completeExceptionally(
                new PeerUnavailableException(
                    "no answer from %s in %d ms".formatted(address, timeoutMillis))),
        timeoutMillis,
        TimeUnit.MILLISECONDS);
    send(new Frame(Frame.Kind.REQUEST, new ControlMessages.Request(id, method, body).encode()));
    return response;
  }

  /** Whether a frame can be sent now; starts to connect where that is due. */
  private boolean ensureReady() {
    long now = System.nanoTime();
    switch (state) {
      case CONNECTED -> {
        return channel.isActive() && hasBufferSpace(now);
      }
      case DISCONNECTED -> {
        if (notBeforeNanos == NO_BACKOFF || now - notBeforeNanos >= 0) {
          connect();
        }
        return false;
      }
      default -> {
        return false;
      }
    }
  }

  /** Whether the connection accepts bytes; closes one that has not for long. */
  private boolean hasBufferSpace(long now) {
    if (channel.isWritable()) {
      blockedSinceNanos = UNBLOCKED;
      return true;
    }
    if (blockedSinceNanos == UNBLOCKED) {
      blockedSinceNanos = now;
    }
    if (now - blockedSinceNanos > STALL_TIMEOUT_NANOS) {
      channel.close();
    }
    return false;
  }

  private void connect() {
    state = State.CONNECTING;
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(MAX_PENDING_BYTES / 2, MAX_PENDING_BYTES))
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel created) {
                    created.pipeline().addLast(new FrameDecoder(), new ResponseHandler());
                  }
                })
            .connect(address);
    connecting.addListener(
        done -> {
          if (!done.isSuccess() || state == State.CLOSED) {
            connecting.channel().close();
            disconnected();
          } else {
            connected(connecting.channel());
          }
        });
  }

  private void connected(Channel connected) {
    state = State.CONNECTED;
    channel = connected;
    blockedSinceNanos = UNBLOCKED;
    backoffMillis = INITIAL_BACKOFF_MILLIS;
    connected.closeFuture().addListener(closed -> connectionLost());
    connected.writeAndFlush(new Frame(Frame.Kind.HELLO, hello.encode()).encode(connected.alloc()));
  }

  private void connectionLost() {
    channel = null;
    disconnected();
    for (CompletableFuture<byte[]> response : Map.copyOf(pendingRequests).values()) {
      response.completeExceptionally(
          new PeerUnavailableException("the connection to " + address + " broke"));
    }
  }

  private void disconnected() {
    if (state != State.CLOSED) {
      state = State.DISCONNECTED;
    }
    notBeforeNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(backoffMillis);
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
  }

  /** Closes the connection for good. */
  void close() {
    state = State.CLOSED;
    if (channel != null) {
      channel.close();
    }
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) throws IOException {
      if (frame.kind() != Frame.Kind.RESPONSE) {
        throw new UnexpectedMessageException(frame.kind(), Frame.Kind.RESPONSE);
      }
      ControlMessages.Response response = ControlMessages.Response.decode(frame.body());
      CompletableFuture<byte[]> pending = pendingRequests.get(response.id());
      if (pending == null) {
        // It came after its timeout.
        return;
      }
      if (response.isError()) {
        pending.completeExceptionally(new RequestRejectedException(response.error()));
      } else {
        pending.complete(response.body());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
