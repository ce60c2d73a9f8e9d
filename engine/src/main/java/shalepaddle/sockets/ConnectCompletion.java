package shalepaddle.sockets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/**
 * Handles the completion of connection attempts. If no socket could be opened, Netty completes the
 * future on another thread, possibly before the call that connects returns, and the channel has no
 * event loop and cannot be closed.
 */
public final class ConnectCompletion {
  private ConnectCompletion() {}

  /** Runs the step on the event loop once the connection is open or has failed. */
  public static void runWhenDone(
      ChannelFuture connectFuture, EventLoop loop, Consumer<ChannelFuture> step) {
    connectFuture.addListener(
        done -> {
          if (loop.inEventLoop()) {
            step.accept(connectFuture);
          } else {
            loop.execute(() -> step.accept(connectFuture));
          }
        });
  }

  /** Closes a channel. No effect if its socket could not be opened. */
  public static void close(Channel channel) {
    if (channel.isRegistered()) {
      channel.close();
    }
  }
}
