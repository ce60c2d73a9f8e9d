package shalepaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import shalepaddle.codec.meta.MetaClientCodec;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.front.ClientCommand;
import shalepaddle.front.RequestAdmission;
import shalepaddle.model.Settings;

/** Answers every command of a {@link Warmup} like a cache server that has all keys cached. */
final class WarmupCacheServer extends ChannelInitializer<Channel> {
  private final MetaClientCodec codec;

  WarmupCacheServer(Settings settings, int valueMemoryBytes) {
    codec =
        new MetaClientCodec(
            new MemoryBudget(valueMemoryBytes), settings, RequestAdmission.ADMIT_ALL);
  }

  @Override
  protected void initChannel(Channel channel) {
    channel.pipeline().addLast(codec.decoder(), new CommandHandler());
  }

  /** Responds after the current call, for the reason stated at {@link WarmupClient#writeLater}. */
  private static final class CommandHandler extends SimpleChannelInboundHandler<ClientCommand> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ClientCommand command) {
      String id = command.request().id();
      boolean isWrite = command.request().isWrite();
      ByteBuf reply = ctx.alloc().buffer();
      ByteBufUtil.writeAscii(
          reply, isWrite ? "HD O" + id + " c1\r\n" : "VA 8 O" + id + " h1\r\nwarm-up!\r\n");
      command.release();
      WarmupClient.writeLater(ctx, reply);
    }
  }
}
