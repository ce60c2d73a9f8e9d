package shalepaddle.sockets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/**
 * The completion of a connection attempt. Where no socket could be opened, the transport completes
 * it on a thread of its own, perhaps before the call that connects has returned, and its channel
 * has no event loop and cannot be closed.
 */
public final class ConnectCompletion {
  private ConnectCompletion() {}

  /** Runs the step on the event loop once the connection is open or has failed. */
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

  /** Closes a channel; without effect if its socket could not be opened. */
  public static void close(Channel channel) {
    if (channel.isRegistered()) {
      channel.close();
    }
  }
}
