package shalepaddle.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import shalepaddle.changefeed.ChangeEntry;
import shalepaddle.changefeed.ChangeFeedPublisher;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.changefeed.SubscriberMessage;
import shalepaddle.encoding.ChangeFeedCodec;
import shalepaddle.raft.MemberExecutor;

/**
 * Where nodes follow a member. What is sent whom is decided on the member's thread ({@link
 * ChangeFeedPublisher}), which {@link #entryApplied}, {@link #snapshotInstalled} and {@link
 * #setLeaderKnown} are called on; the bytes go on an event loop and a thread of their own.
 */
public final class ChangeFeedServer implements AutoCloseable {
  /** A follower that has not said who it is by then is closed. */
  private static final long HELLO_MILLIS = 2000;

  private final MultiThreadIoEventLoopGroup loops;
  private final Channel listening;
  private final MemberExecutor turns;
  private final Consumer<String> log;
  private final ChangeFeedPublisher publisher;

  /** By number; on the member's thread alone. */
  private final Map<Long, Channel> followers = new HashMap<>();

  /** On the event loop alone. */
  private long connections;

  private volatile boolean closed;

  /**
   * Listens for followers.
   *
   * @param group whose log it is
   * @param snapshot the member's state, on its thread
   * @throws IOException if it can not listen there
   */
  public ChangeFeedServer(
      String group,
      InetSocketAddress listen,
      MemberExecutor turns,
      Supplier<PublisherMessage.Snapshot> snapshot,
      Consumer<String> log)
      throws IOException {
    this.turns = turns;
    this.log = log;
    this.publisher =
        new ChangeFeedPublisher(
            group, turns.nanoTime(), ChangeFeedPublisher.Limits.DEFAULT, new Telling(snapshot));
    this.loops =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("feed", true), NioIoHandler.newFactory());
    this.listening =
        BoundedListener.at(
            loops,
            listen,
            "followers",
            2 * ChangeFeedPublisher.Limits.DEFAULT.maxSubscribers(),
            this::accept);
    turns.execute(this::tick);
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  private void accept(Channel made) {
    long number = ++connections;
    made.closeFuture()
        .addListener(
            gone ->
                turns.execute(
                    () -> {
                      followers.remove(number);
                      publisher.disconnected(number);
                    }));
    turns.execute(() -> followers.put(number, made));
    made.pipeline().addLast(new Frame.Decoder(), new Incoming(number));
  }

  private void tick() {
    if (!closed) {
      publisher.tick(turns.nanoTime());
      turns.schedule(ChangeFeedPublisher.Limits.DEFAULT.heartbeatNanos() / 4, this::tick);
    }
  }

  /** An entry was applied at this member. */
  public void entryApplied(long index, byte[] body) {
    publisher.entryApplied(turns.nanoTime(), new ChangeEntry(index, body));
  }

  /** A snapshot took the place of all that was applied at this member. */
  public void snapshotInstalled(long index) {
    publisher.snapshotInstalled(turns.nanoTime(), index);
  }

  /** Whether this member knows who leads its group. */
  public void setLeaderKnown(boolean known) {
    publisher.setLeaderKnown(turns.nanoTime(), known);
  }

  /** Carries out what the publisher decides, on the member's thread. */
  private final class Telling implements ChangeFeedPublisher.Output {
    private final Supplier<PublisherMessage.Snapshot> snapshot;

    Telling(Supplier<PublisherMessage.Snapshot> snapshot) {
      this.snapshot = snapshot;
    }

    @Override
    public void send(long connection, PublisherMessage told) {
      Channel channel = followers.get(connection);
      if (channel != null) {
        channel.writeAndFlush(
            new Frame(Frame.Kind.FEED, ChangeFeedCodec.encode(told)).write(channel.alloc()),
            channel.voidPromise());
      }
    }

    @Override
    public void close(long connection) {
      Channel channel = followers.remove(connection);
      if (channel != null) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public PublisherMessage.Snapshot snapshot() {
      return snapshot.get();
    }
  }

  /** One follower's bytes, on the event loop. */
  private final class Incoming extends SimpleChannelInboundHandler<Frame> {
    private final long number;
    private boolean known;

    Incoming(long number) {
      this.number = number;
    }

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
      if (frame.kind() != Frame.Kind.FOLLOW) {
        throw new IOException("a frame of kind " + frame.kind() + " out of place");
      }
      SubscriberMessage said = ChangeFeedCodec.decodeSubscriberMessage(frame.body());
      known = true;
      turns.execute(() -> publisher.received(turns.nanoTime(), number, said));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (ctx.channel().isActive()) {
        Throwable root = cause.getCause() == null ? cause : cause.getCause();
        log.accept(
            "a follower at " + ctx.channel().remoteAddress() + " is closed: " + root.getMessage());
      }
      ctx.close();
    }
  }

  @Override
  public void close() {
    closed = true;
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
