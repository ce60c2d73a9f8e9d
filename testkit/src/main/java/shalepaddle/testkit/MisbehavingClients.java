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
 * Clients that violate the protocol or leave their connection unused. A load balancer must answer
 * each client with an error or close its connection within 3 s, and must never serve the client.
 */
public final class MisbehavingClients {
  private static final long TIMEOUT_MILLIS = 3000;

  /** The payloads of misbehaving clients; each client sends one of them. */
  private static final List<String> PAYLOADS =
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

  private final LoopbackTransport transport;
  private final SplittableRandom random;
  private final ProcessPauses pauses = new ProcessPauses();
  private final List<String> violations = new ArrayList<>();
  private int startedClients;
  private int openConnections;

  /** Creates the clients without connecting any. */
  public MisbehavingClients(LoopbackTransport transport, long seed) {
    this.transport = transport;
    this.random = new SplittableRandom(seed);
  }

  /** Announces that the load balancer is paused for this duration from now on. */
  public void recordPause(long pauseMillis) {
    pauses.add(transport.nowNanos(), pauseMillis);
  }

  /** Connects this number of clients at once. */
  public void connect(SocketAddress address, int clientCount) {
    for (int i = 0; i < clientCount; i++) {
      String payload = PAYLOADS.get(random.nextInt(PAYLOADS.size()));
      startedClients++;
      openConnections++;
      transport
          .connector()
          .handler(
              new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel channel) {
                  channel.pipeline().addLast(new MisbehavingClient(payload));
                }
              })
          .connect(address)
          .addListener(
              future -> {
                if (!future.isSuccess()) {
                  openConnections--;
                }
              });
    }
  }

  /** A client that sends its payload and checks how the load balancer reacts. */
  private final class MisbehavingClient extends SimpleChannelInboundHandler<ByteBuf> {
    private final String payload;
    private final StringBuilder receivedText = new StringBuilder();
    private boolean answeredOrClosed;

    MisbehavingClient(String payload) {
      this.payload = payload;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (!payload.isEmpty()) {
        ByteBuf bytes = ctx.alloc().buffer(payload.length());
        bytes.writeCharSequence(payload, StandardCharsets.ISO_8859_1);
        ctx.writeAndFlush(bytes);
      }
      scheduleCheck(ctx, transport.nowNanos(), TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS), 0);
    }

    /**
     * Schedules the check for an error or a close. The check is postponed by the time for which the
     * load balancer was paused meanwhile.
     */
    private void scheduleCheck(
        ChannelHandlerContext ctx, long connectedAtNanos, long delayNanos, long postponedNanos) {
      ctx.executor()
          .schedule(
              () -> {
                long pausedNanos = pauses.pausedNanos(connectedAtNanos, transport.nowNanos());
                if (!answeredOrClosed && pausedNanos > postponedNanos) {
                  scheduleCheck(ctx, connectedAtNanos, pausedNanos - postponedNanos, pausedNanos);
                  return;
                }
                if (!answeredOrClosed) {
                  recordViolation("got neither an error nor a close");
                }
                ctx.close();
              },
              delayNanos,
              TimeUnit.NANOSECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      receivedText.append(bytes.toString(StandardCharsets.ISO_8859_1));
      if (receivedText.length() > 10_000) {
        receivedText.setLength(10_000);
      }
      answeredOrClosed |= receivedText.indexOf("ERROR") >= 0;
      if (receivedText.indexOf("VA ") >= 0 || receivedText.indexOf("HD ") >= 0) {
        recordViolation("was served");
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      answeredOrClosed = true;
      openConnections--;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }

    private void recordViolation(String message) {
      String payloadStart = payload.length() > 40 ? payload.substring(0, 40) + "..." : payload;
      violations.add("a client that sent '" + payloadStart.strip() + "' " + message);
    }
  }

  /** Descriptions of the violations by load balancers. */
  public List<String> violations() {
    return Collections.unmodifiableList(violations);
  }

  /** Number of clients started. */
  public int started() {
    return startedClients;
  }

  /** Number of clients whose connection is not closed yet. */
  public int openConnections() {
    return openConnections;
  }
}
