package shalepaddle.loop;

import io.netty.util.concurrent.Ticker;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Writes lines to a stream on a thread of its own, so that nobody who logs waits for the stream's
 * reader. While the stream accepts nothing, up to {@value #MAX_WAITING_LINES} lines wait; further
 * ones are dropped, and their number is written once the stream accepts lines again. Thread-safe.
 */
public final class LogWriter implements Consumer<String> {
  private static final int MAX_WAITING_LINES = 256;

  private static final Ticker CLOCK = Ticker.systemTicker();

  private static final LogWriter STANDARD_ERROR = new LogWriter(System.err);

  private final PrintStream stream;
  private final BlockingQueue<String> waitingLines = new ArrayBlockingQueue<>(MAX_WAITING_LINES);
  private final AtomicLong droppedLines = new AtomicLong();

  /** The lines that were accepted and are not written. */
  private final AtomicLong unwrittenLines = new AtomicLong();

  /** Creates a writer to a stream; its thread does not keep the process running. */
  LogWriter(PrintStream stream) {
    this.stream = stream;
    Thread thread = new Thread(this::writeLines, "log");
    thread.setDaemon(true);
    thread.start();
  }

  /** The process's writer to standard error. */
  public static LogWriter standardError() {
    return STANDARD_ERROR;
  }

  /** Accepts a line, or drops it while too many wait. Never blocks. */
  @Override
  public void accept(String line) {
    unwrittenLines.incrementAndGet();
    if (!waitingLines.offer(line)) {
      unwrittenLines.decrementAndGet();
      droppedLines.incrementAndGet();
    }
  }

  /** Waits until all accepted lines are written; returns false if that takes longer than given. */
  public boolean flush(long timeoutMillis) {
    long endNanos = CLOCK.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    synchronized (unwrittenLines) {
      while (unwrittenLines.get() > 0) {
        long leftNanos = endNanos - CLOCK.nanoTime();
        if (leftNanos <= 0) {
          return false;
        }
        try {
          TimeUnit.NANOSECONDS.timedWait(unwrittenLines, leftNanos);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return false;
        }
      }
    }
    return true;
  }

  private void writeLines() {
    try {
      while (true) {
        String line = waitingLines.take();
        reportDroppedLines();
        stream.println(line);
        stream.flush();
        if (unwrittenLines.decrementAndGet() == 0) {
          synchronized (unwrittenLines) {
            unwrittenLines.notifyAll();
          }
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportDroppedLines() {
    long dropped = droppedLines.getAndSet(0);
    if (dropped > 0) {
      stream.println("event=log_lines_dropped lines=" + dropped);
    }
  }
}
