package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The network between load balancers and a {@link StandInServer}: every byte takes a fixed time in
 * either direction, some replies arrive a second time later, and some bear the id of another
 * request. Pass it to {@link LoopbackTransport#sockets(io.netty.channel.EventLoop, Consumer)} as
 * the interceptor of accepted connections. All methods are called on the transport's event loop.
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

  /** Whose id a reply with a wrong id bears. */
  public enum OtherId {
    /** The oldest request that waits behind on the connection; an unknown one if there is none. */
    NEXT,
    /** The request that was answered last on the connection; an unknown one if there is none. */
    PREVIOUS
  }

  /**
   * Which replies bear the id of another request.
   *
   * @param share share of the served replies that do
   * @param endsReplies whether nothing more is sent on the connection after such a reply
   */
  public record WrongIds(double share, OtherId otherId, boolean endsReplies) {}

  private static final Pattern REQUEST_ID = Pattern.compile(" O([0-9A-Za-z]+)");
  private static final String NO_OP_REPLY = "MN";
  private static final String UNKNOWN_ID = "0123456789abcdef";

  private final int latencyMillis;
  private final SplittableRandom random;
  private Copies copies;
  private WrongIds wrongIds;
  private int sentWrongIds;
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

  /** Sends wrong ids from now on; null ends them. */
  public void setWrongIds(WrongIds newWrongIds) {
    wrongIds = newWrongIds;
  }

  /** The number of replies with a wrong id sent so far. */
  public int sentWrongIds() {
    return sentWrongIds;
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
    /** The ids of the requests that the server has and has not answered, oldest first. */
    private final ArrayDeque<String> waitingIds = new ArrayDeque<>();

    private String previousId = UNKNOWN_ID;
    private boolean hasEndedReplies;

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      delay(ctx, latencyMillis, () -> requestArrived(ctx, (ByteBuf) message));
    }

    private void requestArrived(ChannelHandlerContext ctx, ByteBuf bytes) {
      Matcher matcher = REQUEST_ID.matcher(bytes.toString(StandardCharsets.ISO_8859_1));
      while (matcher.find()) {
        waitingIds.add(matcher.group(1));
      }
      ctx.fireChannelRead(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      delay(ctx, latencyMillis, ctx::fireChannelInactive);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ByteBuf reply = (ByteBuf) message;
      if (hasEndedReplies) {
        reply.release();
        promise.setSuccess();
        return;
      }
      if (!reply.toString(StandardCharsets.ISO_8859_1).startsWith(NO_OP_REPLY)) {
        reply = withDrawnId(ctx, reply, waitingIds.poll());
      }
      send(ctx, reply, promise);
    }

    /** Returns the reply, or takes its ownership and returns another one with a wrong id. */
    private ByteBuf withDrawnId(ChannelHandlerContext ctx, ByteBuf reply, String id) {
      String text = reply.toString(StandardCharsets.ISO_8859_1);
      boolean isServed = text.startsWith("HD ") || text.startsWith("VA ");
      if (wrongIds == null || !isServed || random.nextDouble() >= wrongIds.share()) {
        previousId = id == null ? UNKNOWN_ID : id;
        return reply;
      }
      sentWrongIds++;
      hasEndedReplies = wrongIds.endsReplies();
      String nextId = waitingIds.isEmpty() ? UNKNOWN_ID : waitingIds.peek();
      String otherId = wrongIds.otherId() == OtherId.NEXT ? nextId : previousId;
      reply.release();
      ByteBuf changedReply = ctx.alloc().buffer();
      changedReply.writeCharSequence(
          text.replaceFirst("O" + id, "O" + otherId), StandardCharsets.ISO_8859_1);
      return changedReply;
    }

    private void send(ChannelHandlerContext ctx, ByteBuf reply, ChannelPromise promise) {
      if (copies != null && isCopied(reply)) {
        ByteBuf copy = reply.copy();
        int copyDelayMillis = random.nextInt(copies.minDelayMillis(), copies.maxDelayMillis() + 1);
        delay(ctx, latencyMillis + copyDelayMillis, () -> sendCopy(ctx, copy));
      }
      delay(ctx, latencyMillis, () -> ctx.writeAndFlush(reply, promise));
    }

    /** A no-op's reply is copied only if nothing waits behind it, as servers do by the protocol. */
    private boolean isCopied(ByteBuf reply) {
      String text = reply.toString(StandardCharsets.ISO_8859_1);
      return text.startsWith(copies.replyPrefix())
          && !(text.startsWith(NO_OP_REPLY) && !waitingIds.isEmpty())
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
