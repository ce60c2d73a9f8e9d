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
 * The connections of a member, or of a client, with the members of a group: Raft messages, which
 * may be lost, and requests with responses. Listens for those that others open.
 *
 * <p>Thread-safe; its state is owned by an event loop and a thread of its own.
 */
public final class MemberTransport implements AutoCloseable {
  /** Accepted connections at once. */
  private static final int MAX_CONNECTIONS = 256;

  /** Peers of which the last rejection is remembered; those of further peers are not reported. */
  private static final int MAX_REPORTED_PEERS = 256;

  /** A connection without a handshake is closed after so long. */
  private static final long HANDSHAKE_TIMEOUT_MILLIS = 2000;

  /** Is called on the transport's thread. */
  public interface Listener {
    /** A Raft message came. */
    void raftMessageReceived(byte[] message);

    /**
     * A request came.
     *
     * @return the response's body; the message of a failure is sent as the error
     */
    CompletionStage<byte[]> requestReceived(String method, byte[] body);

    /** A line for operators. */
    void diagnostic(String line);
  }

  private final MultiThreadIoEventLoopGroup loops;
  private final EventLoop loop;

  /** By the member's name. Owned by the event loop. */
  private final Map<String, PeerConnection> peers = new HashMap<>();

  /** The last rejection that was reported, by the peer's IP address. Owned by the event loop. */
  private final Map<String, String> reportedRejections = new HashMap<>();

  private final Listener listener;
  private final ControlMessages.Hello hello;
  private final Channel listeningChannel;

  /**
   * Listens, if an address is given.
   *
   * @param group the name of the group
   * @param name the member's own, empty for a client
   * @param listenAddress null for a client
   * @param advertisedAddress where others find it, as IP:PORT; empty for nowhere
   * @throws IOException if it can't listen at the address
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

  /** Where it listens, null for a client. */
  public InetSocketAddress address() {
    return listeningChannel == null ? null : (InetSocketAddress) listeningChannel.localAddress();
  }

  /** A member is at this address from now on. */
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
   * @param timeoutMillis for the response
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
                new PeerUnavailableException("nobody knows where " + member + " is"));
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
   * Reports a rejected peer, unless the same was reported of it last. Nothing is reported any more
   * once {@link #MAX_REPORTED_PEERS} peers were.
   */
  private void reportRejection(String peer, String reason) {
    if (reportedRejections.size() < MAX_REPORTED_PEERS
        && !reason.equals(reportedRejections.put(peer, reason))) {
      listener.diagnostic("a peer at " + peer + " is turned down: " + reason);
    }
  }

  /** One accepted connection. */
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
     * Accepts a peer of the same group, and sends to it at the address that it advertises from now
     * on, in place of the configured one.
     */
    private void acceptHandshake(Frame frame) throws IOException {
      if (frame.kind() != Frame.Kind.HELLO) {
        throw new UnexpectedMessageException(frame.kind(), Frame.Kind.HELLO);
      }
      ControlMessages.Hello theirs = ControlMessages.Hello.decode(frame.body());
      if (!theirs.group().equals(hello.group())) {
        throw new HandshakeRejectedException(
            "it is of group '%s', and this is '%s'".formatted(theirs.group(), hello.group()));
      }
      isHandshakeDone = true;
      if (!theirs.address().isEmpty()) {
        try {
          setPeerAddress(theirs.name(), MemberList.parseAddress(theirs.address()));
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

    /** What is sent for a failure; never empty, which would be a success. */
    private static String errorOf(Throwable failure) {
      Throwable root = failure instanceof CompletionException ? failure.getCause() : failure;
      String message = root.getMessage();
      return message == null || message.isEmpty() ? root.getClass().getSimpleName() : message;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Throwable root = cause.getCause() == null ? cause : cause.getCause();
      reportRejection(
          ((InetSocketAddress) ctx.channel().remoteAddress()).getAddress().getHostAddress(),
          String.valueOf(root.getMessage()));
      ctx.close();
    }
  }

  /** Closes all connections. Blocks until the event loop has ended, 1 s at most. */
  @Override
  public void close() {
    loop.execute(() -> peers.values().forEach(PeerConnection::close));
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
