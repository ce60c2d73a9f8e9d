package shalepaddle.loop;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a long stall of the event loop that leaves no trace of what the loop was doing.
 */
@Timeout(30)
class StallReporterTest {
  /** Longer than the time until a reporter's first look at its loop. */
  private static final long SERVING_MILLIS = 2500;

  private static final long STALL_MILLIS = 1000;

  private final Ticker ticker = Ticker.systemTicker();
  private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
  private final StallReporter reporter = new StallReporter(ticker, new Log(ticker, lines::add));

  private volatile boolean isReported;

  /** Runs short turns, then a long one, as an event loop does. */
  private void runLoop() {
    long startNanos = ticker.nanoTime();
    while (ticker.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(SERVING_MILLIS)) {
      reporter.turnEnded(ticker.nanoTime());
      Thread.onSpinWait();
    }
    long sum = spin(ticker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS));
    reporter.stallEnded(TimeUnit.MILLISECONDS.toNanos(STALL_MILLIS) + (sum & 1));
    while (!isReported) {
      reporter.turnEnded(ticker.nanoTime());
      Thread.onSpinWait();
    }
  }

  private long spin(long untilNanos) {
    long sum = 0;
    while (ticker.nanoTime() - untilNanos < 0) {
      sum += new int[100].length;
    }
    return sum;
  }

  @Test
  void logsStackAndUsageOfLongTurn() throws Exception {
    Thread loop = new Thread(this::runLoop);
    loop.start();
    String line = lines.take();
    isReported = true;
    loop.join();
    assertTrue(line.startsWith("event=loop_stall stalled_ms=1000 user_ms="), line);
    assertTrue(line.matches(".*\\d+x\\[.*StallReporterTest\\.spin:\\d+<.*"), line);
    assertTrue(line.matches(".* allocated_kb=\\d+ collections=\\d+ collection_ms=\\d+ .*"), line);
  }
}
