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
 * The admin server: HTTP/1.1, one request to a connection, on an event loop and a thread of its
 * own, so that a flood of client requests never delays a response.
 *
 * <p>Bounded in connections, in the bytes of a request, and in its time. Past {@link
 * #MAX_CONNECTIONS} the connection that has waited longest for its complete request is closed, so
 * that silent callers cannot block others. Cost: with more callers than that in the middle of a
 * request, one of them is closed.
 */
public final class AdminServer implements AutoCloseable {
  static final int MAX_CONNECTIONS = 16;

  /** How long a connection lasts, from its begin to the end of the response. */
  static final long CONNECTION_MILLIS = 5000;

  /** How long the node's event loop has for a command; a response is due within a second. */
  static final long COMMAND_MILLIS = 800;

  private static final int MAX_LINE_BYTES = 1024;
  private static final int MAX_HEADER_BYTES = 4096;
  private static final int MAX_CHUNK_BYTES = 4096;

  private final MultiThreadIoEventLoopGroup group;
  private final AdminOperations operations;
  private final Channel listener;

  /** Connections without a complete request, the oldest first. */
  private final Set<Channel> incomplete = new LinkedHashSet<>();

  /** Connections with a complete request, the oldest first. */
  private final Set<Channel> complete = new LinkedHashSet<>();

  /**
   * Opens the server.
   *
   * @param operations what its requests call
   * @throws IOException if it cannot listen there, with the address
   */
  public AdminServer(
      InetSocketAddress address, ByteBufAllocator allocator, AdminOperations operations)
      throws IOException, InterruptedException {
    this.operations = operations;
    group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("admin-server", true), NioIoHandler.newFactory());
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
                    accept(channel);
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

  private void accept(Channel caller) {
    if (incomplete.size() + complete.size() >= MAX_CONNECTIONS) {
      Set<Channel> evictable = incomplete.isEmpty() ? complete : incomplete;
      Channel oldest = evictable.iterator().next();
      evictable.remove(oldest);
      oldest.close();
    }
    incomplete.add(caller);
    caller
        .closeFuture()
        .addListener(
            closed -> {
              incomplete.remove(caller);
              complete.remove(caller);
            });
    caller
        .pipeline()
        .addLast(
            new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
            new AdminRequestHandler(this, operations));
    caller.eventLoop().schedule(() -> caller.close(), CONNECTION_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** The request of this connection is complete. */
  void requestComplete(Channel caller) {
    if (incomplete.remove(caller)) {
      complete.add(caller);
    }
  }

  /** Closes it with all connections; waits for its thread. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
