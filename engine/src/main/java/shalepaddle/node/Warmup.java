package shalepaddle.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.codec.meta.MetaClientCodec;
import shalepaddle.codec.meta.MetaServerCodec;
import shalepaddle.config.NodeConfig;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.MemoryBudget;
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
import shalepaddle.sockets.SendQueues;
import shalepaddle.upstream.ServerPool;
import shalepaddle.upstream.ServerPools;

/**
 * Sends requests through the node's own code before clients connect, so that its classes are loaded
 * and partly compiled. Without a warm-up, the first clients' requests timed out, since a fraction
 * of a core had to compile and serve at the same time. Runs within the process on a separate event
 * loop and uses no socket, file or port that the warm-up might have to wait for, so the system
 * calls of sockets are not warmed up.
 *
 * <p>Called from the thread that starts the node, which it blocks for {@link #MAX_DURATION_MILLIS}
 * at most.
 */
final class Warmup {
  /**
   * The number of requests, enough to load the classes and to start the compiler, which compiles a
   * method after 200 calls. More requests would delay a restarted node's service.
   */
  static final int REQUEST_COUNT = 150;

  /** The number of requests that are open at the same time. */
  static final int CONCURRENT_REQUESTS = 4;

  /** The warm-up is cut short after this time. */
  static final long MAX_DURATION_MILLIS = 1500;

  private static final int SERVER_COUNT = 4;
  private static final int VALUE_MEMORY_BYTES = 1 << 20;

  private final NodeConfig config;
  private final EventLoop loop;
  private final LoopClock clock;
  private final ByteBufAllocator allocator;
  private final Log log;

  private Warmup(
      NodeConfig config, EventLoop loop, LoopClock clock, ByteBufAllocator allocator, Log log) {
    this.config = config;
    this.loop = loop;
    this.clock = clock;
    this.allocator = allocator;
    this.log = log;
  }

