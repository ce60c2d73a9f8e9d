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
 * The admin server: HTTP/1.1 with one request per connection, on a separate event loop and thread,
 * so that a flood of client requests never delays a response.
 *
 * <p>Limits the number of connections, and the size and duration of a request. If {@link
 * #MAX_CONNECTIONS} are open, a new connection closes the oldest one whose request is incomplete,
 * or the oldest of all if there is none, so that silent callers cannot block others. Cost: with
 * more concurrent callers than {@link #MAX_CONNECTIONS}, a connection in use is closed.
 */
public final class AdminServer implements AutoCloseable {
  static final int MAX_CONNECTIONS = 16;

  /** The maximum duration of a connection, from its accept to the end of the response. */
  static final long MAX_CONNECTION_MILLIS = 5000;

  /** The time limit for a command on the node's event loop; a response is due within 1 s. */
  static final long COMMAND_TIMEOUT_MILLIS = 800;

  private static final int MAX_LINE_BYTES = 1024;
  private static final int MAX_HEADER_BYTES = 4096;
  private static final int MAX_CHUNK_BYTES = 4096;

  private final MultiThreadIoEventLoopGroup group;
  private final AdminOperations operations;
  private final Channel listener;

  /** Connections without a complete request, the oldest first. */
  private final Set<Channel> callersSendingRequest = new LinkedHashSet<>();

  /** Connections with a complete request, the oldest first. */
  private final Set<Channel> callersAwaitingResponse = new LinkedHashSet<>();

  /**
   * Opens the server.
   *
   * @param operations the operations that requests call
   * @throws IOException if the server cannot listen at the address, which the message names
   */
  public AdminServer(
      InetSocketAddress address, ByteBufAllocator allocator, AdminOperations operations)
      throws IOException, InterruptedException {
    this.operations = operations;
    group =
        new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("admin-server", true), NioIoHandler.newFactory());
    ChannelFuture bindFuture =
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
    listener = bindFuture.channel();
    if (!bindFuture.isSuccess()) {
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      throw new IOException(
          "cannot listen on " + address + " for management: " + bindFuture.cause().getMessage());
    }
  }

  /** The address on which the server listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  private void accept(Channel caller) {
    if (callersSendingRequest.size() + callersAwaitingResponse.size() >= MAX_CONNECTIONS) {
      Set<Channel> evictableCallers =
          callersSendingRequest.isEmpty() ? callersAwaitingResponse : callersSendingRequest;
      Channel oldestCaller = evictableCallers.iterator().next();
      evictableCallers.remove(oldestCaller);
      oldestCaller.close();
    }
    callersSendingRequest.add(caller);
    caller
        .closeFuture()
        .addListener(
            closed -> {
              callersSendingRequest.remove(caller);
              callersAwaitingResponse.remove(caller);
            });
    caller
        .pipeline()
        .addLast(
            new HttpServerCodec(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
            new AdminRequestHandler(this, operations));
    caller.eventLoop().schedule(() -> caller.close(), MAX_CONNECTION_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Records that the request of this connection is complete. */
  void markRequestComplete(Channel caller) {
    if (callersSendingRequest.remove(caller)) {
      callersAwaitingResponse.add(caller);
    }
  }

  /** Closes the server and all connections, and waits for its event loop to end. */
  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
