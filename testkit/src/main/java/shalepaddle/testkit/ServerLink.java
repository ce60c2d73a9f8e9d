package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The network between load balancers and a {@link StandInServer}: every byte takes a fixed time in
 * either direction, and some replies arrive a second time later. Pass it to {@link
 * LoopbackTransport#sockets(io.netty.channel.EventLoop, Consumer)} as the interceptor of accepted
 * connections. All methods are called on the transport's event loop.
 */
public final class ServerLink implements Consumer<Channel> {
  /**
   * Which replies arrive twice, and when.
   *
   * @param replyPrefix the start of the replies that may arrive twice
   * @param share share of these replies that arrive twice
   * @param minDelayMillis the least time between a reply and its copy
   * @param maxDelayMillis the longest time between a reply and its copy
   */
  public record Copies(String replyPrefix, double share, int minDelayMillis, int maxDelayMillis) {}

  private final int latencyMillis;
  private final SplittableRandom random;
  private Copies copies;
  private int sentCopies;
  private int acceptedConnections;

  /**
   * Creates a link without copies.
   *
   * @param latencyMillis the time that a byte takes in one direction
   */
  public ServerLink(int latencyMillis, long seed) {
    this.latencyMillis = latencyMillis;
    this.random = new SplittableRandom(seed);
  }

  /** Sends copies from now on; null ends them. */
  public void setCopies(Copies newCopies) {
    copies = newCopies;
  }

  /** The number of copies sent so far. */
  public int sentCopies() {
    return sentCopies;
  }

  /** The number of connections accepted so far. */
  public int acceptedConnections() {
    return acceptedConnections;
  }

  @Override
  public void accept(Channel channel) {
    acceptedConnections++;
    channel.pipeline().addLast(new Delay());
  }

  private final class Delay extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      delay(ctx, latencyMillis, () -> ctx.fireChannelRead(message));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      delay(ctx, latencyMillis, ctx::fireChannelInactive);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ByteBuf reply = (ByteBuf) message;
      if (copies != null && isCopied(reply)) {
        ByteBuf copy = reply.copy();
        int copyDelayMillis = random.nextInt(copies.minDelayMillis(), copies.maxDelayMillis() + 1);
        delay(ctx, latencyMillis + copyDelayMillis, () -> sendCopy(ctx, copy));
      }
      delay(ctx, latencyMillis, () -> ctx.writeAndFlush(reply, promise));
    }

    private boolean isCopied(ByteBuf reply) {
      return reply.toString(StandardCharsets.ISO_8859_1).startsWith(copies.replyPrefix())
          && random.nextDouble() < copies.share();
    }

    private void sendCopy(ChannelHandlerContext ctx, ByteBuf copy) {
      sentCopies++;
      ctx.writeAndFlush(copy);
    }

    @Override
    public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
      delay(ctx, latencyMillis, () -> ctx.close(promise));
    }

    private void delay(ChannelHandlerContext ctx, int delayMillis, Runnable task) {
      ctx.executor().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }
  }
}