  /** Runs the warm-up; returns how many requests were answered. */
  static int run(NodeConfig config, Transport transport, Log log) throws InterruptedException {
    LoopClock clock = new LoopClock(Ticker.systemTicker(), new StallIgnoringListener(log));
    var group =
        new MultiThreadIoEventLoopGroup(
            1, WatchedIoHandler.factory(LocalIoHandler.newFactory(), clock));
    try {
      return new Warmup(config, group.next(), clock, transport.allocator(), log).run();
    } finally {
      // This also closes the connections of the warm-up. Nothing depends on the end of the
      // shutdown, so it is not awaited.
      group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }

  private int run() throws InterruptedException {
    // The addresses are unique in the process, since several nodes may start at the same time.
    LocalAddress serverAddress = new LocalAddress(WarmupCacheServer.class);
    LocalAddress clientAddress = new LocalAddress(ClientFront.class);
    listen(serverAddress, new WarmupCacheServer(config.settings(), VALUE_MEMORY_BYTES));
    Clock nodeClock = new Clock(loop.ticker(), System.currentTimeMillis());
    Dispatcher dispatcher = newDispatcher(nodeClock);
    ServerPools pools = newServerPools(dispatcher);
    loop.submit(() -> dispatcher.start(pools, MemberSource.FIXED_LIST)).await();
    applyList(newServerList(serverAddress), dispatcher, pools, nodeClock);
    listen(clientAddress, newClientFront(dispatcher));
    WarmupClient client = new WarmupClient(config.settings());
    connect(client, clientAddress);
    if (!client.awaitAllAnswered(MAX_DURATION_MILLIS)) {
      log.writeLine("event=warmup_cut_short answered=" + client.answeredCount());
    }
    loop.submit(
            () -> {
              dispatcher.close();
              pools.close();
            })
        .await();
    return client.answeredCount();
  }

  private Dispatcher newDispatcher(Clock nodeClock) {
    return new Dispatcher(
        withPushedList(config.settings()),
        config.seed(),
        loop,
        clock,
        nodeClock,
        log,
        newNonSheddingControl(),
        CoalescingConfig.OFF);
  }

  private ServerPools newServerPools(Dispatcher dispatcher) {
    Bootstrap connector =
        new Bootstrap()
            .group(loop)
            .channel(LocalChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator);
    ServerPool.Limits limits =
        new ServerPool.Limits(
            2, 2 * SERVER_COUNT, 2, TimeUnit.MINUTES.toNanos(1), TimeUnit.SECONDS.toNanos(1));
    return new ServerPools(
        connector,
        new MetaServerCodec(),
        limits,
        new MemoryBudget(VALUE_MEMORY_BYTES),
        SendQueues.NONE,
        dispatcher);
  }

  /** An endpoint list of several cache servers at one address. */
  private MemberList newServerList(LocalAddress address) {
    List<MemberList.Member> members = new ArrayList<>();
    for (int i = 0; i < SERVER_COUNT; i++) {
      members.add(
          new MemberList.Member(
              new ServerEntry(i, config.settings().zone(), "", 0, ServerEntry.State.READY, 1, 0),
              address));
    }
    return new MemberList(true, 1, members);
  }

  private void applyList(MemberList list, Dispatcher dispatcher, ServerPools pools, Clock nodeClock)
      throws InterruptedException {
    loop.submit(
            () -> {
              pools.update(list, nodeClock.now());
              dispatcher.onMembershipUpdate(list.toUpdate(MembershipUpdate.Kind.FULL));
            })
        .await();
  }

  private ClientFront newClientFront(Dispatcher dispatcher) {
    MemoryBudget valueMemory = new MemoryBudget(VALUE_MEMORY_BYTES);
    MetaClientCodec codec =
        new MetaClientCodec(valueMemory, config.settings(), RequestAdmission.ADMIT_ALL);
    return new ClientFront(
        dispatcher,
        codec,
        CONCURRENT_REQUESTS,
        () -> DegradationPolicy.CALM,
        SendQueues.NONE,
        valueMemory);
  }

  private void listen(LocalAddress address, ChannelHandler connectionHandler)
      throws InterruptedException {
    new ServerBootstrap()
        .group(loop)
        .channel(LocalServerChannel.class)
        .childOption(ChannelOption.ALLOCATOR, allocator)
        .childHandler(connectionHandler)
        .bind(address)
        .await();
  }

  private void connect(ChannelHandler client, LocalAddress address) throws InterruptedException {
    new Bootstrap()
        .group(loop)
        .channel(LocalChannel.class)
        .option(ChannelOption.ALLOCATOR, allocator)
        .handler(client)
        .connect(address)
        .await();
  }

  /** Overload control that sheds nothing, since a loop whose code is being compiled is slow. */
  private OverloadControl newNonSheddingControl() {
    return new OverloadControl(
        config.settings(),
        OverloadConfig.DISABLED,
        config.seed(),
        (resource, previousLevel, level, value) -> {});
  }

  /** The same settings, with an endpoint list that is not polled. */
  private static Settings withPushedList(Settings settings) {
    return new Settings(
        settings.zone(),
        settings.zones(),
        settings.kinds(),
        settings.instanceNumber(),
        settings.instances(),
        false,
        settings.clientsMarkRetries(),
        settings.weights(),
        settings.cache(),
        settings.limits(),
        settings.contract(),
        settings.prices(),
        settings.services(),
        settings.tenants(),
        settings.overQuotaWeightRatio(),
        settings.timerResolutionSeconds());
  }

  /** Ignores stalls, which are expected while code is being compiled and delay no client. */
  private record StallIgnoringListener(Log log) implements LoopClock.Listener {
    @Override
    public void onStall(long stallNanos) {
      // Stalls are expected, see the comment of the type.
    }

    @Override
    public void onTaskFailure(RuntimeException cause) {
      log.writeFailure("warm-up", cause);
    }
  }
}
