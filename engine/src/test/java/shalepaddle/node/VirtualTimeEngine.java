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

/** Dispatchers on an event loop that the test itself runs, in virtual time. */
final class VirtualTimeEngine {
  final MockTicker ticker = Ticker.newMockTicker();
  final LoopClock clock;
  final ManualIoEventLoop loop;

  /** Number of payloads that have been released. */
  int releasedPayloads;

  VirtualTimeEngine(LoopClock.Listener listener) {
    clock = new LoopClock(ticker, listener);
    loop =
        new ManualIoEventLoop(
            null,
            Thread.currentThread(),
            WatchedIoHandler.factory(LocalIoHandler.newFactory(), clock),
            ticker);
  }

  /** Milliseconds of virtual time since the start. */
  long elapsedMillis() {
    return TimeUnit.NANOSECONDS.toMillis(ticker.nanoTime() - ticker.initialNanoTime());
  }

  /** Advances the time by the given milliseconds, and runs the loop after each millisecond. */
  void advanceMillis(long millis) {
    for (long i = 0; i < millis; i++) {
      ticker.advance(1, TimeUnit.MILLISECONDS);
      loop.runNow();
    }
  }

  /**
   * Starts a dispatcher.
   *
   * @param caps additional entries of {@code caps} in the settings, as JSON
   * @param services the service classes of the settings, as JSON
   * @param servers the ids of the servers, all of which are ready
   */
  Dispatcher startDispatcher(
      String caps, String services, CoalescingConfig coalescing, Upstream upstream, long... servers)
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
            coalescing);
    dispatcher.start(upstream, MemberSource.FIXED_LIST);
    dispatcher.onMembershipUpdate(
        new MembershipUpdate(
            MembershipUpdate.Kind.FULL,
            1,
            Arrays.stream(servers)
                .mapToObj(id -> new ServerEntry(id, "a", "m", 0, ServerEntry.State.READY, 1, 0))
                .toList()));
    return dispatcher;
  }

  /** Returns a payload without a value, whose first release is counted. */
  Payload createPayload() {
    return new Payload() {
      private boolean isReleased;

      @Override
      public ByteBuf value() {
        return null;
      }

      @Override
      public void release() {
        releasedPayloads += isReleased ? 0 : 1;
        isReleased = true;
      }
    };
  }

  /** Shuts the loop down. */
  void close() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    loop.runNow();
  }
}
