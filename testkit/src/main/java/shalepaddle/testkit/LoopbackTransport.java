package shalepaddle.testkit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.resolver.AbstractAddressResolver;
import io.netty.resolver.AddressResolver;
import io.netty.resolver.AddressResolverGroup;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Promise;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Opens and accepts the connections of stand-ins, and has the event loop that they run on. */
public final class LoopbackTransport {
  /**
   * Next port number for an in-process address. The address is only a name and uses no real port.
   */
  private static final AtomicInteger NEXT_LOCAL_PORT = new AtomicInteger(10_000);

  private final EventLoop loop;
  private final ByteBufAllocator allocator;
  private final boolean inProcess;
  private final Consumer<Channel> interceptor;

  private LoopbackTransport(
      EventLoop loop,
      ByteBufAllocator allocator,
      boolean inProcess,
      Consumer<Channel> interceptor) {
    this.interceptor = interceptor;
    this.loop = loop;
    this.allocator = allocator;
    this.inProcess = inProcess;
  }

  /** Creates a transport over loopback sockets; its event loop must be one for NIO. */
  public static LoopbackTransport sockets(EventLoop loop) {
    return sockets(loop, channel -> {});
  }

  /**
   * Creates a transport over loopback sockets with an interceptor. Each accepted connection is
   * passed to the interceptor before any other handler is in the pipeline.
   */
  public static LoopbackTransport sockets(EventLoop loop, Consumer<Channel> interceptor) {
    return new LoopbackTransport(loop, ByteBufAllocator.DEFAULT, false, interceptor);
  }

  /**
   * Creates a transport over in-process connections. Their addresses are names that look like
   * socket addresses, so that they can be written into endpoint lists.
   *
   * @param allocator allocates all buffers of this end of the connections
   */
  public static LoopbackTransport local(EventLoop loop, ByteBufAllocator allocator) {
    return local(loop, allocator, channel -> {});
  }

  /**
   * Creates a transport over in-process connections with an interceptor. Each new connection, both
   * opened and accepted, is passed to the interceptor before any other handler is in the pipeline.
   * A handler that the interceptor adds at the start of the pipeline sees inbound bytes as the
   * other end sent them, and is the last one to see outbound bytes.
   */
  public static LoopbackTransport local(
      EventLoop loop, ByteBufAllocator allocator, Consumer<Channel> interceptor) {
    return new LoopbackTransport(loop, allocator, true, interceptor);
  }

  /** The event loop that everything on this transport runs on. */
  public EventLoop loop() {
    return loop;
  }

  /** The event loop's time in nanoseconds, from an arbitrary start. */
  public long nowNanos() {
    return loop.ticker().nanoTime();
  }

  /**
   * A bootstrap that opens connections. Also if the transport is in-process, the bootstrap accepts
   * socket addresses.
   */
  public Bootstrap connector() {
    Bootstrap bootstrap = new Bootstrap().group(loop).option(ChannelOption.ALLOCATOR, allocator);
    return inProcess
        ? bootstrap
            .channelFactory(() -> intercept(new LocalChannel()))
            .resolver(new LocalAddressResolverGroup())
        : bootstrap
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000);
  }

  /** A bootstrap that accepts connections; bind it to an {@link #newAddress}. */
  public ServerBootstrap acceptor() {
    ServerBootstrap bootstrap =
        new ServerBootstrap().group(loop).childOption(ChannelOption.ALLOCATOR, allocator);
    return inProcess
        ? bootstrap.channelFactory(InterceptedServerChannel::new)
        : bootstrap
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.TCP_NODELAY, true);
  }

  private LocalChannel intercept(LocalChannel channel) {
    interceptor.accept(channel);
    return channel;
  }

  private final class InterceptedServerChannel extends LocalServerChannel {
    @Override
    protected LocalChannel newLocalChannel(LocalChannel peer) {
      return intercept(super.newLocalChannel(peer));
    }
  }

  /**
   * Listens on the address, and passes each accepted connection to {@code onAccept} before anything
   * is read from the connection.
   */
  ChannelFuture listen(SocketAddress address, Consumer<Channel> onAccept) {
    return acceptor()
        .childHandler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                if (!inProcess) {
                  interceptor.accept(channel);
                }
                onAccept.accept(channel);
              }
            })
        .bind(address);
  }

  /** An address to listen on: a new name in-process, an ephemeral port with sockets. */
  public SocketAddress newAddress() {
    return inProcess
        ? new LocalAddress("127.0.0.1:" + NEXT_LOCAL_PORT.getAndIncrement())
        : new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  /** The address in the form used in endpoint lists. */
  public static String addressText(SocketAddress address) {
    return address instanceof LocalAddress name
        ? name.id()
        : "127.0.0.1:" + ((InetSocketAddress) address).getPort();
  }

  /** Resolves a socket address to the in-process address with the same text. */
  private static final class LocalAddressResolverGroup extends AddressResolverGroup<SocketAddress> {
    @Override
    protected AddressResolver<SocketAddress> newResolver(EventExecutor executor) {
      return new AbstractAddressResolver<>(executor, SocketAddress.class) {
        @Override
        protected boolean doIsResolved(SocketAddress address) {
          return address instanceof LocalAddress;
        }

        @Override
        protected void doResolve(SocketAddress address, Promise<SocketAddress> promise) {
          promise.setSuccess(new LocalAddress(addressText(address)));
        }

        @Override
        protected void doResolveAll(SocketAddress address, Promise<List<SocketAddress>> promise) {
          promise.setSuccess(List.of(new LocalAddress(addressText(address))));
        }
      };
    }
  }
}
