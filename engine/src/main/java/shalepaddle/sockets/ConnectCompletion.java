package shalepaddle.sockets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/**
 * What a connection that is on its way comes to. Where the socket itself could not be had, the
 * transport tells that on a thread of its own, perhaps before the call that connects has returned,
 * and of a channel that has no event loop and can't be closed.
 */
public final class ConnectCompletion {
  private ConnectCompletion() {}

  /** Runs the step on the event loop once the connection has come up or failed. */
  public static void whenDone(
      ChannelFuture connecting, EventLoop loop, Consumer<ChannelFuture> step) {
    connecting.addListener(
        done -> {
          if (loop.inEventLoop()) {
            step.accept(connecting);
          } else {
            loop.execute(() -> step.accept(connecting));
          }
        });
  }

  /** Closes a channel, or nothing if its socket could not be had. */
  public static void close(Channel channel) {
    if (channel.isRegistered()) {
      channel.close();
    }
  }
}
