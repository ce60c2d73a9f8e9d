package shalepaddle.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import shalepaddle.membership.MemberList;
import shalepaddle.settings.FormatException;

/**
 * The connections between a member, or a client, and the members of a group. They carry Raft
 * messages, which may be lost, and requests with responses. A member also listens for connections
 * of other members and of clients.
 *
 * <p>Thread-safe; the state is owned by an event loop on a separate thread.
 */
public final class MemberTransport implements AutoCloseable {
  /** The maximum number of accepted connections that are open. */
  private static final int MAX_CONNECTIONS = 256;

  /** The maximum number of peers whose rejections are reported. */
  private static final int MAX_REPORTED_PEERS = 256;

  /** The time after which a connection without a handshake is closed. */
  private static final long HANDSHAKE_TIMEOUT_MILLIS = 2000;

  /** Receives messages and requests on the transport's event loop. */
  public interface Listener {
    /** A Raft message was received. */
    void raftMessageReceived(byte[] message);

    /**
     * A request was received.
     *
     * @return the body of the response; if the stage fails, the exception's message is sent as the
     *     error
     */
    CompletionStage<byte[]> requestReceived(String method, byte[] body);

    /** Receives a log line for operators. */
    void diagnostic(String line);
  }

  private final MultiThreadIoEventLoopGroup loops;
  private final EventLoop loop;

  /** The outgoing connections, by the member's name. Owned by the event loop. */
  private final Map<String, PeerConnection> peers = new HashMap<>();

  /** The last reported rejection, by the peer's IP address. Owned by the event loop. */
  private final Map<String, String> reportedRejections = new HashMap<>();

  private final Listener listener;
  private final ControlMessages.Hello hello;
  private final Channel listeningChannel;

