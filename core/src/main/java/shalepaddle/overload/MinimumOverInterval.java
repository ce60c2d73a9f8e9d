package shalepaddle.overload;

/**
 * The least of what was seen in each interval: how much of a quantity stands, however high it rises
 * in between.
 *
 * <p>The idea is CoDel's (Nichols and Jacobson, "Controlling Queue Delay", 2012; RFC 8289): a queue
 * that works as it should runs empty now and then, so its least delay over an interval tells a good
 * queue from one that stands, where its mean and its peaks do not. Here it keeps a single long
 * turn, a garbage collection, or a process that was stopped for a second, from being taken for
 * overload: after it the loop is soon on time again, within the same interval. What it costs is a
 * verdict that comes an interval late.
 *
 * <p>Not thread-safe.
 */
public final class MinimumOverInterval {
  private final long intervalNanos;
  private long endsAt;
  private double least;
  private int seen;
  private boolean begun;

  /**
   * Nothing is seen yet.
   *
   * @param intervalNanos length of an interval, above 0
   */
  public MinimumOverInterval(long intervalNanos) {
    if (intervalNanos <= 0) {
      throw new IllegalArgumentException("interval of " + intervalNanos + " ns");
    }
    this.intervalNanos = intervalNanos;
  }

  /** A value is seen, from 0 up. */
  public void add(double value) {
    least = seen++ == 0 ? value : Math.min(least, value);
  }

  /** Whether an interval has ended by now, so that its {@link #takeMinimum} is due. */
  public boolean isIntervalOver(long now) {
    if (!begun) {
      begun = true;
      endsAt = now + intervalNanos;
    }
    return now - endsAt >= 0 && seen > 0;
  }

  /** Forgets what was seen: the next interval begins now. */
  public void restart(long now) {
    begun = true;
    seen = 0;
    endsAt = now + intervalNanos;
  }

  /** What stood in the interval that ends now. The next begins. */
  public double takeMinimum(long now) {
    restart(now);
    return least;
  }
}
