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
 * A minimal proxy on Netty, as the baseline for load balancers: it has one event loop, opens one
 * connection to a server for each client connection, and forwards bytes without parsing them.
 */
final class Relay {
  private Relay() {}

  /** Listens on the first port and forwards connections to the other ports in turn, forever. */
  public static void main(String[] ports) throws InterruptedException {
    var group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    int[] nextServerIndex = {1};
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
                int serverPort = Integer.parseInt(ports[nextServerIndex[0]]);
                nextServerIndex[0] = nextServerIndex[0] % (ports.length - 1) + 1;
                connectToServer(client, serverPort);
              }
            })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(ports[0])))
        .sync()
        .channel()
        .closeFuture()
        .sync();
  }

  private static void connectToServer(Channel client, int serverPort) {
    ForwardingHandler responseHandler = new ForwardingHandler(client);
    var connectFuture =
        new Bootstrap()
            .group(client.eventLoop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(responseHandler)
            .connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), serverPort));
    client.pipeline().addLast(new ForwardingHandler(connectFuture.channel()));
    connectFuture.addListener(
        done -> {
          if (done.isSuccess()) {
            client.config().setAutoRead(true);
          } else {
            client.close();
          }
        });
  }

  /** Forwards all bytes to the target channel, and closes the target when this channel closes. */
  private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private final Channel target;

    ForwardingHandler(Channel target) {
      this.target = target;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
      target.write(bytes, target.voidPromise());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // Either end may close its connection at any time.
      ctx.close();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      target.flush();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      target.close();
    }
  }
}
