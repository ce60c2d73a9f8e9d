package shalepaddle.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.internal.PlatformDependent;
import java.nio.channels.ServerSocketChannel;
import shalepaddle.front.ClientListener;
import shalepaddle.sockets.TcpConnection;

/** How a node opens connections and accepts them: over sockets, or within one process. */
public interface Transport {
  /** Where buffers come from. */
  ByteBufAllocator allocator();

  /** The part of the memory outside of the heap that buffers in use take, NaN if unknown. */
  default double bufferMemoryRatio() {
    return Double.NaN;
  }

  /** Bytes that buffers may take in all. */
  default long maxBufferBytes() {
    return Long.MAX_VALUE;
  }

  /** Gives back memory that is kept for buffers to come, as far as that can be told. */
  default void releaseCachedBuffers() {}

  /** Opens connections to cache servers and to discovery. */
  Bootstrap connector(EventLoop loop);

  /** Accepts clients; the caller says what is done with each connection. */
  ServerBootstrap acceptor(EventLoop loop);

  /** Accepts clients from a socket that listens already, and is to be registered, not bound. */
  default ServerBootstrap acceptor(EventLoop loop, ServerSocketChannel listening) {
    throw new UnsupportedOperationException("no sockets here");
  }

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
      public double bufferMemoryRatio() {
        return (double) allocator.pinnedDirectMemory() / PlatformDependent.maxDirectMemory();
      }

      @Override
      public long maxBufferBytes() {
        return PlatformDependent.maxDirectMemory();
      }

      @Override
      public void releaseCachedBuffers() {
        allocator.trimCurrentThreadCache();
      }

      @Override
      public Bootstrap connector(EventLoop loop) {
        return new Bootstrap()
            .group(loop)
            .channel(TcpConnection.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(64, 2048, 32768))
            // Connections that do not come up are given up by Timers.limit, which minds pauses.
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
      }

      @Override
      public ServerBootstrap acceptor(EventLoop loop) {
        return acceptor(loop, ClientListener::new);
      }

      @Override
      public ServerBootstrap acceptor(EventLoop loop, ServerSocketChannel listening) {
        return acceptor(loop, () -> new ClientListener(listening));
      }

      private ServerBootstrap acceptor(EventLoop loop, ChannelFactory<ClientListener> listener) {
        return new ServerBootstrap()
            .group(loop)
            .channelFactory(listener)
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
