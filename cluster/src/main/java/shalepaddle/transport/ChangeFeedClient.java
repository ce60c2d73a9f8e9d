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
 * A node's subscription to the change feed, over TCP: it keeps a copy of the replicated state. What
 * to connect to and when is decided by {@link ChangeFeedSubscriber}.
 *
 * <p>Its state is owned by the event loop; {@link #close} may be called from any thread.
 */
public final class ChangeFeedClient implements AutoCloseable {
  /** Is notified on the event loop. */
  public interface Listener {
    /** A committed entry was applied here. Called in the order of the log. */
    void entryApplied(long index, Proposal proposal, CommandResult result);

    /** A snapshot replaced the state of all entries that were applied. */
    void snapshotInstalled(ReplicatedState.Snapshot snapshot);

    /** The node has come into contact with the group, or has lost it. */
    void contactChanged(boolean isInContact);

    /** A line for operators. */
    void diagnostic(String line);
  }

  private static final ChangeFeedSubscriber.Timeouts TIMEOUTS =
      ChangeFeedSubscriber.Timeouts.DEFAULT;

  private final EventLoop loop;
  private final List<InetSocketAddress> members;
  private final Listener listener;
  private final ReplicatedState state = new ReplicatedState();
  private final ChangeFeedSubscriber subscriber;

  /** The current connection, which may not be established yet; null for none. */
  private Channel channel;

  private boolean isClosed;

  /** The number of the scheduled tick; ticks with lower ones are superseded. */
  private long currentTick;

  /**
   * Starts to subscribe.
   *
   * @param group the name of the group
   * @param name the node's own, for the members' logs
   * @param members where they listen for subscribers
   * @param seed for the choice of members and backoff; a different one at each node
   */
  public ChangeFeedClient(
      EventLoop loop,
      String group,
      String name,
      List<InetSocketAddress> members,
      long seed,
      Listener listener) {
    this.loop = loop;
    this.members = List.copyOf(members);
    this.listener = listener;
    this.subscriber =
        new ChangeFeedSubscriber(
            group, name, members.size(), seed, System.nanoTime(), TIMEOUTS, new NetworkOutput());
    loop.execute(this::scheduleTick);
  }

  /** Schedules the subscriber's next tick in place of the one that is scheduled. */
  private void scheduleTick() {
    if (isClosed) {
      return;
    }
    long tick = ++currentTick;
    loop.schedule(
        () -> {
          if (tick == currentTick && !isClosed) {
            subscriber.tick(System.nanoTime());
            scheduleTick();
          }
        },
        Math.max(0, subscriber.nextTickNanos() - System.nanoTime()),
        TimeUnit.NANOSECONDS);
  }

  /** The state as far as it is applied here; on the event loop. */
  public ReplicatedState.Snapshot snapshot() {
    return state.snapshot();
  }

  /** Whether the node is in contact with the group; on the event loop. */
  public boolean isInContact() {
    return subscriber.isInContact();
  }

  /** The last log index that is applied here; on the event loop. */
  public long lastIndex() {
    return subscriber.lastIndex();
  }

  /** Carries out what the subscriber decides, on the event loop. */
  private final class NetworkOutput implements ChangeFeedSubscriber.Output {
    @Override
    public void connect(int member) {
      ChannelFuture connecting = openChannel(members.get(member));
      Channel created = connecting.channel();
      channel = created;
      connecting.addListener(
          done -> {
            if (channel != created) {
              // The subscriber gave it up meanwhile.
              created.close();
            } else if (done.isSuccess()) {
              subscriber.connected(System.nanoTime());
              scheduleTick();
            }
          });
      created
          .closeFuture()
          .addListener(
              closed -> {
                if (channel == created) {
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
                protected void initChannel(Channel created) {
                  created.pipeline().addLast(new FrameDecoder(), new InboundHandler());
                }
              })
          .connect(address);
    }

    @Override
    public void close() {
      Channel current = channel;
      channel = null;
      if (current != null) {
        current.close();
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
        // The members skip it as well, so the state is still theirs.
        listener.diagnostic("entry " + entry.index() + " can't be read: " + e.getMessage());
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
        listener.diagnostic("the state up to " + index + " can't be read: " + e.getMessage());
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
      listener.diagnostic("the member at " + members.get(member) + " can't be followed: " + reason);
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
      Throwable root = cause.getCause() == null ? cause : cause.getCause();
      if (ctx.channel() == channel) {
        listener.diagnostic("a member's message can't be read: " + root.getMessage());
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
