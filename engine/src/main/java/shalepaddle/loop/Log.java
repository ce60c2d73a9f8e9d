package shalepaddle.loop;

import io.netty.util.concurrent.Ticker;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The node's log for operators. At most {@value #MAX_LINES_PER_SECOND} lines a second are written,
 * so that a failure that repeats costs little; the others are dropped. Not thread-safe.
 */
public final class Log {
  private static final int MAX_LINES_PER_SECOND = 10;

  private final Ticker ticker;
  private final Consumer<String> out;
  private long second;
  private int lines;

  /** A log to standard error. */
  public Log() {
    this(Ticker.systemTicker(), System.err::println);
  }

  /** A log to this output. */
  public Log(Ticker ticker, Consumer<String> out) {
    this.ticker = ticker;
    this.out = out;
  }

  /** Writes a line. */
  public void line(String text) {
    line(() -> text);
  }

  /** Writes a line, which is made only if it is not dropped. */
  public void line(Supplier<String> text) {
    long now = ticker.nanoTime() / 1_000_000_000L;
    if (now != second) {
      second = now;
      lines = 0;
    }
    if (lines++ < MAX_LINES_PER_SECOND) {
      out.accept(text.get());
    }
  }

  /** Writes a line on an unexpected exception: where, what, and its first stack frame. */
  public void failure(String where, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    line(where + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }
}
