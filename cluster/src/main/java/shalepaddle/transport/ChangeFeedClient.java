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

/** A node that follows the members of a group, and holds what they hold. All on one event loop. */
public final class ChangeFeedClient implements AutoCloseable {
  /** Is told of what happens, on the event loop. */
  public interface Listener {
    /** An entry is in force, in the order of the log. */
    void entryApplied(long index, Proposal proposal, CommandResult answer);

    /** A state took the place of all that was in force. */
    void snapshotInstalled(ReplicatedState.Snapshot image);

    /** Whether the node is in contact has changed. */
    void contactChanged(boolean in);

    /** A line for operators. */
    void diagnostic(String text);
  }

  private final EventLoop loop;
  private final List<InetSocketAddress> members;
  private final Listener listener;
  private final ReplicatedState snapshot = new ReplicatedState();
  private final ChangeFeedSubscriber follower;
  private Channel channel;
  private boolean closed;

  /** The tick that is due, by number: those before it are of no matter. */
  private long ticks;

  /**
   * Begins to follow.
   *
   * @param name its own, in the members' eyes
   * @param members where they listen for followers
   * @param seed another one at each node
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
    this.follower =
        new ChangeFeedSubscriber(
            group,
            name,
            members.size(),
            seed,
            System.nanoTime(),
            ChangeFeedSubscriber.Timeouts.DEFAULT,
            new Doing());
    loop.execute(this::arm);
  }

  private void arm() {
    if (closed) {
      return;
    }
    long own = ++ticks;
    loop.schedule(
        () -> {
          if (own == ticks && !closed) {
            follower.tick(System.nanoTime());
            arm();
          }
        },
        Math.max(0, follower.nextTickNanos() - System.nanoTime()),
        TimeUnit.NANOSECONDS);
  }

  /** What is in force here, up to which place; on the event loop. */
  public ReplicatedState.Snapshot snapshot() {
    return snapshot.snapshot();
  }

  /** Whether it is in contact; on the event loop. */
  public boolean isInContact() {
    return follower.isInContact();
  }

  /** Up to which place it knows all; on the event loop. */
  public long lastIndex() {
    return follower.lastIndex();
  }

  /** Carries out what the follower decides. */
  private final class Doing implements ChangeFeedSubscriber.Output {
    @Override
    public void connect(int member) {
      ChannelFuture opened =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(
                  ChannelOption.CONNECT_TIMEOUT_MILLIS,
                  (int) (ChangeFeedSubscriber.Timeouts.DEFAULT.connectTimeoutNanos() / 1_000_000))
              .handler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel made) {
                      made.pipeline().addLast(new Frame.Decoder(), new Incoming());
                    }
                  })
              .connect(members.get(member));
      Channel made = opened.channel();
      channel = made;
      opened.addListener(
          done -> {
            if (channel != made) {
              made.close();
            } else if (done.isSuccess()) {
              follower.connected(System.nanoTime());
              arm();
            }
          });
      made.closeFuture()
          .addListener(
              gone -> {
                if (channel == made) {
                  channel = null;
                  follower.disconnected(System.nanoTime());
                  arm();
                }
              });
    }

    @Override
    public void close() {
      Channel left = channel;
      channel = null;
      if (left != null) {
        left.close();
      }
    }

    @Override
    public void send(SubscriberMessage said) {
      if (channel != null) {
        channel.writeAndFlush(
            new Frame(Frame.Kind.FOLLOW, ChangeFeedCodec.encode(said)).write(channel.alloc()),
            channel.voidPromise());
      }
    }

    @Override
    public void apply(ChangeEntry entry) {
      Proposal proposal;
      try {
        proposal = ReplicatedStateCodec.decodeProposal(entry.body());
      } catch (IOException | IllegalArgumentException e) {
        // The members passed it over as well; what was in force holds.
        listener.diagnostic("entry " + entry.index() + " can't be read: " + e.getMessage());
        follower.rejectEntry(entry.index(), String.valueOf(e.getMessage()));
        return;
      }
      listener.entryApplied(entry.index(), proposal, snapshot.apply(entry.index(), proposal));
    }

    @Override
    public boolean installSnapshot(long index, byte[] image) {
      ReplicatedState.Snapshot read;
      try {
        read = ReplicatedStateCodec.decodeSnapshot(image);
      } catch (IOException | IllegalArgumentException e) {
        listener.diagnostic("the state up to " + index + " can't be read: " + e.getMessage());
        return false;
      }
      snapshot.restore(read);
      listener.snapshotInstalled(read);
      return true;
    }

    @Override
    public void contactChanged(boolean in) {
      listener.contactChanged(in);
    }

    @Override
    public void rejected(int member, String why) {
      listener.diagnostic("the member at " + members.get(member) + " can't be followed: " + why);
    }
  }

  private final class Incoming extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) throws IOException {
      if (frame.kind() != Frame.Kind.FEED) {
        throw new IOException("a frame of kind " + frame.kind() + " out of place");
      }
      PublisherMessage told = ChangeFeedCodec.decodePublisherMessage(frame.body());
      if (ctx.channel() == channel) {
        follower.received(System.nanoTime(), told);
        arm();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Throwable root = cause.getCause() == null ? cause : cause.getCause();
      if (ctx.channel() == channel) {
        listener.diagnostic("a member's words can't be read: " + root.getMessage());
      }
      ctx.close();
    }
  }

  /** Follows nobody any more. */
  @Override
  public void close() {
    loop.execute(
        () -> {
          closed = true;
          if (channel != null) {
            channel.close();
          }
        });
  }
}
