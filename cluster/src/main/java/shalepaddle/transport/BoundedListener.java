package shalepaddle.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Accepts a bounded number of connections at an address, and closes connections beyond the bound.
 * The count of open connections is owned by the event loop.
 */
final class BoundedListener extends ChannelInitializer<Channel> {
  private final int maxConnections;
  private final Consumer<Channel> onAccepted;
  private int openConnections;

  private BoundedListener(int maxConnections, Consumer<Channel> onAccepted) {
    this.maxConnections = maxConnections;
    this.onAccepted = onAccepted;
  }

  /**
   * Starts to listen. Blocks until the address is bound.
   *
   * @param loops an event loop group of one thread, which is shut down if the address cannot be
   *     bound
   * @param purpose who connects to the address, for the error message
   * @param maxConnections the maximum number of open connections
   * @param onAccepted receives each accepted connection, on the event loop
   * @return the listening channel
   * @throws IOException if the address cannot be bound
   */
  static Channel listen(
      MultiThreadIoEventLoopGroup loops,
      InetSocketAddress address,
      String purpose,
      int maxConnections,
      Consumer<Channel> onAccepted)
      throws IOException {
    ChannelFuture bindFuture =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new BoundedListener(maxConnections, onAccepted))
            .bind(address)
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      throw new IOException(
          "cannot listen on %s for %s: %s"
              .formatted(address, purpose, bindFuture.cause().getMessage()),
          bindFuture.cause());
    }
    return bindFuture.channel();
  }

  @Override
  protected void initChannel(Channel acceptedChannel) {
    if (openConnections >= maxConnections) {
      acceptedChannel.close();
      return;
    }
    openConnections++;
    acceptedChannel.closeFuture().addListener(closed -> openConnections--);
    onAccepted.accept(acceptedChannel);
  }
}
