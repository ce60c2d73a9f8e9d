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
 * What comes to an address, so many connections at once; of those that come then, none is taken.
 */
final class BoundedListener extends ChannelInitializer<Channel> {
  private final int most;
  private final Consumer<Channel> taken;
  private int open;

  private BoundedListener(int most, Consumer<Channel> taken) {
    this.most = most;
    this.taken = taken;
  }

  /**
   * Listens.
   *
   * @param loops of one thread, which is ended where this fails
   * @param whom it listens for, in words
   * @param taken is given each connection that is taken, on that thread
   * @throws IOException if it can not listen there
   */
  static Channel at(
      MultiThreadIoEventLoopGroup loops,
      InetSocketAddress address,
      String whom,
      int most,
      Consumer<Channel> taken)
      throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new BoundedListener(most, taken))
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      throw new IOException(
          "cannot listen on " + address + " for " + whom + ": " + bound.cause().getMessage());
    }
    return bound.channel();
  }

  @Override
  protected void initChannel(Channel made) {
    if (open >= most) {
      made.close();
      return;
    }
    open++;
    made.closeFuture().addListener(gone -> open--);
    taken.accept(made);
  }
}
