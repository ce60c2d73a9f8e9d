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
 * Publishes a member's applied entries to subscribers, over TCP. What is sent to whom is decided by
 * {@link ChangeFeedPublisher} on the member's thread, where {@link #entryApplied}, {@link
 * #snapshotInstalled} and {@link #setLeaderKnown} must be called; connections are served by an
 * event loop and a thread of its own.
 */
public final class ChangeFeedServer implements AutoCloseable {
  /** A connection without a hello is closed after so long. */
  private static final long HELLO_TIMEOUT_MILLIS = 2000;

  private static final ChangeFeedPublisher.Limits LIMITS = ChangeFeedPublisher.Limits.DEFAULT;

  /** Accepted connections at once; those beyond the subscribers' limit are told so. */
  private static final int MAX_CONNECTIONS = 2 * LIMITS.maxSubscribers();

  private static final long TICK_NANOS = LIMITS.heartbeatNanos() / 4;

  private final MultiThreadIoEventLoopGroup loops;
  private final Channel listeningChannel;
  private final MemberExecutor executor;
  private final Consumer<String> log;
  private final ChangeFeedPublisher publisher;

  /** By connection number; owned by the member's thread. */
  private final Map<Long, Channel> channels = new HashMap<>();

  /** Owned by the event loop. */
  private long lastConnectionNumber;

  private volatile boolean isClosed;

  /**
   * Listens for subscribers.
   *
   * @param group the name of the member's group
   * @param executor the member's thread
   * @param snapshot gives the member's state, on its thread
   * @param log takes lines for operators, on the event loop
   * @throws IOException if it can't listen at the address
   */
  public ChangeFeedServer(
      String group,
      InetSocketAddress listenAddress,
      MemberExecutor executor,
      Supplier<PublisherMessage.Snapshot> snapshot,
      Consumer<String> log)
      throws IOException {
    this.executor = executor;
    this.log = log;
    this.publisher =
        new ChangeFeedPublisher(group, executor.nanoTime(), LIMITS, new NetworkOutput(snapshot));
    this.loops =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("feed", true), NioIoHandler.newFactory());
    this.listeningChannel =
        BoundedListener.listen(loops, listenAddress, "followers", MAX_CONNECTIONS, this::accept);
    executor.execute(this::tick);
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listeningChannel.localAddress();
  }

  private void accept(Channel accepted) {
    long number = ++lastConnectionNumber;
    accepted
        .closeFuture()
        .addListener(
            closed ->
                executor.execute(
                    () -> {
                      channels.remove(number);
                      publisher.disconnected(number);
                    }));
    executor.execute(() -> channels.put(number, accepted));
    accepted.pipeline().addLast(new FrameDecoder(), new InboundHandler(number));
  }

  private void tick() {
    if (!isClosed) {
      publisher.tick(executor.nanoTime());
      executor.schedule(TICK_NANOS, this::tick);
    }
  }

  /** A committed entry was applied at this member. */
  public void entryApplied(long index, byte[] body) {
    publisher.entryApplied(executor.nanoTime(), new ChangeEntry(index, body));
  }

  /** A snapshot replaced the state of all entries that were applied at this member. */
  public void snapshotInstalled(long index) {
    publisher.snapshotInstalled(executor.nanoTime(), index);
  }

  /** Whether this member knows the leader of its group. */
  public void setLeaderKnown(boolean isKnown) {
    publisher.setLeaderKnown(executor.nanoTime(), isKnown);
  }

  /** Carries out what the publisher decides, on the member's thread. */
  private final class NetworkOutput implements ChangeFeedPublisher.Output {
    private final Supplier<PublisherMessage.Snapshot> snapshot;

    NetworkOutput(Supplier<PublisherMessage.Snapshot> snapshot) {
      this.snapshot = snapshot;
    }

    @Override
    public void send(long connection, PublisherMessage message) {
      Channel channel = channels.get(connection);
      if (channel != null) {
        channel.writeAndFlush(
            new Frame(Frame.Kind.PUBLISHER, ChangeFeedCodec.encode(message))
                .encode(channel.alloc()),
            channel.voidPromise());
      }
    }

    @Override
    public void close(long connection) {
      Channel channel = channels.remove(connection);
      if (channel != null) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public PublisherMessage.Snapshot snapshot() {
      return snapshot.get();
    }
  }

  /** Reads one connection, on the event loop. */
  private final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
    private final long number;
    private boolean hasSentMessage;

    InboundHandler(long number) {
      this.number = number;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      ctx.executor()
          .schedule(
              () -> {
                if (!hasSentMessage) {
                  ctx.close();
                }
              },
              HELLO_TIMEOUT_MILLIS,
              TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) throws IOException {
      if (frame.kind() != Frame.Kind.SUBSCRIBER) {
        throw new UnexpectedMessageException(frame.kind(), Frame.Kind.SUBSCRIBER);
      }
      SubscriberMessage message = ChangeFeedCodec.decodeSubscriberMessage(frame.body());
      hasSentMessage = true;
      executor.execute(() -> publisher.received(executor.nanoTime(), number, message));
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

  /** Closes all connections. Blocks until the event loop has ended, 1 s at most. */
  @Override
  public void close() {
    isClosed = true;
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
