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
 * Sends the requests of a {@link Warmup}, a few at the same time, and counts the answers. On its
 * event loop, but for {@link #awaitAllAnswered} and {@link #answered}.
 */
final class WarmupClient extends SimpleChannelInboundHandler<ByteBuf> {
  /**
   * The deadline of each request. It outlasts the warm-up: where the first classes take over a
   * second to load, requests that expire would end it and be logged as a client's.
   */
  private static final long DEADLINE_MILLIS = 40 * Warmup.MAX_MILLIS;

  private static final int DISTINCT_KEYS = 100;

  private final CountDownLatch allAnswered = new CountDownLatch(1);
  private final List<Settings.ServiceClass> services;
  private int sent;

  /** Counted by the event loop, read by any thread. */
  private final AtomicInteger answered = new AtomicInteger();

  WarmupClient(Settings settings) {
    services = settings.services();
  }

  /** Waits until all requests are answered; false if that takes longer than {@code millis}. */
  boolean awaitAllAnswered(long millis) throws InterruptedException {
    return allAnswered.await(millis, TimeUnit.MILLISECONDS);
  }

  int answered() {
    return answered.get();
  }

  /**
   * Writes in a later task of the event loop. Both ends of a local connection are on one loop,
   * where a write is read by the other end within the call: such reentrancy, which sockets do not
   * have, would stall the node.
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
    Settings.ServiceClass service = services.get(sent % services.size());
    boolean isWrite = service.idempotency() == Settings.Idempotency.NOT_IDEMPOTENT;
    String flags = " Owarm" + sent + " Pc=" + service.name() + ",d=" + DEADLINE_MILLIS + "\r\n";
    String key = "warm" + sent % DISTINCT_KEYS;
    String command = isWrite ? "ms " + key + " 1" + flags + "x\r\n" : "mg " + key + " v" + flags;
    sent++;
    writeLater(ctx, ctx.alloc().buffer().writeBytes(command.getBytes(StandardCharsets.US_ASCII)));
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
    while (bytes.isReadable()) {
      // Each answer has this letter once, in the flag with its id; its value has none.
      if (bytes.readByte() == 'O') {
        answered.incrementAndGet();
        if (sent < Warmup.REQUEST_COUNT) {
          send(ctx);
        }
      }
    }
    if (answered.get() >= Warmup.REQUEST_COUNT) {
      allAnswered.countDown();
    }
  }
}
