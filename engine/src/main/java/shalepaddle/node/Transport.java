package shalepaddle.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.nio.channels.ServerSocketChannel;

/** How a node opens connections and accepts them: over sockets, or within one process. */
public interface Transport {
  /** Allocates all buffers. */
  ByteBufAllocator allocator();

  /** The part of direct memory that buffers in use take, from 0 to 1; NaN if unknown. */
  default double bufferMemoryRatio() {
    return Double.NaN;
  }

  /** Bytes that buffers may take together. */
  default long maxBufferBytes() {
    return Long.MAX_VALUE;
  }

  /** Releases memory that is cached for later buffers, as far as the allocator can. */
  default void releaseCachedBuffers() {}

  /** Opens connections to cache servers and to discovery. */
  Bootstrap connector(EventLoop loop);

  /** Accepts clients; the caller sets the handler of connections. */
  ServerBootstrap acceptor(EventLoop loop);

  /**
   * Accepts clients from a socket that listens already: the bootstrap is to be registered, not
   * bound.
   *
   * @throws UnsupportedOperationException if this transport has no sockets
   */
  default ServerBootstrap acceptor(EventLoop loop, ServerSocketChannel listening) {
    throw new UnsupportedOperationException("this transport has no sockets");
  }

  /** TCP sockets by the Java platform's selector. */
  static Transport sockets() {
    return new SocketTransport();
  }
}
