package shalepaddle.overload;

/**
 * The minimum of a quantity over each interval: its standing part, without peaks.
 *
 * <p>The idea is CoDel's (Nichols and Jacobson, "Controlling Queue Delay", 2012; RFC 8289): a good
 * queue is empty now and then, so its minimum over an interval tells it from a standing queue. Here
 * it prevents a single long turn of the event loop, a garbage collection or a stopped process from
 * being taken for overload. Cost: the result comes an interval late.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 */
public final class MinimumOverInterval {
  private final long intervalNanos;
  private long endsAtNanos;
  private double minimum;
  private int samples;
  private boolean hasBegun;

  /**
   * Without any value.
   *
   * @param intervalNanos length of an interval, above 0
   */
  public MinimumOverInterval(long intervalNanos) {
    if (intervalNanos <= 0) {
      throw new IllegalArgumentException("interval of " + intervalNanos + " ns");
    }
    this.intervalNanos = intervalNanos;
  }

  /** Adds a value. */
  public void add(double value) {
    minimum = samples++ == 0 ? value : Math.min(minimum, value);
  }

  /** Whether an interval has ended by now, so that its {@link #takeMinimum} is due. */
  public boolean isIntervalOver(long now) {
    if (!hasBegun) {
      hasBegun = true;
      endsAtNanos = now + intervalNanos;
    }
    return now - endsAtNanos >= 0 && samples > 0;
  }

  /** Discards all values; the next interval begins now. */
  public void restart(long now) {
    hasBegun = true;
    samples = 0;
    endsAtNanos = now + intervalNanos;
  }

  /** The minimum of the interval that ends now; the next begins. */
  public double takeMinimum(long now) {
    restart(now);
    return minimum;
  }
}
