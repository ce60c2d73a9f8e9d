package shalepaddle.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.codec.meta.MetaClientCodec;
import shalepaddle.codec.meta.MetaServerCodec;
import shalepaddle.config.NodeConfig;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.front.ClientCommand;
import shalepaddle.front.ClientFront;
import shalepaddle.front.RequestAdmission;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.WatchedIoHandler;
import shalepaddle.membership.MemberList;
import shalepaddle.membership.MemberSource;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;
import shalepaddle.overload.DegradationPolicy;
import shalepaddle.overload.OverloadConfig;
import shalepaddle.overload.OverloadControl;
import shalepaddle.upstream.ServerPool;
import shalepaddle.upstream.ServerPools;

/**
 * Takes requests through the node's own code before clients come, within the process and on a loop
 * of its own: it needs no socket, file or port, so that no platform can withhold what it waits for.
 * Guards against a start in which a part of a core both compiles and serves: what clients sent then
 * timed out, and their new connections cost more than their requests. The system calls of sockets
 * stay unpractised.
 */
final class Warmup {
  /**
   * Enough for classes to be loaded and for the compiler to take what each request runs often: it
   * begins at 200 calls. More of them only keep a node that was restarted from its clients: where
   * many were, those are waiting for anybody at all.
   */
  static final int REQUEST_COUNT = 150;

  private static final int AT_ONCE = 4;
  private static final int SERVERS = 4;

  /** A node must not be kept from serving, whatever happens here. */
  private static final long MAX_MILLIS = 1500;

  /**
   * The time of each request, which outlasts the warm-up: where the first classes take over a
   * second to load, requests that expire would stop it and be logged as a client's.
   */
  private static final long REQUEST_MILLIS = 40 * MAX_MILLIS;

  private Warmup() {}

  /** Returns how many requests were answered. */
  static int run(NodeConfig config, Transport transport, Log log) throws InterruptedException {
    LoopClock clock = new LoopClock(Ticker.systemTicker(), new Unwatched(log));
    var group =
        new MultiThreadIoEventLoopGroup(
            1, WatchedIoHandler.factory(LocalIoHandler.newFactory(), clock));
    try {
      return run(config, group.next(), clock, transport.allocator(), log);
    } finally {
      // Its connections end with it; nobody waits for that.
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private static int run(
      NodeConfig config, EventLoop loop, LoopClock clock, ByteBufAllocator allocator, Log log)
      throws InterruptedException {
    // Unique in the process: several nodes may start in it at once.
    var caches = new LocalAddress(Cache.class);
    var front = new LocalAddress(ClientFront.class);
    listen(loop, allocator, caches, new Cache(config));
    Clock time = new Clock(loop.ticker(), System.currentTimeMillis());
    Dispatcher dispatcher =
        new Dispatcher(
            pushed(config.settings()),
            config.seed(),
            loop,
            clock,
            time,
            log,
            calm(config),
            CoalescingConfig.OFF);
    ServerPools pools = pools(dispatcher, loop, allocator);
    loop.submit(() -> dispatcher.start(pools, MemberSource.FIXED)).await();
    List<MemberList.Member> members = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      members.add(
          new MemberList.Member(
              new ServerEntry(i, config.settings().zone(), "", 0, ServerEntry.State.READY, 1, 0),
              caches));
    }
    loop.submit(
            () -> {
              MemberList list = new MemberList(true, 1, members);
              pools.update(list, time.now());
              dispatcher.membership(list.toUpdate(MembershipUpdate.Kind.FULL));
            })
        .await();
    MemoryBudget values = new MemoryBudget(1 << 20);
    MetaClientCodec codec =
        new MetaClientCodec(values, config.settings(), RequestAdmission.ADMIT_ALL);
    listen(
        loop,
        allocator,
        front,
        new ClientFront(dispatcher, codec, AT_ONCE, () -> DegradationPolicy.CALM, values));
    Client client = new Client(config.settings());
    new Bootstrap()
        .group(loop)
        .channel(LocalChannel.class)
        .option(ChannelOption.ALLOCATOR, allocator)
        .handler(client)
        .connect(front)
        .await();
    if (!client.done.await(MAX_MILLIS, TimeUnit.MILLISECONDS)) {
      log.line("the warm-up was cut short");
    }
    // Its timers and buffers end with it.
    loop.submit(
            () -> {
              dispatcher.close();
              pools.close();
            })
        .await();
    return client.answered.get();
  }

  private static void listen(
      EventLoop loop, ByteBufAllocator allocator, LocalAddress address, ChannelHandler setup)
      throws InterruptedException {
    new ServerBootstrap()
        .group(loop)
        .channel(LocalServerChannel.class)
        .childOption(ChannelOption.ALLOCATOR, allocator)
        .childHandler(setup)
        .bind(address)
        .await();
  }

  /** Pauses of a loop that compiles harm nobody. */
  private record Unwatched(Log log) implements LoopClock.Listener {
    @Override
    public void onStall(long nanos) {
      // Nobody waits.
    }

    @Override
    public void onTaskFailure(RuntimeException cause) {
      log.failure("warm-up", cause);
    }
  }

  /** Sheds nothing: a loop that compiles is late, and nobody is there to be refused. */
  private static OverloadControl calm(NodeConfig config) {
    return new OverloadControl(
        config.settings(),
        OverloadConfig.DISABLED,
        config.seed(),
        (resource, before, now, figure) -> {});
  }

  /** The same settings, where nobody has to be asked for the list of servers. */
  private static Settings pushed(Settings s) {
    return new Settings(
        s.zone(),
        s.zones(),
        s.kinds(),
        s.instanceNumber(),
        s.instances(),
        false,
        s.clientsMarkRetries(),
        s.weights(),
        s.cache(),
        s.limits(),
        s.contract(),
        s.prices(),
        s.services(),
        s.tenants(),
        s.overQuotaWeightRatio(),
        s.timerResolutionSeconds());
  }

  private static ServerPools pools(
      Dispatcher dispatcher, EventLoop loop, ByteBufAllocator allocator) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(LocalChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator);
    ServerPool.Limits limits =
        new ServerPool.Limits(
            2, 2 * SERVERS, 2, TimeUnit.MINUTES.toNanos(1), TimeUnit.SECONDS.toNanos(1));
    return new ServerPools(bootstrap, new MetaServerCodec(), limits, dispatcher);
  }

