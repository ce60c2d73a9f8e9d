package shalepaddle.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import shalepaddle.testkit.ScriptedPeer;

class TimersTest {
  private static final long TICK_NANOS = 20_000_000;

  /** An event loop that is shut down at the end of a test. */
  private static final class SingleEventLoop implements AutoCloseable {
    private final LoopClock clock = new LoopClock(System.nanoTime(), new LoopClockTest.Recorder());
    private final MultiThreadIoEventLoopGroup threads =
        new MultiThreadIoEventLoopGroup(
            1, WatchedIoHandler.factory(NioIoHandler.newFactory(), clock));
    private final EventLoop loop = threads.next();

    @Override
    public void close() {
      threads.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  @Test
  void wakesLoopOncePerTickWithManyTimers() throws Exception {
    try (SingleEventLoop fixture = new SingleEventLoop()) {
      var loop = fixture.loop;
      List<Long> earlyTimerDelaysNanos = new ArrayList<>();
      Set<Long> turns = new HashSet<>();
      int timerCount = 1000;
      CountDownLatch allTimersRan = new CountDownLatch(timerCount);
      long[] currentTurn = {0};
      loop.submit(
              () -> {
                Timers timers = new Timers(loop, fixture.clock, new Log(), TICK_NANOS);
                long startNanos = System.nanoTime();
                for (int i = 0; i < timerCount; i++) {
                  long delayNanos = i * 200_000L;
                  timers.runNoEarlierThan(
                      delayNanos,
                      () -> {
                        // The task runs after this turn's timers and before the next turn.
                        if (turns.add(currentTurn[0])) {
                          loop.execute(() -> currentTurn[0]++);
                        }
                        if (System.nanoTime() - startNanos < delayNanos) {
                          earlyTimerDelaysNanos.add(delayNanos);
                        }
                        allTimersRan.countDown();
                      });
                }
              })
          .sync();
      assertTrue(allTimersRan.await(ScriptedPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      assertEquals(List.of(), earlyTimerDelaysNanos);
      // 200 ms are ten ticks; without ticks each of the 1000 timers would wake up the loop.
      assertTrue(turns.size() <= 12, turns.size() + " turns ran timers");
    }
  }

  /** The tasks are due 2 ms apart; a cancelled task does not run. */
  @Test
  void runNoLaterThanRunsTaskBeforeThatOfRunNoEarlierThan() throws Exception {
    try (SingleEventLoop fixture = new SingleEventLoop()) {
      var loop = fixture.loop;
      List<String> order = new ArrayList<>();
      CountDownLatch allTimersRan = new CountDownLatch(1);
      loop.submit(
              () -> {
                Timers timers = new Timers(loop, fixture.clock, new Log(), TICK_NANOS);
                timers.runNoEarlierThan(
                    3 * TICK_NANOS,
                    () -> {
                      order.add("after");
                      allTimersRan.countDown();
                    });
                timers.runNoLaterThan(3 * TICK_NANOS - 2_000_000, () -> order.add("by"));
                timers.runNoLaterThan(TICK_NANOS, () -> order.add("cancelled")).cancel();
              })
          .sync();
      assertTrue(allTimersRan.await(ScriptedPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      assertEquals(List.of("by", "after"), order);
    }
  }

  @Test
  void schedulesAtMostTwoWakeUpsPerTimer() throws Exception {
    try (SingleEventLoop fixture = new SingleEventLoop()) {
      AtomicInteger wakeUps = new AtomicInteger();
      EventLoop countingLoop =
          (EventLoop)
              Proxy.newProxyInstance(
                  EventLoop.class.getClassLoader(),
                  new Class<?>[] {EventLoop.class},
                  (proxy, method, args) -> {
                    if (method.getName().equals("schedule")) {
                      wakeUps.incrementAndGet();
                    }
                    return method.invoke(fixture.loop, args);
                  });
      int timerCount = 100;
      CountDownLatch allTimersRan = new CountDownLatch(timerCount);
      fixture
          .loop
          .submit(
              () -> {
                Timers timers = new Timers(countingLoop, fixture.clock, new Log(), TICK_NANOS / 10);
                // Each timer is due before all timers that were set before it, and needs an earlier
                // wake-up.
                for (int i = timerCount; i > 0; i--) {
                  timers.runNoEarlierThan(i * TICK_NANOS / 10, allTimersRan::countDown);
                }
              })
          .sync();
      assertTrue(allTimersRan.await(ScriptedPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
      // One wake-up is scheduled when a timer is set and one when the timer is due. If each wake-up
      // scheduled another one while timers are set, there would be thousands of wake-ups.
      assertTrue(
          wakeUps.get() <= 2 * timerCount, wakeUps + " wake-ups for " + timerCount + " timers");
    }
  }

  @Test
  void runsActiveTimeTimerLaterAfterStall() throws Exception {
    try (SingleEventLoop fixture = new SingleEventLoop()) {
      CountDownLatch activeTimeTimerRan = new CountDownLatch(1);
      CountDownLatch realTimeTimerRan = new CountDownLatch(1);
      fixture
          .loop
          .submit(
              () -> {
                Timers timers = new Timers(fixture.loop, fixture.clock, new Log(), TICK_NANOS);
                timers.runAfterActiveTime(300_000_000, activeTimeTimerRan::countDown);
                timers.runNoEarlierThan(300_000_000, realTimeTimerRan::countDown);
                pause(400);
              })
          .sync();
      assertTrue(
          realTimeTimerRan.await(100, TimeUnit.MILLISECONDS),
          "a timer in real time was delayed by a stall");
      assertEquals(
          1, activeTimeTimerRan.getCount(), "a stall of the loop was counted as active time");
      assertTrue(activeTimeTimerRan.await(ScriptedPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  private static void pause(long pauseMillis) {
    try {
      Thread.sleep(pauseMillis);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
