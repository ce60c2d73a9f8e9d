package shalepaddle.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * The one connection to another member on which this one speaks. It is opened when there is
 * something to say, and again, later each time, where it broke; what is said meanwhile is lost, as
 * any message may be. All on one event loop.
 */
final class PeerConnection {
  private static final int CONNECT_MILLIS = 1000;
  private static final long FIRST_WAIT_MILLIS = 20;
  private static final long MOST_WAIT_MILLIS = 500;

  /** Bytes that wait to go out; what comes beyond is lost. */
  private static final int MOST_WAITING = 8 << 20;

  /** A connection that takes nothing for so long is given up. */
  private static final long STALLED_NANOS = 2_000_000_000L;

  /** Questions that wait for their answer at most. */
  private static final int MOST_ASKED = 1024;

  private final EventLoop loop;
  private final ControlMessages.Hello hello;
  private final Map<Long, CompletableFuture<byte[]>> asked = new HashMap<>();
  private InetSocketAddress address;
  private Channel channel;
  private boolean connecting;
  private long wait = FIRST_WAIT_MILLIS;
  private long notBefore;
  private long blockedSince;
  private long number;
  private boolean closed;

  PeerConnection(EventLoop loop, InetSocketAddress address, ControlMessages.Hello hello) {
    this.loop = loop;
    this.address = address;
    this.hello = hello;
  }

  /** It is to be found there from now on. */
  void at(InetSocketAddress now) {
    if (!now.equals(address)) {
      address = now;
      notBefore = 0;
      if (channel != null) {
        channel.close();
      }
    }
  }

  /** Sends a message if that can be done at once, and else tries to come to where it can. */
  void send(Frame frame) {
    if (up()) {
      channel.writeAndFlush(frame.write(channel.alloc()), channel.voidPromise());
    }
  }

  /** Asks, and fails at once where nobody can be asked. */
  CompletableFuture<byte[]> ask(String what, byte[] body, long millis) {
    CompletableFuture<byte[]> answer = new CompletableFuture<>();
    if (!up() || asked.size() >= MOST_ASKED) {
      answer.completeExceptionally(new IOException("no connection to " + address));
      return answer;
    }
    long own = ++number;
    asked.put(own, answer);
    answer.whenComplete((done, cause) -> loop.execute(() -> asked.remove(own)));
    loop.schedule(
        () -> answer.completeExceptionally(new IOException("no answer from " + address)),
        millis,
        TimeUnit.MILLISECONDS);
    send(new Frame(Frame.Kind.ASK, new ControlMessages.Said(own, what, body).bytes()));
    return answer;
  }

  private boolean up() {
    if (closed) {
      return false;
    }
    long now = System.nanoTime();
    if (channel != null && channel.isActive()) {
      if (channel.isWritable()) {
        blockedSince = 0;
        return true;
      }
      // Nothing is read at the other end, or nothing comes through.
      blockedSince = blockedSince == 0 ? now : blockedSince;
      if (now - blockedSince > STALLED_NANOS) {
        channel.close();
      }
      return false;
    }
    if (!connecting && (notBefore == 0 || now - notBefore >= 0)) {
      connect();
    }
    return channel != null && channel.isActive();
  }

  private void connect() {
    connecting = true;
    ChannelFuture opened =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(MOST_WAITING / 2, MOST_WAITING))
            .handler(
                new ChannelInitializer<>() {
                  @Override
                  protected void initChannel(Channel made) {
                    made.pipeline().addLast(new Frame.Decoder(), new Answers());
                  }
                })
            .connect(address);
    opened.addListener(
        done -> {
          connecting = false;
          if (!done.isSuccess() || closed) {
            opened.channel().close();
            later();
            return;
          }
          channel = opened.channel();
          blockedSince = 0;
          wait = FIRST_WAIT_MILLIS;
          channel.closeFuture().addListener(gone -> lost());
          channel.writeAndFlush(new Frame(Frame.Kind.HELLO, hello.bytes()).write(channel.alloc()));
        });
  }

  private void later() {
    notBefore = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait);
    wait = Math.min(MOST_WAIT_MILLIS, 2 * wait);
  }

  private void lost() {
    channel = null;
    later();
    for (CompletableFuture<byte[]> answer : Map.copyOf(asked).values()) {
      answer.completeExceptionally(new IOException("the connection to " + address + " broke"));
    }
  }

  void close() {
    closed = true;
    if (channel != null) {
      channel.close();
    }
  }

  private final class Answers extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) throws IOException {
      if (frame.kind() != Frame.Kind.ANSWER) {
        throw new IOException("only answers come back");
      }
      ControlMessages.Said said = ControlMessages.Said.of(frame.body());
      CompletableFuture<byte[]> answer = asked.get(said.number());
      if (answer == null) {
        return;
      }
      if (said.what().isEmpty()) {
        answer.complete(said.body());
      } else {
        answer.completeExceptionally(new HandshakeRejectedException(said.what()));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
