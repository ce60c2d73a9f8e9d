package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import shalepaddle.loop.Log;

class EventLoopThreadsTest {
  private final List<String> lines = new CopyOnWriteArrayList<>();
  private final AtomicInteger failures = new AtomicInteger();
  private final EventLoopThreads threads =
      new EventLoopThreads(new Log(Ticker.systemTicker(), lines::add), failures::incrementAndGet);

  private void run(Runnable loop) throws InterruptedException {
    Thread thread = threads.newThread(loop);
    thread.start();
    thread.join();
  }

  @Test
  void reportsErrorThatEndsLoop() throws Exception {
    run(
        () -> {
          throw new NoClassDefFoundError("forced");
        });
    assertEquals(1, failures.get());
    assertTrue(lines.get(0).contains("event=event_loop_failed"), lines.get(0));
    assertTrue(lines.get(0).contains("forced"), lines.get(0));
  }

  @Test
  void reportsLoopThatEndsWithoutError() throws Exception {
    run(() -> {});
    assertEquals(1, failures.get());
  }

  @Test
  void reportsFailureThoughLogFails() throws Exception {
    EventLoopThreads mute =
        new EventLoopThreads(
            new Log(
                Ticker.systemTicker(),
                line -> {
                  throw new IllegalStateException("no log");
                }),
            failures::incrementAndGet);
    Thread thread = mute.newThread(() -> {});
    thread.setUncaughtExceptionHandler((which, cause) -> {});
    thread.start();
    thread.join();
    assertEquals(1, failures.get());
  }

  @Test
  void reportsNothingAfterShutdownIsAllowed() throws Exception {
    threads.allowShutdown();
    run(() -> {});
    assertEquals(0, failures.get());
  }
}
