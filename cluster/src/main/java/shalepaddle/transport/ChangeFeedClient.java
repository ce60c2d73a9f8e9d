package shalepaddle.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import shalepaddle.changefeed.ChangeEntry;
import shalepaddle.changefeed.ChangeFeedSubscriber;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.changefeed.SubscriberMessage;
import shalepaddle.encoding.ChangeFeedCodec;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;

/**
 * A node's subscription to the change feed over TCP, which maintains a copy of the replicated
 * state. {@link ChangeFeedSubscriber} decides which member to connect to and when.
 *
 * <p>The state is owned by the event loop; {@link #close} may be called from any thread.
 */
public final class ChangeFeedClient implements AutoCloseable {
  /** Receives notifications on the event loop. */
  public interface Listener {
    /** A committed entry was applied to the copy. Called in the order of the log. */
    void entryApplied(long index, Proposal proposal, CommandResult result);

    /** A snapshot replaced the copy's state, including the effect of all applied entries. */
    void snapshotInstalled(ReplicatedState.Snapshot snapshot);

    /** The node has gained or lost contact with the group. */
    void contactChanged(boolean isInContact);

    /** Receives a log line for operators. */
    void diagnostic(String line);
  }

  private static final ChangeFeedSubscriber.Timeouts TIMEOUTS =
      ChangeFeedSubscriber.Timeouts.DEFAULT;

  private final EventLoop loop;
  private final List<InetSocketAddress> memberAddresses;
  private final Listener listener;
  private final ReplicatedState state = new ReplicatedState();
  private final ChangeFeedSubscriber subscriber;

  /** The current connection, possibly not established yet; null for none. */
  private Channel channel;

  private boolean isClosed;

  /** The number of the last scheduled tick; ticks with lower numbers are superseded. */
  private long lastTickNumber;

  /**
   * Starts a subscription.
   *
   * @param group the name of the group
   * @param name the node's name, for the members' logs
   * @param memberAddresses the addresses at which the members listen for subscribers
   * @param seed the seed of the random choices of members and backoffs, which should differ between
   *     nodes
   */
  public ChangeFeedClient(
      EventLoop loop,
      String group,
      String name,
      List<InetSocketAddress> memberAddresses,
      long seed,
      Listener listener) {
    this.loop = loop;
    this.memberAddresses = List.copyOf(memberAddresses);
    this.listener = listener;
    this.subscriber =
        new ChangeFeedSubscriber(
            group,
            name,
            memberAddresses.size(),
            seed,
            System.nanoTime(),
            TIMEOUTS,
            new NetworkOutput());
    loop.execute(this::scheduleTick);
  }

  /** Schedules the subscriber's next tick, which supersedes the scheduled one. */
  private void scheduleTick() {
    if (isClosed) {
      return;
    }
    long tickNumber = ++lastTickNumber;
    loop.schedule(
        () -> {
          if (tickNumber == lastTickNumber && !isClosed) {
            subscriber.tick(System.nanoTime());
            scheduleTick();
          }
        },
        Math.max(0, subscriber.nextTickNanos() - System.nanoTime()),
        TimeUnit.NANOSECONDS);
  }

  /** The state up to the last applied entry. Must be called on the event loop. */
  public ReplicatedState.Snapshot snapshot() {
    return state.snapshot();
  }

  /** Whether the node is in contact with the group. Must be called on the event loop. */
  public boolean isInContact() {
    return subscriber.isInContact();
  }

  /** The index of the last applied entry. Must be called on the event loop. */
  public long lastIndex() {
    return subscriber.lastIndex();
  }

  /** Carries out the subscriber's decisions, on the event loop. */
  private final class NetworkOutput implements ChangeFeedSubscriber.Output {
    @Override
    public void connect(int member) {
      ChannelFuture connectFuture = openChannel(memberAddresses.get(member));
      Channel newChannel = connectFuture.channel();
      channel = newChannel;
      connectFuture.addListener(
          done -> {
            if (channel != newChannel) {
              // The subscriber has given up this connection while it was being established.
              newChannel.close();
            } else if (done.isSuccess()) {
              subscriber.connected(System.nanoTime());
              scheduleTick();
            }
          });
      newChannel
          .closeFuture()
          .addListener(
              closed -> {
                if (channel == newChannel) {
                  channel = null;
                  subscriber.disconnected(System.nanoTime());
                  scheduleTick();
                }
              });
    }

    private ChannelFuture openChannel(InetSocketAddress address) {
      return new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(
              ChannelOption.CONNECT_TIMEOUT_MILLIS,
              (int) TimeUnit.NANOSECONDS.toMillis(TIMEOUTS.connectTimeoutNanos()))
          .handler(
              new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel newChannel) {
                  newChannel.pipeline().addLast(new FrameDecoder(), new InboundHandler());
                }
              })
          .connect(address);
    }

    @Override
    public void close() {
      Channel previousChannel = channel;
      channel = null;
      if (previousChannel != null) {
        previousChannel.close();
      }
    }

    @Override
    public void send(SubscriberMessage message) {
      if (channel != null) {
        channel.writeAndFlush(
            new Frame(Frame.Kind.SUBSCRIBER, ChangeFeedCodec.encode(message))
                .encode(channel.alloc()),
            channel.voidPromise());
      }
    }

    @Override
    public void apply(ChangeEntry entry) {
      Proposal proposal;
      try {
        proposal = ReplicatedStateCodec.decodeProposal(entry.body());
      } catch (IOException | IllegalArgumentException e) {
        // The members skip this entry as well, so the copy still equals their state.
        listener.diagnostic("cannot decode entry " + entry.index() + ": " + e.getMessage());
        subscriber.rejectEntry(entry.index(), String.valueOf(e.getMessage()));
        return;
      }
      listener.entryApplied(entry.index(), proposal, state.apply(entry.index(), proposal));
    }

    @Override
    public boolean installSnapshot(long index, byte[] encodedState) {
      ReplicatedState.Snapshot snapshot;
      try {
        snapshot = ReplicatedStateCodec.decodeSnapshot(encodedState);
      } catch (IOException | IllegalArgumentException e) {
        listener.diagnostic("cannot decode the snapshot at index " + index + ": " + e.getMessage());
        return false;
      }
      state.restore(snapshot);
      listener.snapshotInstalled(snapshot);
      return true;
    }

    @Override
    public void contactChanged(boolean isInContact) {
      listener.contactChanged(isInContact);
    }

    @Override
    public void rejected(int member, String reason) {
      listener.diagnostic(
          "the member at " + memberAddresses.get(member) + " rejected the subscription: " + reason);
    }
  }

  private final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) throws IOException {
      if (frame.kind() != Frame.Kind.PUBLISHER) {
        throw new UnexpectedMessageException(frame.kind(), Frame.Kind.PUBLISHER);
      }
      PublisherMessage message = ChangeFeedCodec.decodePublisherMessage(frame.body());
      if (ctx.channel() == channel) {
        subscriber.received(System.nanoTime(), message);
        scheduleTick();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Throwable rootCause = cause.getCause() == null ? cause : cause.getCause();
      if (ctx.channel() == channel) {
        listener.diagnostic("closing the connection to a member: " + rootCause.getMessage());
      }
      ctx.close();
    }
  }

  /** Ends the subscription. */
  @Override
  public void close() {
    loop.execute(
        () -> {
          isClosed = true;
          if (channel != null) {
            channel.close();
          }
        });
  }
}
