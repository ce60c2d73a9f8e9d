package shalepaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.config.NodeConfig;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Payload;
import shalepaddle.engine.Upstream;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.WatchedIoHandler;
import shalepaddle.membership.MemberSource;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;
import shalepaddle.overload.OverloadConfig;
import shalepaddle.overload.OverloadControl;
import shalepaddle.settings.JsonObject;

/** A loop that a test runs, in time that it lets pass, and dispatchers on it. */
final class VirtualEngine {
  final MockTicker ticker = Ticker.newMockTicker();
  final LoopClock clock;
  final ManualIoEventLoop loop;

  /** Payloads that have been released. */
  int released;

  VirtualEngine(LoopClock.Listener listener) {
    clock = new LoopClock(ticker, listener);
    loop =
        new ManualIoEventLoop(
            null,
            Thread.currentThread(),
            WatchedIoHandler.factory(LocalIoHandler.newFactory(), clock),
            ticker);
  }

  /** Milliseconds since the beginning. */
  long millis() {
    return TimeUnit.NANOSECONDS.toMillis(ticker.nanoTime() - ticker.initialNanoTime());
  }

  /** Lets so much time pass, and runs the loop in each millisecond of it. */
  void pass(long millis) {
    for (long i = 0; i < millis; i++) {
      ticker.advance(1, TimeUnit.MILLISECONDS);
      loop.runNow();
    }
  }

  /**
   * Starts a dispatcher.
   *
   * @param caps further ones of the deployment, as the settings have them
   * @param services the classes, as the settings have them
   * @param servers the ids of servers that are ready
   */
  Dispatcher start(
      String caps, String services, CoalescingConfig joining, Upstream upstream, long... servers)
      throws Exception {
    NodeConfig config =
        NodeConfig.parse(
            JsonObject.parse(
                """
                {"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1",
                 "limits":{"sockets":256,"memory_mb":128},
                 "known":{"version":1,"full":true,"servers":[]},
                 "settings":{"discovery":"push","tick":0.001,
                  "caps":{"connect-timeout":0.15,"conn-idle":60,%s},
                  "contract":{"ask-within":10,"drain-grace":2,"cold-from":0.1,"warm-within":1},
                  "services":[%s]}}
                """
                    .formatted(caps, services)));
    OverloadControl overload =
        new OverloadControl(
            config.settings(), OverloadConfig.DEFAULT, 1, (resource, before, now, figure) -> {});
    Dispatcher dispatcher =
        new Dispatcher(
            config.settings(),
            1,
            loop,
            clock,
            new Clock(ticker, 0),
            new Log(ticker, line -> {}),
            overload,
            joining);
    dispatcher.start(upstream, MemberSource.FIXED);
    dispatcher.membership(
        new MembershipUpdate(
            MembershipUpdate.Kind.FULL,
            1,
            Arrays.stream(servers)
                .mapToObj(id -> new ServerEntry(id, "a", "m", 0, ServerEntry.State.READY, 1, 0))
                .toList()));
    return dispatcher;
  }

  /** A payload that carries nothing, and counts when it is released for the first time. */
  Payload payload() {
    return new Payload() {
      private boolean over;

      @Override
      public ByteBuf value() {
        return null;
      }

      @Override
      public void release() {
        released += over ? 0 : 1;
        over = true;
      }
    };
  }

  /** Ends the loop. */
  void close() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    loop.runNow();
  }
}
