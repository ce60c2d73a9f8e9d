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
 * This member's links to all others: listens, speaks, asks and is asked. On an event loop and a
 * thread of its own; all methods may be called from any thread.
 */
public final class MemberTransport implements AutoCloseable {
  /** Connections at once; of those that come then, none is taken. */
  private static final int MOST_CONNECTIONS = 256;

  /** Whoever has not said who it is by then is turned down. */
  private static final long HELLO_MILLIS = 2000;

  /** What comes from others, on the links' thread. */
  public interface Listener {
    /** A message by which members agree. */
    void raftMessage(byte[] message);

    /** A question; a failed answer tells why, in words for people. */
    CompletionStage<byte[]> request(String what, byte[] body);

    /** A line for operators. */
    void diagnostic(String text);
  }

  private final MultiThreadIoEventLoopGroup group;
  private final EventLoop loop;
  private final Map<String, PeerConnection> peers = new HashMap<>();
  private final Map<String, String> told = new HashMap<>();
  private final Listener listener;
  private final String ofGroup;
  private final ControlMessages.Hello hello;
  private final Channel listening;

  /**
   * Links of a member.
   *
   * @param name its own, empty for one that only asks
   * @param listen where it listens, null for nowhere
   * @param advertised where others find it, as text; empty for nowhere
   * @throws IOException if it can not listen there
   */
  public MemberTransport(
      String ofGroup, String name, InetSocketAddress listen, String advertised, Listener listener)
      throws IOException {
    this.ofGroup = ofGroup;
    this.listener = listener;
    hello = new ControlMessages.Hello(ofGroup, name, advertised);
    group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("links", true), NioIoHandler.newFactory());
    loop = group.next();
    listening =
        listen == null
            ? null
            : BoundedListener.at(
                group,
                listen,
                "the group",
                MOST_CONNECTIONS,
                made -> made.pipeline().addLast(new Frame.Decoder(), new Incoming()));
  }

  /** Where it listens, null for nowhere. */
  public InetSocketAddress address() {
    return listening == null ? null : (InetSocketAddress) listening.localAddress();
  }

  /** That member is to be found there, from now on. */
  public void setAddress(String member, InetSocketAddress address) {
    loop.execute(() -> peer(member, address));
  }

  private void peer(String member, InetSocketAddress address) {
    if (!member.isEmpty() && !member.equals(hello.name())) {
      peers.computeIfAbsent(member, name -> new PeerConnection(loop, address, hello)).at(address);
    }
  }

  /** Sends a message to a member; it may be lost. */
  public void send(String member, byte[] message) {
    loop.execute(
        () -> {
          PeerConnection peer = peers.get(member);
          if (peer != null) {
            peer.send(new Frame(Frame.Kind.AGREE, message));
          }
        });
  }

  /** Asks a member; fails where it can't be asked, or does not answer in that time. */
  public CompletableFuture<byte[]> request(String member, String what, byte[] body, long millis) {
    CompletableFuture<byte[]> answer = new CompletableFuture<>();
    loop.execute(
        () -> {
          PeerConnection peer = peers.get(member);
          if (peer == null) {
            answer.completeExceptionally(new IOException("nobody knows where " + member + " is"));
            return;
          }
          peer.ask(what, body, millis)
              .whenComplete(
                  (done, cause) -> {
                    if (cause == null) {
                      answer.complete(done);
                    } else {
                      answer.completeExceptionally(cause);
                    }
                  });
        });
    return answer;
  }

  /** Tells of the same trouble of the same peer once, until it is another. */
  private void complain(String peer, String what) {
    if (told.size() < MOST_CONNECTIONS && !what.equals(told.put(peer, what))) {
      listener.diagnostic("a peer at " + peer + " is turned down: " + what);
    }
  }

  /** One that speaks to this member. */
  private final class Incoming extends SimpleChannelInboundHandler<Frame> {
    private boolean known;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.executor()
          .schedule(
              () -> {
                if (!known) {
                  ctx.close();
                }
              },
              HELLO_MILLIS,
              TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) throws IOException {
      if (!known) {
        greet(frame);
        return;
      }
      switch (frame.kind()) {
        case AGREE -> listener.raftMessage(frame.body());
        case ASK -> answer(ctx, ControlMessages.Said.of(frame.body()));
        default -> throw new IOException("a frame of kind " + frame.kind() + " out of place");
      }
    }

    private void greet(Frame frame) throws IOException {
      if (frame.kind() != Frame.Kind.HELLO) {
        throw new IOException("speaks before it says who it is");
      }
      ControlMessages.Hello theirs = ControlMessages.Hello.of(frame.body());
      if (!theirs.group().equals(ofGroup)) {
        throw new IOException(
            "it is of group '%s', and this is '%s'".formatted(theirs.group(), ofGroup));
      }
      known = true;
      if (!theirs.address().isEmpty()) {
        try {
          peer(theirs.name(), MemberList.parseAddress(theirs.address()));
        } catch (FormatException e) {
          throw new IOException(e.getMessage());
        }
      }
    }

    private void answer(ChannelHandlerContext ctx, ControlMessages.Said question) {
      listener
          .request(question.what(), question.body())
          .whenComplete(
              (body, cause) -> {
                ControlMessages.Said said =
                    cause == null
                        ? new ControlMessages.Said(question.number(), "", body)
                        : new ControlMessages.Said(question.number(), why(cause), new byte[0]);
                ctx.executor()
                    .execute(
                        () ->
                            ctx.writeAndFlush(
                                new Frame(Frame.Kind.ANSWER, said.bytes()).write(ctx.alloc())));
              });
    }

    private static String why(Throwable cause) {
      Throwable root = cause instanceof CompletionException ? cause.getCause() : cause;
      String message = root.getMessage();
      return message == null || message.isEmpty() ? root.getClass().getSimpleName() : message;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Throwable root = cause.getCause() == null ? cause : cause.getCause();
      complain(
          ((InetSocketAddress) ctx.channel().remoteAddress()).getAddress().getHostAddress(),
          String.valueOf(root.getMessage()));
      ctx.close();
    }
  }

  @Override
  public void close() {
    loop.execute(() -> peers.values().forEach(PeerConnection::close));
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
