package shalepaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import shalepaddle.model.Settings;

/**
 * Sends the requests of a {@link Warmup}, a few at the same time, and counts the responses. Runs on
 * the event loop of the warm-up, except {@link #awaitAllAnswered} and {@link #answeredCount}.
 */
final class WarmupClient extends SimpleChannelInboundHandler<ByteBuf> {
  /**
   * The deadline of each request, longer than the warm-up. If loading the first classes takes over
   * a second, requests with a shorter deadline would expire, end the warm-up and be logged like
   * requests of a client.
   */
  private static final long DEADLINE_MILLIS = 40 * Warmup.MAX_DURATION_MILLIS;

  private static final int DISTINCT_KEY_COUNT = 100;

  private final CountDownLatch allAnswered = new CountDownLatch(1);
  private final List<Settings.ServiceClass> services;
  private int sentCount;

  /** The number of responses, incremented by the event loop and read by any thread. */
  private final AtomicInteger answeredCount = new AtomicInteger();

  WarmupClient(Settings settings) {
    services = settings.services();
  }

  /** Waits until all requests are answered; returns false after {@code timeoutMillis}. */
  boolean awaitAllAnswered(long timeoutMillis) throws InterruptedException {
    return allAnswered.await(timeoutMillis, TimeUnit.MILLISECONDS);
  }

  int answeredCount() {
    return answeredCount.get();
  }

  /**
   * Writes the bytes in a later task of the event loop. Both ends of a local channel run on one
   * loop, and the other end would read a direct write within the call. This reentrancy, which
   * sockets do not have, would stall the node.
   */
  static void writeLater(ChannelHandlerContext ctx, ByteBuf bytes) {
    ctx.executor().execute(() -> ctx.writeAndFlush(bytes));
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    for (int i = 0; i < Warmup.CONCURRENT_REQUESTS; i++) {
      send(ctx);
    }
  }

  private void send(ChannelHandlerContext ctx) {
    Settings.ServiceClass service = services.get(sentCount % services.size());
    boolean isWrite = service.idempotency() == Settings.Idempotency.NOT_IDEMPOTENT;
    String flags =
        " Owarm" + sentCount + " Pc=" + service.name() + ",d=" + DEADLINE_MILLIS + "\r\n";
    String key = "warm" + sentCount % DISTINCT_KEY_COUNT;
    String command = isWrite ? "ms " + key + " 1" + flags + "x\r\n" : "mg " + key + " v" + flags;
    sentCount++;
    writeLater(ctx, ctx.alloc().buffer().writeBytes(command.getBytes(StandardCharsets.US_ASCII)));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
    while (bytes.isReadable()) {
      // Each response contains this letter once, in its request id token, and not in its value.
      if (bytes.readByte() == 'O') {
        answeredCount.incrementAndGet();
        if (sentCount < Warmup.REQUEST_COUNT) {
          send(ctx);
        }
      }
    }
    if (answeredCount.get() >= Warmup.REQUEST_COUNT) {
      allAnswered.countDown();
    }
  }
}
