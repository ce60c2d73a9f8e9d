package shalepaddle.simulation;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** A connection that comes up late, or is given up before. */
final class DelayedConnect extends ChannelDuplexHandler {
  private final long millis;
  private ScheduledFuture<?> underWay;
  private ChannelPromise connected;

  DelayedConnect(long millis) {
    this.millis = millis;
  }

  @Override
  public void connect(
      ChannelHandlerContext ctx, SocketAddress remote, SocketAddress local, ChannelPromise done) {
    connected = done;
    underWay =
        ctx.executor()
            .schedule(() -> ctx.connect(remote, local, done), millis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise done) {
    if (underWay != null && underWay.cancel(false)) {
      connected.tryFailure(new ClosedChannelException());
    }
    ctx.close(done);
  }
}
