package shalepaddle.benchmarks;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * The least that a proxy on Netty can do: one event loop, a connection to a server for each of a
 * client's, bytes passed on unread. What a load balancer is measured against.
 */
final class Relay {
  private Relay() {}

  /** Listens on the first port and passes on to the others in turn; never returns. */
  public static void main(String[] ports) throws InterruptedException {
    var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    int[] next = {1};
    new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.AUTO_READ, false)
        .childHandler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel client) {
                int port = Integer.parseInt(ports[next[0]]);
                next[0] = next[0] % (ports.length - 1) + 1;
                connect(client, port);
              }
            })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(ports[0])))
        .sync()
        .channel()
        .closeFuture()
        .sync();
  }

  private static void connect(Channel client, int port) {
    Pass back = new Pass(client);
    var connected =
        new Bootstrap()
            .group(client.eventLoop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(back)
            .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    client.pipeline().addLast(new Pass(connected.channel()));
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            client.config().setAutoRead(true);
          } else {
            client.close();
          }
        });
  }

  /** Passes on what it reads. */
  private static final class Pass extends ChannelInboundHandlerAdapter {
    private final Channel to;

    Pass(Channel to) {
      this.to = to;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
      to.write(bytes, to.voidPromise());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Either end may go as it likes.
      ctx.close();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      to.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      to.close();
    }
  }
}
