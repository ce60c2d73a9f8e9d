package shalepaddle.testkit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.function.BooleanSupplier;

/**
 * Buffers incoming data while a {@link StandInServer} is unresponsive. This is necessary because an
 * in-process channel reads once more after auto-read is turned off.
 */
final class InboundBuffer extends ChannelInboundHandlerAdapter {
  private final BooleanSupplier isUnresponsive;
  private final ArrayDeque<Object> bufferedMessages = new ArrayDeque<>();

  InboundBuffer(BooleanSupplier isUnresponsive) {
    this.isUnresponsive = isUnresponsive;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (isUnresponsive.getAsBoolean()) {
      bufferedMessages.add(message);
    } else {
      deliverBufferedData(ctx);
      ctx.fireChannelRead(message);
    }
  }

  /** Passes the buffered data to the next handler, in the order of arrival. */
  void deliverBufferedData(ChannelHandlerContext ctx) {
    for (Object message = bufferedMessages.poll();
        message != null;
        message = bufferedMessages.poll()) {
      ctx.fireChannelRead(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    bufferedMessages.forEach(ReferenceCountUtil::release);
    bufferedMessages.clear();
    ctx.fireChannelInactive();
  }
}
