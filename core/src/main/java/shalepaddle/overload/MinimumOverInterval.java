package shalepaddle.overload;

/**
 * The minimum of a quantity over each interval, which ignores peaks.
 *
 * <p>The idea is CoDel's (Nichols and Jacobson, "Controlling Queue Delay", 2012; RFC 8289): a good
 * queue is empty now and then, so its minimum over an interval distinguishes it from a standing
 * queue. Prevents a single long turn of the event loop, a garbage collection or a stopped process
 * from being taken for overload. Cost: the result is delayed by an interval.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 */
public final class MinimumOverInterval {
  private final long intervalNanos;
  private long endsAtNanos;
  private double minimum;
  private int sampleCount;
  private boolean hasIntervalBegun;

  /**
   * Creates a minimum without values.
   *
   * @param intervalNanos length of an interval, above 0
   */
  public MinimumOverInterval(long intervalNanos) {
    if (intervalNanos <= 0) {
      throw new IllegalArgumentException(
          "interval is " + intervalNanos + " ns, and must be above 0");
    }
    this.intervalNanos = intervalNanos;
  }

  /** Adds a value. */
  public void add(double value) {
    minimum = sampleCount++ == 0 ? value : Math.min(minimum, value);
  }

  /** Whether an interval with values has ended, so that {@link #takeMinimum} is due. */
  public boolean isIntervalOver(long now) {
    if (!hasIntervalBegun) {
      hasIntervalBegun = true;
      endsAtNanos = now + intervalNanos;
    }
    return now - endsAtNanos >= 0 && sampleCount > 0;
  }

  /** Discards all values; the next interval begins now. */
  public void restart(long now) {
    hasIntervalBegun = true;
    sampleCount = 0;
    endsAtNanos = now + intervalNanos;
  }

  /** Ends the interval, returns its minimum and begins the next interval. */
  public double takeMinimum(long now) {
    restart(now);
    return minimum;
  }
}
