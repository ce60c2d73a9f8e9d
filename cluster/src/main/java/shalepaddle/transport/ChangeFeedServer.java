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
 * Publishes a member's applied entries to subscribers over TCP. {@link ChangeFeedPublisher} decides
 * on the member's thread what to send to which subscriber; {@link #entryApplied}, {@link
 * #snapshotInstalled} and {@link #setLeaderKnown} must be called on that thread. Connections are
 * served by an event loop on a separate thread.
 */
public final class ChangeFeedServer implements AutoCloseable {
  /** The time after which a connection that has sent no message is closed. */
  private static final long HELLO_TIMEOUT_MILLIS = 2000;

  private static final ChangeFeedPublisher.Limits LIMITS = ChangeFeedPublisher.Limits.DEFAULT;

  /**
   * The maximum number of open connections. It exceeds the maximum number of subscribers so that
   * further subscribers can be rejected with a message.
   */
  private static final int MAX_CONNECTIONS = 2 * LIMITS.maxSubscribers();

  private static final long TICK_INTERVAL_NANOS = LIMITS.heartbeatNanos() / 4;

  private final MultiThreadIoEventLoopGroup loops;
  private final Channel listeningChannel;
  private final MemberExecutor executor;
  private final Consumer<String> log;
  private final ChangeFeedPublisher publisher;

  /** The open connections, by connection number. Owned by the member's thread. */
  private final Map<Long, Channel> channels = new HashMap<>();

  /** The number of the last accepted connection. Owned by the event loop. */
  private long lastConnectionNumber;

  private volatile boolean isClosed;

  /**
   * Starts to listen for subscribers.
   *
   * @param group the name of the member's group
   * @param executor the member's thread
   * @param snapshotSupplier returns the member's state, on the member's thread
   * @param log receives log lines for operators, on the event loop
   * @throws IOException if the address cannot be bound
   */
  public ChangeFeedServer(
      String group,
      InetSocketAddress listenAddress,
      MemberExecutor executor,
      Supplier<PublisherMessage.Snapshot> snapshotSupplier,
      Consumer<String> log)
      throws IOException {
    this.executor = executor;
    this.log = log;
    this.publisher =
        new ChangeFeedPublisher(
            group, executor.nanoTime(), LIMITS, new NetworkOutput(snapshotSupplier));
    this.loops =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("feed", true), NioIoHandler.newFactory());
    this.listeningChannel =
        BoundedListener.listen(loops, listenAddress, "subscribers", MAX_CONNECTIONS, this::accept);
    executor.execute(this::tick);
  }

  /** The address at which this server listens for subscribers. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listeningChannel.localAddress();
  }

  private void accept(Channel acceptedChannel) {
    long connectionNumber = ++lastConnectionNumber;
    acceptedChannel
        .closeFuture()
        .addListener(
            closed ->
                executor.execute(
                    () -> {
                      channels.remove(connectionNumber);
                      publisher.disconnected(connectionNumber);
                    }));
    executor.execute(() -> channels.put(connectionNumber, acceptedChannel));
    acceptedChannel.pipeline().addLast(new FrameDecoder(), new InboundHandler(connectionNumber));
  }

  private void tick() {
    if (!isClosed) {
      publisher.tick(executor.nanoTime());
      executor.schedule(TICK_INTERVAL_NANOS, this::tick);
    }
  }

  /** Publishes a committed entry that was applied at this member. */
  public void entryApplied(long index, byte[] body) {
    publisher.entryApplied(executor.nanoTime(), new ChangeEntry(index, body));
  }

  /** Handles a snapshot that replaced the state of this member. */
  public void snapshotInstalled(long index) {
    publisher.snapshotInstalled(executor.nanoTime(), index);
  }

  /** Sets whether this member knows the leader of its group. */
  public void setLeaderKnown(boolean isLeaderKnown) {
    publisher.setLeaderKnown(executor.nanoTime(), isLeaderKnown);
  }

  /** Carries out the publisher's decisions, on the member's thread. */
  private final class NetworkOutput implements ChangeFeedPublisher.Output {
    private final Supplier<PublisherMessage.Snapshot> snapshotSupplier;

    NetworkOutput(Supplier<PublisherMessage.Snapshot> snapshotSupplier) {
      this.snapshotSupplier = snapshotSupplier;
    }

    @Override
    public void send(long connectionNumber, PublisherMessage message) {
      Channel channel = channels.get(connectionNumber);
      if (channel != null) {
        channel.writeAndFlush(
            new Frame(Frame.Kind.PUBLISHER, ChangeFeedCodec.encode(message))
                .encode(channel.alloc()),
            channel.voidPromise());
      }
    }

    @Override
    public void close(long connectionNumber) {
      Channel channel = channels.remove(connectionNumber);
      if (channel != null) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public PublisherMessage.Snapshot snapshot() {
      return snapshotSupplier.get();
    }
  }

  /** Reads the messages of one connection, on the event loop. */
  private final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
    private final long connectionNumber;
    private boolean hasSentMessage;

    InboundHandler(long connectionNumber) {
      this.connectionNumber = connectionNumber;
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
      executor.execute(() -> publisher.received(executor.nanoTime(), connectionNumber, message));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (ctx.channel().isActive()) {
        Throwable rootCause = cause.getCause() == null ? cause : cause.getCause();
        log.accept(
            "closing the connection of the subscriber at "
                + ctx.channel().remoteAddress()
                + ": "
                + rootCause.getMessage());
      }
      ctx.close();
    }
  }

  /** Closes all connections. Blocks until the event loop has terminated, for at most 1 s. */
  @Override
  public void close() {
    isClosed = true;
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
