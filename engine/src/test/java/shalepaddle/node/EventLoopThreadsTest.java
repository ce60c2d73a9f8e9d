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
  private final List<String> logLines = new CopyOnWriteArrayList<>();
  private final AtomicInteger failureCount = new AtomicInteger();
  private final EventLoopThreads threads =
      new EventLoopThreads(
          new Log(Ticker.systemTicker(), logLines::add), failureCount::incrementAndGet);

  private void runToEnd(Runnable loop) throws InterruptedException {
    Thread thread = threads.newThread(loop);
    thread.start();
    thread.join();
  }

  @Test
  void reportsErrorThatEndsLoop() throws Exception {
    runToEnd(
        () -> {
          throw new NoClassDefFoundError("forced");
        });
    assertEquals(1, failureCount.get());
    assertTrue(logLines.get(0).contains("event=event_loop_failed"), logLines.get(0));
    assertTrue(logLines.get(0).contains("forced"), logLines.get(0));
  }

  @Test
  void reportsLoopThatEndsWithoutError() throws Exception {
    runToEnd(() -> {});
    assertEquals(1, failureCount.get());
  }

  @Test
  void reportsFailureWhenLogFails() throws Exception {
    EventLoopThreads threadsWithFailingLog =
        new EventLoopThreads(
            new Log(
                Ticker.systemTicker(),
                line -> {
                  throw new IllegalStateException("thrown by the log of this test");
                }),
            failureCount::incrementAndGet);
    Thread thread = threadsWithFailingLog.newThread(() -> {});
    thread.setUncaughtExceptionHandler((failed, cause) -> {});
    thread.start();
    thread.join();
    assertEquals(1, failureCount.get());
  }

  @Test
  void reportsNothingAfterShutdownIsAllowed() throws Exception {
    threads.allowShutdown();
    runToEnd(() -> {});
    assertEquals(0, failureCount.get());
  }
}
