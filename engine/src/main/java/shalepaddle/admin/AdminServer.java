package shalepaddle.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import shalepaddle.sockets.TcpListener;

/**
 * The operators' door: HTTP/1.1, one call to a connection, on an event loop and a thread of its
 * own, so that a flood of requests never delays an answer.
 *
 * <p>Bounded in callers, in what each may send, and in the time that each has for it. Guards
 * against callers that hold a connection and say nothing: the one that has stood longest with no
 * whole call gives way to a new one. Could do harm where more than {@link #MOST_CALLERS} honest
 * callers are halfway through a call at once.
 */
public final class AdminServer implements AutoCloseable {
  static final int MOST_CALLERS = 16;

  /** How long a caller has for its whole call, and then for reading the answer. */
  static final long CALL_MILLIS = 5000;

  /** How long the request loop has for a command; an answer is owed within a second. */
  static final long COMMAND_MILLIS = 800;

  private static final int MAX_LINE = 1024;
  private static final int MAX_HEAD = 4096;
  private static final int MAX_CHUNK = 4096;

  private final MultiThreadIoEventLoopGroup group;
  private final AdminOperations operated;
  private final Channel listener;

  /** Callers with no whole call, longest first, and those that get their answer. */
  private final Set<Channel> incomplete = new LinkedHashSet<>();

  private final Set<Channel> answered = new LinkedHashSet<>();

  /**
   * Opens.
   *
   * @throws IOException if it can not listen there, with the address
   */
  public AdminServer(
      InetSocketAddress address, ByteBufAllocator allocator, AdminOperations operated)
      throws IOException, InterruptedException {
    this.operated = operated;
    group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("management", true), NioIoHandler.newFactory());
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(TcpListener.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, 64)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    admit(channel);
                  }
                })
            .bind(address)
            .await();
    listener = bound.channel();
    if (!bound.isSuccess()) {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      throw new IOException(
          "cannot listen on " + address + " for management: " + bound.cause().getMessage());
    }
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void admit(Channel caller) {
    if (incomplete.size() + answered.size() >= MOST_CALLERS) {
      Set<Channel> longest = incomplete.isEmpty() ? answered : incomplete;
      Channel first = longest.iterator().next();
      longest.remove(first);
      first.close();
    }
    incomplete.add(caller);
    caller
        .closeFuture()
        .addListener(
            closed -> {
              incomplete.remove(caller);
              answered.remove(caller);
            });
    caller
        .pipeline()
        .addLast(
            new HttpServerCodec(MAX_LINE, MAX_HEAD, MAX_CHUNK),
            new AdminRequestHandler(this, operated));
    caller.eventLoop().schedule(() -> caller.close(), CALL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** A whole call has come from there. */
  void requestComplete(Channel caller) {
    if (incomplete.remove(caller)) {
      answered.add(caller);
    }
  }

  /** Closes it, with all callers. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
