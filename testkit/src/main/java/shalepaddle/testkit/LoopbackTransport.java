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

/** How stand-ins reach others and are reached, and the event loop that they run on. */
public final class LoopbackTransport {
  /** Ports of local addresses: they are names and take none of the machine's. */
  private static final AtomicInteger NEXT_LOCAL = new AtomicInteger(10_000);

  private final EventLoop loop;
  private final ByteBufAllocator allocator;
  private final boolean local;
  private final Consumer<Channel> tap;

  private LoopbackTransport(
      EventLoop loop, ByteBufAllocator allocator, boolean local, Consumer<Channel> tap) {
    this.tap = tap;
    this.loop = loop;
    this.allocator = allocator;
    this.local = local;
  }

  /** Loopback sockets; the loop is one of the Java platform's selector. */
  public static LoopbackTransport sockets(EventLoop loop) {
    return new LoopbackTransport(loop, ByteBufAllocator.DEFAULT, false, channel -> {});
  }

  /**
   * Connections within this process. Addresses look like those of sockets, so that they can be
   * written into lists, and are names.
   *
   * @param allocator where all buffers come from, also those of the other end if that uses it
   */
  public static LoopbackTransport local(EventLoop loop, ByteBufAllocator allocator) {
    return local(loop, allocator, channel -> {});
  }

  /**
   * The same with somebody on the line: each new connection, opened or accepted, is shown to the
   * tap before anything is added to its pipeline. What the tap adds first sees bytes as the other
   * end sends them, and last what goes there.
   */
  public static LoopbackTransport local(
      EventLoop loop, ByteBufAllocator allocator, Consumer<Channel> tap) {
    return new LoopbackTransport(loop, allocator, true, tap);
  }

  /** The event loop that everything on this wire runs on. */
  public EventLoop loop() {
    return loop;
  }

  /** The loop's time in nanoseconds, from an arbitrary start. */
  public long now() {
    return loop.ticker().nanoTime();
  }

  /** Opens connections; an address may be one of a socket also where the wire is local. */
  public Bootstrap connector() {
    Bootstrap bootstrap = new Bootstrap().group(loop).option(ChannelOption.ALLOCATOR, allocator);
    return local
        ? bootstrap.channelFactory(() -> tapped(new LocalChannel())).resolver(new LocalResolvers())
        : bootstrap
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000);
  }

  /** Accepts connections; to be bound to an {@link #address}. */
  public ServerBootstrap acceptor() {
    ServerBootstrap bootstrap =
        new ServerBootstrap().group(loop).childOption(ChannelOption.ALLOCATOR, allocator);
    return local
        ? bootstrap.channelFactory(TappedServer::new)
        : bootstrap
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.TCP_NODELAY, true);
  }

  private LocalChannel tapped(LocalChannel channel) {
    tap.accept(channel);
    return channel;
  }

  private final class TappedServer extends LocalServerChannel {
    @Override
    protected LocalChannel newLocalChannel(LocalChannel peer) {
      return tapped(super.newLocalChannel(peer));
    }
  }

  /** Listens there, and shows each connection that is accepted before anything is read from it. */
  ChannelFuture listen(SocketAddress address, Consumer<Channel> accepted) {
    return acceptor()
        .childHandler(
            new ChannelInitializer<>() {
              @Override
              protected void initChannel(Channel channel) {
                accepted.accept(channel);
              }
            })
        .bind(address);
  }

  /** A new address to listen at. */
  public SocketAddress address() {
    return local
        ? new LocalAddress("127.0.0.1:" + NEXT_LOCAL.getAndIncrement())
        : new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  /** The address as lists have it. */
  public static String text(SocketAddress bound) {
    return bound instanceof LocalAddress name
        ? name.id()
        : "127.0.0.1:" + ((InetSocketAddress) bound).getPort();
  }

  /** Takes the address of a socket for the name of a local one. */
  private static final class LocalResolvers extends AddressResolverGroup<SocketAddress> {
    @Override
    protected AddressResolver<SocketAddress> newResolver(EventExecutor executor) {
      return new AbstractAddressResolver<>(executor, SocketAddress.class) {
        @Override
        protected boolean doIsResolved(SocketAddress address) {
          return address instanceof LocalAddress;
        }

        @Override
        protected void doResolve(SocketAddress address, Promise<SocketAddress> promise) {
          promise.setSuccess(new LocalAddress(text(address)));
        }

        @Override
        protected void doResolveAll(SocketAddress address, Promise<List<SocketAddress>> promise) {
          promise.setSuccess(List.of(new LocalAddress(text(address))));
        }
      };
    }
  }
}