  /**
   * Sends what a client or server has to say, once the present call is over. Both ends of a
   * connection are on one loop, where a write is read within it: the node would be called in the
   * midst of a call of its own, as no socket calls it, and stalls.
   */
  private static void later(ChannelHandlerContext ctx, ByteBuf bytes) {
    ctx.executor().execute(() -> ctx.writeAndFlush(bytes));
  }

  /** Answers every command, as a cache server that holds everything. */
  private static final class Cache extends ChannelInitializer<Channel> {
    private final MetaClientCodec codec;

    Cache(NodeConfig config) {
      codec =
          new MetaClientCodec(
              new MemoryBudget(1 << 20), config.settings(), RequestAdmission.ADMIT_ALL);
    }

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(
              codec.decoder(),
              new SimpleChannelInboundHandler<ClientCommand>() {
                @Override
                protected void channelRead0(ChannelHandlerContext ctx, ClientCommand command) {
                  String id = command.request().id();
                  boolean write = command.request().write();
                  ByteBuf reply = ctx.alloc().buffer();
                  ByteBufUtil.writeAscii(
                      reply,
                      write ? "HD O" + id + " c1\r\n" : "VA 8 O" + id + " h1\r\nwarm-up!\r\n");
                  command.release();
                  later(ctx, reply);
                }
              });
    }
  }

  /** Sends requests, a few at once, and counts the lines that come back. */
  private static final class Client extends SimpleChannelInboundHandler<ByteBuf> {
    private final CountDownLatch done = new CountDownLatch(1);
    private final List<Settings.ServiceClass> services;
    private int sent;
    private final AtomicInteger answered = new AtomicInteger();

    Client(Settings settings) {
      services = settings.services();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      for (int i = 0; i < AT_ONCE; i++) {
        send(ctx);
      }
    }

    private void send(ChannelHandlerContext ctx) {
      Settings.ServiceClass service = services.get(sent % services.size());
      boolean write = service.idempotency() == Settings.Idempotency.NOT_IDEMPOTENT;
      String flags = " Owarm" + sent + " Pc=" + service.name() + ",d=" + REQUEST_MILLIS + "\r\n";
      String key = "warm" + sent % 100;
      String command = write ? "ms " + key + " 1" + flags + "x\r\n" : "mg " + key + " v" + flags;
      sent++;
      later(ctx, ctx.alloc().buffer().writeBytes(command.getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      while (bytes.isReadable()) {
        // An answer is the only line with this letter: values have none, and receipts neither.
        if (bytes.readByte() == 'O') {
          answered.incrementAndGet();
          if (sent < REQUEST_COUNT) {
            send(ctx);
          }
        }
      }
      if (answered.get() >= REQUEST_COUNT) {
        done.countDown();
      }
    }
  }
}
