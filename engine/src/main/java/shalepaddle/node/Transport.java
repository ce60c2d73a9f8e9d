package shalepaddle.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.nio.channels.ServerSocketChannel;
import shalepaddle.sockets.SendQueues;

/** Opens and accepts a node's connections, over sockets or within one process. */
public interface Transport {
  /** The allocator of all buffers. */
  ByteBufAllocator allocator();

  /** The fraction of direct memory that buffers in use occupy, from 0 to 1; NaN if unknown. */
  default double bufferMemoryRatio() {
    return Double.NaN;
  }

  /** The maximum number of bytes that all buffers together may occupy. */
  default long maxBufferBytes() {
    return Long.MAX_VALUE;
  }

  /** Releases as much as possible of the memory that the allocator caches for later buffers. */
  default void releaseCachedBuffers() {}

  /** What has not arrived at the peers of connections. */
  default SendQueues sendQueues() {
    return SendQueues.NONE;
  }

  /** A bootstrap for connections to cache servers and to discovery. */
  Bootstrap connector(EventLoop loop);

  /** A bootstrap that accepts clients; the caller sets the handler of their connections. */
  ServerBootstrap acceptor(EventLoop loop);

  /**
   * A bootstrap that accepts clients from a listening socket; the bootstrap is to be registered,
   * not bound.
   *
   * @throws UnsupportedOperationException if this transport has no sockets
   */
  default ServerBootstrap acceptor(EventLoop loop, ServerSocketChannel listeningSocket) {
    throw new UnsupportedOperationException("this transport has no sockets");
  }

  /** A transport of TCP sockets on the Java platform's selector. */
  static Transport sockets() {
    return new SocketTransport();
  }
}