  /**
   * Creates a transport, and starts to listen if an address is given.
   *
   * @param group the name of the group
   * @param name the member's name, empty for a client
   * @param listenAddress the address to listen at, null for a client
   * @param advertisedAddress the address at which others reach this member, as IP:PORT; empty for
   *     none
   * @throws IOException if the address cannot be bound
   */
  public MemberTransport(
      String group,
      String name,
      InetSocketAddress listenAddress,
      String advertisedAddress,
      Listener listener)
      throws IOException {
    this.listener = listener;
    hello = new ControlMessages.Hello(group, name, advertisedAddress);
    loops =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("member-transport", true), NioIoHandler.newFactory());
    loop = loops.next();
    listeningChannel =
        listenAddress == null
            ? null
            : BoundedListener.listen(
                loops,
                listenAddress,
                "the group",
                MAX_CONNECTIONS,
                accepted -> accepted.pipeline().addLast(new FrameDecoder(), new InboundHandler()));
  }

  /** The address at which this member listens, null for a client. */
  public InetSocketAddress address() {
    return listeningChannel == null ? null : (InetSocketAddress) listeningChannel.localAddress();
  }

  /** Sets the address of a member. */
  public void setAddress(String member, InetSocketAddress address) {
    loop.execute(() -> setPeerAddress(member, address));
  }

  private void setPeerAddress(String member, InetSocketAddress address) {
    if (!member.isEmpty() && !member.equals(hello.name())) {
      peers
          .computeIfAbsent(member, name -> new PeerConnection(loop, address, hello))
          .setAddress(address);
    }
  }

  /** Sends a Raft message; it may be lost. */
  public void send(String member, byte[] message) {
    loop.execute(
        () -> {
          PeerConnection peer = peers.get(member);
          if (peer != null) {
            peer.send(new Frame(Frame.Kind.RAFT, message));
          }
        });
  }

  /**
   * Sends a request.
   *
   * @param timeoutMillis the time within which the response must arrive
   * @return the response's body; fails with {@link RequestRejectedException} or {@link
   *     PeerUnavailableException}
   */
  public CompletableFuture<byte[]> request(
      String member, String method, byte[] body, long timeoutMillis) {
    CompletableFuture<byte[]> response = new CompletableFuture<>();
    loop.execute(
        () -> {
          PeerConnection peer = peers.get(member);
          if (peer == null) {
            response.completeExceptionally(
                new PeerUnavailableException("no address is known for " + member));
            return;
          }
          peer.request(method, body, timeoutMillis)
              .whenComplete(
                  (result, failure) -> {
                    if (failure == null) {
                      response.complete(result);
                    } else {
                      response.completeExceptionally(failure);
                    }
                  });
        });
    return response;
  }

  /**
   * Reports a rejected peer, unless its last reported rejection had the same reason. Once {@link
   * #MAX_REPORTED_PEERS} peers were reported, nothing is reported any more.
   */
  private void reportRejection(String peer, String reason) {
    if (reportedRejections.size() < MAX_REPORTED_PEERS
        && !reason.equals(reportedRejections.put(peer, reason))) {
      listener.diagnostic("closing a connection from " + peer + ": " + reason);
    }
  }

  /** Handles one accepted connection. */
  private final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
    private boolean isHandshakeDone;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.executor()
          .schedule(
              () -> {
                if (!isHandshakeDone) {
                  ctx.close();
                }
              },
              HANDSHAKE_TIMEOUT_MILLIS,
              TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) throws IOException {
      if (!isHandshakeDone) {
        acceptHandshake(frame);
        return;
      }
      switch (frame.kind()) {
        case RAFT -> listener.raftMessageReceived(frame.body());
        case REQUEST -> respond(ctx, ControlMessages.Request.decode(frame.body()));
        default ->
            throw new UnexpectedMessageException(frame.kind(), Frame.Kind.RAFT, Frame.Kind.REQUEST);
      }
    }

    /**
     * Accepts a peer of the same group. From now on, messages to it are sent to the address that it
     * advertises, instead of the configured one.
     */
    private void acceptHandshake(Frame frame) throws IOException {
      if (frame.kind() != Frame.Kind.HELLO) {
        throw new UnexpectedMessageException(frame.kind(), Frame.Kind.HELLO);
      }
      ControlMessages.Hello peerHello = ControlMessages.Hello.decode(frame.body());
      if (!peerHello.group().equals(hello.group())) {
        throw new HandshakeRejectedException(
            "the peer belongs to group '%s', expected '%s'"
                .formatted(peerHello.group(), hello.group()));
      }
      isHandshakeDone = true;
      if (!peerHello.address().isEmpty()) {
        try {
          setPeerAddress(peerHello.name(), MemberList.parseAddress(peerHello.address()));
        } catch (FormatException e) {
          throw new HandshakeRejectedException(e.getMessage());
        }
      }
    }

    private void respond(ChannelHandlerContext ctx, ControlMessages.Request request) {
      listener
          .requestReceived(request.method(), request.body())
          .whenComplete(
              (body, failure) -> {
                ControlMessages.Response response =
                    failure == null
                        ? new ControlMessages.Response(request.id(), "", body)
                        : new ControlMessages.Response(request.id(), errorOf(failure), new byte[0]);
                ctx.executor()
                    .execute(
                        () ->
                            ctx.writeAndFlush(
                                new Frame(Frame.Kind.RESPONSE, response.encode())
                                    .encode(ctx.alloc())));
              });
    }

    /** The error to send for a failure; never empty, since an empty error means success. */
    private static String errorOf(Throwable failure) {
      Throwable rootCause = failure instanceof CompletionException ? failure.getCause() : failure;
      String message = rootCause.getMessage();
      return message == null || message.isEmpty() ? rootCause.getClass().getSimpleName() : message;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Throwable rootCause = cause.getCause() == null ? cause : cause.getCause();
      reportRejection(
          ((InetSocketAddress) ctx.channel().remoteAddress()).getAddress().getHostAddress(),
          String.valueOf(rootCause.getMessage()));
      ctx.close();
    }
  }

  /** Closes all connections. Blocks until the event loop has terminated, for at most 1 s. */
  @Override
  public void close() {
    loop.execute(() -> peers.values().forEach(PeerConnection::close));
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
