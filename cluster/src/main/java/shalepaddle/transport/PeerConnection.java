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
 * The connection on which a member sends to another member. It is opened when there is something to
 * send, and reopened after a failure with exponential backoff. Messages that are sent while it is
 * not open are lost, as any message may be. Owned by one event loop.
 */
final class PeerConnection {
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final long INITIAL_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 500;

  /** The maximum number of bytes that wait to be sent; further messages are dropped. */
  private static final int MAX_PENDING_BYTES = 8 << 20;

  /** The time after which a connection that accepts no bytes is closed. */
  private static final long STALL_TIMEOUT_NANOS = 2_000_000_000L;

  /** The maximum number of requests that wait for a response. */
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

  /** The established connection, null if none is open. */
  private Channel channel;

  /** The backoff after the next failure. Doubles with each failure; a connection resets it. */
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;

  /** The earliest time of the next attempt to connect, {@link #NO_BACKOFF} for immediately. */
  private long notBeforeNanos = NO_BACKOFF;

  /** The time since which the connection accepts no bytes, {@link #UNBLOCKED} while it does. */
  private long blockedSinceNanos = UNBLOCKED;

  private long lastRequestId;

  PeerConnection(EventLoop loop, InetSocketAddress address, ControlMessages.Hello hello) {
    this.loop = loop;
    this.address = address;
    this.hello = hello;
  }

  /** Sets the peer's address. Closes the connection if the address has changed. */
  void setAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      notBeforeNanos = NO_BACKOFF;
      if (channel != null) {
        channel.close();
      }
    }
  }

  /** Sends a frame if the connection accepts it now; otherwise drops it. */
  void send(Frame frame) {
    if (ensureReady()) {
      channel.writeAndFlush(frame.encode(channel.alloc()), channel.voidPromise());
    }
  }

  /**
   * Sends a request.
   *
   * @param timeoutMillis the time within which the response must arrive
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
                    "no response from %s within %d ms".formatted(address, timeoutMillis))),
        timeoutMillis,
        TimeUnit.MILLISECONDS);
    send(new Frame(Frame.Kind.REQUEST, new ControlMessages.Request(id, method, body).encode()));
    return response;
  }

  /** Whether a frame can be sent now. Starts to connect if disconnected and not backing off. */
  private boolean ensureReady() {
    long nowNanos = System.nanoTime();
    switch (state) {
      case CONNECTED -> {
        return channel.isActive() && hasBufferSpace(nowNanos);
      }
      case DISCONNECTED -> {
        if (notBeforeNanos == NO_BACKOFF || nowNanos - notBeforeNanos >= 0) {
          connect();
        }
        return false;
      }
      default -> {
        return false;
      }
    }
  }

  /**
   * Whether the connection accepts bytes. Closes the connection once it has accepted no bytes for
   * {@link #STALL_TIMEOUT_NANOS}.
   */
  private boolean hasBufferSpace(long nowNanos) {
    if (channel.isWritable()) {
      blockedSinceNanos = UNBLOCKED;
      return true;
    }
    if (blockedSinceNanos == UNBLOCKED) {
      blockedSinceNanos = nowNanos;
    }
    if (nowNanos - blockedSinceNanos > STALL_TIMEOUT_NANOS) {
      channel.close();
    }
    return false;
  }

  private void connect() {
    state = State.CONNECTING;
    ChannelFuture connectFuture =
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
                  protected void initChannel(Channel newChannel) {
                    newChannel.pipeline().addLast(new FrameDecoder(), new ResponseHandler());
                  }
                })
            .connect(address);
    connectFuture.addListener(
        done -> {
          if (!done.isSuccess() || state == State.CLOSED) {
            connectFuture.channel().close();
            startBackoff();
          } else {
            connectionEstablished(connectFuture.channel());
          }
        });
  }

  private void connectionEstablished(Channel newChannel) {
    state = State.CONNECTED;
    channel = newChannel;
    blockedSinceNanos = UNBLOCKED;
    backoffMillis = INITIAL_BACKOFF_MILLIS;
    newChannel.closeFuture().addListener(closed -> connectionLost());
    newChannel.writeAndFlush(
        new Frame(Frame.Kind.HELLO, hello.encode()).encode(newChannel.alloc()));
  }

  private void connectionLost() {
    channel = null;
    startBackoff();
    for (CompletableFuture<byte[]> response : Map.copyOf(pendingRequests).values()) {
      response.completeExceptionally(
          new PeerUnavailableException("the connection to " + address + " was lost"));
    }
  }

  private void startBackoff() {
    if (state != State.CLOSED) {
      state = State.DISCONNECTED;
    }
    notBeforeNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(backoffMillis);
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
  }

  /** Closes the connection permanently. */
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
      CompletableFuture<byte[]> pendingRequest = pendingRequests.get(response.id());
      if (pendingRequest == null) {
        // The response arrived after its timeout.
        return;
      }
      if (response.isError()) {
        pendingRequest.completeExceptionally(new RequestRejectedException(response.error()));
      } else {
        pendingRequest.complete(response.body());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
