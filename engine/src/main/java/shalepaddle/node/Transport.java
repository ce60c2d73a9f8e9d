package shalepaddle.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.internal.PlatformDependent;
import shalepaddle.front.ClientListener;

/** How a node opens connections and accepts them: over sockets, or within one process. */
public interface Transport {
  /** Where buffers come from. */
  ByteBufAllocator allocator();

  /** The part of the memory outside of the heap that buffers in use take, NaN if unknown. */
  default double memoryShare() {
    return Double.NaN;
  }

  /** Gives back memory that is kept for buffers to come, as far as that can be told. */
  default void trim() {}

  /** Opens connections to cache servers and to discovery. */
  Bootstrap connector(EventLoop loop);

  /** Accepts clients; the caller says what is done with each connection. */
  ServerBootstrap acceptor(EventLoop loop);

  /** TCP sockets by the selector of the Java platform. */
  static Transport sockets() {
    PooledByteBufAllocator allocator =
        new PooledByteBufAllocator(true, 0, 1, 8192, 6, 64, 16, true);
    return new Transport() {
      @Override
      public ByteBufAllocator allocator() {
        return allocator;
      }

      @Override
      public double memoryShare() {
        return (double) allocator.pinnedDirectMemory() / PlatformDependent.maxDirectMemory();
      }

      @Override
      public void trim() {
        allocator.trimCurrentThreadCache();
      }

      @Override
      public Bootstrap connector(EventLoop loop) {
        return new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            // Connections that do not come up are given up by Timers.limit, which minds pauses.
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
      }

      @Override
      public ServerBootstrap acceptor(EventLoop loop) {
        return new ServerBootstrap()
            .group(loop)
            .channelFactory(ClientListener::new)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(512, 2048, 16384));
      }
    };
  }
}
