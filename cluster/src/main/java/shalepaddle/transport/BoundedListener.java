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
 * Accepts a bounded number of connections at an address, and closes those beyond it. Its state is
 * owned by the event loop.
 */
final class BoundedListener extends ChannelInitializer<Channel> {
  private final int maxConnections;
  private final Consumer<Channel> onAccepted;
  private int connections;

  private BoundedListener(int maxConnections, Consumer<Channel> onAccepted) {
    this.maxConnections = maxConnections;
    this.onAccepted = onAccepted;
  }

  /**
   * Listens. Blocks until it does.
   *
   * @param loops of one thread; shut down if this fails
   * @param purpose for whom it listens, for messages
   * @param onAccepted is given each connection, on that thread
   * @return the listening channel
   * @throws IOException if it can't listen at the address
   */
  static Channel listen(
      MultiThreadIoEventLoopGroup loops,
      InetSocketAddress address,
      String purpose,
      int maxConnections,
      Consumer<Channel> onAccepted)
      throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new BoundedListener(maxConnections, onAccepted))
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      throw new IOException(
          "cannot listen on %s for %s: %s".formatted(address, purpose, bound.cause().getMessage()),
          bound.cause());
    }
    return bound.channel();
  }

  @Override
  protected void initChannel(Channel accepted) {
    if (connections >= maxConnections) {
      accepted.close();
      return;
    }
    connections++;
    accepted.closeFuture().addListener(closed -> connections--);
    onAccepted.accept(accepted);
  }
}
