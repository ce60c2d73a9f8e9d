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
import shalepaddle.sockets.KernelSendQueues;
import shalepaddle.sockets.SendQueues;
import shalepaddle.sockets.TcpConnection;

/** TCP sockets on the Java platform's selector, with one pool of direct buffers. Thread-safe. */
final class SocketTransport implements Transport {
  /**
   * Several times the largest segment. With room for one alone, the kernel announces a window that
   * has opened again only when its peer probes it, and a client's close arrives as late.
   */
  private static final int CLIENT_RECEIVE_BUFFER_BYTES = 256 << 10;

  private final PooledByteBufAllocator allocator =
      new PooledByteBufAllocator(true, 0, 1, 8192, 6, 64, 16, true);

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
  public SendQueues sendQueues() {
    return KernelSendQueues.system();
  }

  @Override
  public Bootstrap connector(EventLoop loop) {
    return new Bootstrap()
        .group(loop)
        .channel(TcpConnection.class)
        .option(ChannelOption.ALLOCATOR, allocator)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(64, 2048, 32768))
        // Timers.limitConnect limits the time to connect instead, and does not count stalls.
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0);
  }

  @Override
  public ServerBootstrap acceptor(EventLoop loop) {
    return acceptor(loop, ClientListener::new);
  }

  @Override
  public ServerBootstrap acceptor(EventLoop loop, ServerSocketChannel listeningSocket) {
    return acceptor(loop, () -> new ClientListener(listeningSocket));
  }

  private ServerBootstrap acceptor(EventLoop loop, ChannelFactory<ClientListener> listenerFactory) {
    return new ServerBootstrap()
        .group(loop)
        .channelFactory(listenerFactory)
        .option(ChannelOption.SO_BACKLOG, 1024)
        // Accepted connections inherit it.
        .option(ChannelOption.SO_RCVBUF, CLIENT_RECEIVE_BUFFER_BYTES)
        .childOption(ChannelOption.ALLOCATOR, allocator)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(512, 2048, 16384));
  }
}
