package shalepaddle.loop;

import io.netty.util.concurrent.Ticker;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The node's log for operators. At most {@value #MAX_LINES_PER_SECOND} lines per second are
 * written, so that a recurring failure costs little; further lines are dropped. The event loop
 * logs, so the output must not block. Thread-safe if the output is.
 */
public final class Log {
  private static final int MAX_LINES_PER_SECOND = 10;

  private final Ticker ticker;
  private final Consumer<String> out;
  private long currentSecond;
  private int linesInSecond;

  /** Creates a log that writes to standard error, and does not wait for its reader. */
  public Log() {
    this(Ticker.systemTicker(), LogWriter.standardError());
  }

  /** Creates a log that writes to this output, which must not block. */
  public Log(Ticker ticker, Consumer<String> out) {
    this.ticker = ticker;
    this.out = out;
  }

  /** Writes a line. */
  public void writeLine(String text) {
    writeLine(() -> text);
  }

  /** Writes a line; the text is built only if the line is not dropped. */
  public void writeLine(Supplier<String> text) {
    if (admitsLine()) {
      out.accept(text.get());
    }
  }

  /** Writes a line whatever the limit; for lines of which the process writes only a few. */
  public void writeRareLine(String text) {
    out.accept(text);
  }

  private synchronized boolean admitsLine() {
    long nowSeconds = ticker.nanoTime() / 1_000_000_000L;
    if (nowSeconds != currentSecond) {
      currentSecond = nowSeconds;
      linesInSecond = 0;
    }
    return linesInSecond++ < MAX_LINES_PER_SECOND;
  }

  /** Logs an unexpected exception: where it occurred, its text and its first stack frame. */
  public void writeFailure(String location, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    writeLine(location + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }
}
