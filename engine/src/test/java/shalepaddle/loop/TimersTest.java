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
  private static final long TICK = 20_000_000;

  /** One event loop that ends with the test. */
  private static final class Group implements AutoCloseable {
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
    try (Group group = new Group()) {
      var loop = group.loop;
      List<Long> early = new ArrayList<>();
      Set<Long> turns = new HashSet<>();
      int timers = 1000;
      CountDownLatch done = new CountDownLatch(timers);
      long[] turn = {0};
      loop.submit(
              () -> {
                Timers under = new Timers(loop, group.clock, new Log(), TICK);
                long began = System.nanoTime();
                for (int i = 0; i < timers; i++) {
                  long delay = i * 200_000L;
                  under.runNoEarlierThan(
                      delay,
                      () -> {
                        // Tasks that this turn of the loop still runs come before the next one.
                        if (turns.add(turn[0])) {
                          loop.execute(() -> turn[0]++);
                        }
                        if (System.nanoTime() - began < delay) {
                          early.add(delay);
                        }
                        done.countDown();
                      });
                }
              })
          .sync();
      assertTrue(done.await(ScriptedPeer.PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
      assertEquals(List.of(), early);
      // 200 ms hold ten ticks; without ticks each of the 1000 would wake the loop by itself.
      assertTrue(turns.size() <= 12, turns.size() + " turns");
    }
  }

  @Test
  void runsTimersDueByTimeBeforeTimersDueAfterIt() throws Exception {
    try (Group group = new Group()) {
      var loop = group.loop;
      List<String> order = new ArrayList<>();
      CountDownLatch done = new CountDownLatch(1);
      loop.submit(
              () -> {
                Timers timers = new Timers(loop, group.clock, new Log(), TICK);
                timers.runNoEarlierThan(
                    3 * TICK,
                    () -> {
                      order.add("after");
                      done.countDown();
                    });
                timers.runNoLaterThan(3 * TICK - 2_000_000, () -> order.add("by"));
                timers.runNoLaterThan(TICK, () -> order.add("cancelled")).cancel();
              })
          .sync();
      assertTrue(done.await(ScriptedPeer.PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
      assertEquals(List.of("by", "after"), order);
    }
  }

  @Test
  void schedulesNoMoreAlarmsThanTimers() throws Exception {
    try (Group group = new Group()) {
      AtomicInteger alarms = new AtomicInteger();
      EventLoop counted =
          (EventLoop)
              Proxy.newProxyInstance(
                  EventLoop.class.getClassLoader(),
                  new Class<?>[] {EventLoop.class},
                  (proxy, method, args) -> {
                    if (method.getName().equals("schedule")) {
                      alarms.incrementAndGet();
                    }
                    return method.invoke(group.loop, args);
                  });
      int timers = 100;
      CountDownLatch done = new CountDownLatch(timers);
      group
          .loop
          .submit(
              () -> {
                Timers under = new Timers(counted, group.clock, new Log(), TICK / 10);
                // Each is due before all that were set, so that each needs an earlier alarm.
                for (int i = timers; i > 0; i--) {
                  under.runNoEarlierThan(i * TICK / 10, done::countDown);
                }
              })
          .sync();
      assertTrue(done.await(ScriptedPeer.PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
      // One for each timer as it is set and one as it comes due; alarms that set further ones as
      // long as anything is due would come to thousands.
      assertTrue(alarms.get() <= 2 * timers, alarms + " alarms");
    }
  }

  @Test
  void measuresSilenceInActiveTime() throws Exception {
    try (Group group = new Group()) {
      CountDownLatch silent = new CountDownLatch(1);
      CountDownLatch over = new CountDownLatch(1);
      group
          .loop
          .submit(
              () -> {
                Timers timers = new Timers(group.loop, group.clock, new Log(), TICK);
                timers.afterActiveTime(300_000_000, silent::countDown);
                timers.runNoEarlierThan(300_000_000, over::countDown);
                pause(400);
              })
          .sync();
      assertTrue(over.await(100, TimeUnit.MILLISECONDS), "a deadline was delayed");
      assertEquals(1, silent.getCount(), "a stall of the loop was counted as a peer's silence");
      assertTrue(silent.await(ScriptedPeer.PATIENCE_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
