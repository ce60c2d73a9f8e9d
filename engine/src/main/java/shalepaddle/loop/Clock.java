package shalepaddle.loop;

import io.netty.util.concurrent.Ticker;

/**
 * The node's time in seconds since 1970, which never runs backwards. It is set once by the system
 * clock, so that it is comparable with the start times in the server list. Thread-safe.
 */
public final class Clock {
  private final Ticker ticker;
  private final double startSeconds;
  private final long startNanos;

  /** Creates a clock whose present time is the given number of milliseconds since 1970. */
  public Clock(Ticker ticker, long epochMillis) {
    this.ticker = ticker;
    this.startSeconds = epochMillis / 1e3;
    this.startNanos = ticker.nanoTime();
  }

  /** The present time in seconds since 1970. */
  public double now() {
    return startSeconds + (ticker.nanoTime() - startNanos) / 1e9;
  }
}
