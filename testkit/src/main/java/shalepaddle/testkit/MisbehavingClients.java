package shalepaddle.testkit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Clients that break the protocol, or make no use of their connection. Each is owed an error or a
 * close within 3 s, and never a value.
 */
public final class MisbehavingClients {
  private static final long PATIENCE_MILLIS = 3000;

  /** What they send, each on a connection of its own. */
  private static final List<String> SENDS =
      List.of(
          "",
          "x",
          "get key\r\n",
          "\u0000\u0001\u0002\u00ff\u00fe\r\n",
          "mg key v\r\n",
          "mg key v Orude1 Pc=nothing,d=100\r\n",
          "mg key v Orude2 Pc=read,d=soon\r\n",
          "mg " + "k".repeat(300) + " v Orude3 Pc=read,d=100\r\n",
          "ms key -5 Orude4 Pc=put,d=100\r\nvalue\r\n",
          "ms key 60000000 Orude5 Pc=put,d=100\r\n" + "x".repeat(5000),
          "ms key 5 Orude6 Pc=put,d=100\r\nvalueandmore\r\n",
          "ms key 5 Orude7 Pc=put,d=100\r\nva",
          "y".repeat(10_000),
          "mg key v Orude8 Pc=read,d=100",
          "ERROR\r\n".repeat(200));

  private final LoopbackTransport wire;
  private final SplittableRandom random;
  private final ProcessPauses pauses = new ProcessPauses();
  private final List<String> breaches = new ArrayList<>();
  private int sent;
  private int open;

  /** Clients that have not come yet. */
  public MisbehavingClients(LoopbackTransport wire, long seed) {
    this.wire = wire;
    this.random = new SplittableRandom(seed);
  }

  /** Their load balancer does not run for so long from now on. */
  public void paused(long millis) {
    pauses.add(wire.now(), millis);
  }

  /** So many of them come at once. */
  public void come(SocketAddress address, int count) {
    for (int i = 0; i < count; i++) {
      String text = SENDS.get(random.nextInt(SENDS.size()));
      sent++;
      open++;
      wire.connector()
          .handler(
              new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel channel) {
                  channel.pipeline().addLast(new Rude(text));
                }
              })
          .connect(address)
          .addListener(
              done -> {
                if (!done.isSuccess()) {
                  open--;
                }
              });
    }
  }

  /** One of them. */
  private final class Rude extends SimpleChannelInboundHandler<ByteBuf> {
    private final String text;
    private final StringBuilder got = new StringBuilder();
    private boolean answered;

    Rude(String text) {
      this.text = text;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (!text.isEmpty()) {
        ByteBuf bytes = ctx.alloc().buffer(text.length());
        bytes.writeCharSequence(text, StandardCharsets.ISO_8859_1);
        ctx.writeAndFlush(bytes);
      }
      wait(ctx, wire.now(), TimeUnit.MILLISECONDS.toNanos(PATIENCE_MILLIS), 0);
    }

    /** Waits for an end, and for as long again as the load balancer did not run meanwhile. */
    private void wait(ChannelHandlerContext ctx, long since, long nanos, long granted) {
      ctx.executor()
          .schedule(
              () -> {
                long stood = pauses.within(since, wire.now());
                if (!answered && stood > granted) {
                  wait(ctx, since, stood - granted, stood);
                  return;
                }
                if (!answered) {
                  breach("got neither an error nor a close");
                }
                ctx.close();
              },
              nanos,
              TimeUnit.NANOSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      got.append(bytes.toString(StandardCharsets.ISO_8859_1));
      if (got.length() > 10_000) {
        got.setLength(10_000);
      }
      answered |= got.indexOf("ERROR") >= 0;
      if (got.indexOf("VA ") >= 0 || got.indexOf("HD ") >= 0) {
        breach("was served");
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      answered = true;
      open--;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    private void breach(String what) {
      String begin = text.length() > 40 ? text.substring(0, 40) + "..." : text;
      breaches.add("a client that sent '" + begin.strip() + "' " + what);
    }
  }

  /** What load balancers did against the rules. */
  public List<String> breaches() {
    return Collections.unmodifiableList(breaches);
  }

  /** How many have come. */
  public int sent() {
    return sent;
  }

  /** How many are there. */
  public int open() {
    return open;
  }
}
