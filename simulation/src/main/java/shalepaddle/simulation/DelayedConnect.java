package shalepaddle.simulation;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Delays the connect of a channel. Closing the channel before the delay has passed cancels the
 * connect.
 */
final class DelayedConnect extends ChannelDuplexHandler {
  private final long delayMillis;
  private ScheduledFuture<?> pendingConnect;
  private ChannelPromise connectPromise;

  DelayedConnect(long delayMillis) {
    this.delayMillis = delayMillis;
  }

  @Override
  public void connect(
      ChannelHandlerContext ctx,
      SocketAddress remoteAddress,
      SocketAddress localAddress,
      ChannelPromise promise) {
    connectPromise = promise;
    pendingConnect =
        ctx.executor()
            .schedule(
                () -> ctx.connect(remoteAddress, localAddress, promise),
                delayMillis,
                TimeUnit.MILLISECONDS);
  }

  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    if (pendingConnect != null && pendingConnect.cancel(false)) {
      connectPromise.tryFailure(new ClosedChannelException());
    }
    ctx.close(promise);
  }
}
