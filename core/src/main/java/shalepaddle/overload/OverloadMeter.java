package shalepaddle.overload;

import java.util.EnumMap;
import java.util.Map;

/**
 * The levels of all resources of the own process, from readings of it. Tells each change of a level
 * once, with the figure that made it.
 *
 * <p>CPU is judged by the delay that stands in the event loop, not by the share of the processor in
 * use: a loop that is busy all the time and never late serves everybody, and where others take the
 * processor away it is late with little use of its own. The delay is the length of the loop's
 * turns: how late a timer runs tells it too, but a timer comes due anywhere in a turn, so that the
 * least of some such delays is next to nothing however long the turns are. Memory and descriptors
 * are judged by the part of the limit that is in use, memory by what stands over an interval, so
 * that garbage which the next collection takes does not count.
 *
 * <p>Not thread-safe: it belongs to the event loop that it measures.
 */
public final class OverloadMeter {
  /**
   * Seconds that every turn of the loop takes. Requests here wait for 50 ms and more at servers, so
   * that 10 ms are seen by nobody; at 30 ms the loop's own part shows in every answer.
   */
  public static final HysteresisGauge.Bounds DELAY =
      new HysteresisGauge.Bounds(0.01, 0.03, 0.004, 10);

  /** Parts of the memory limit; the rest is what a collection or a burst needs. */
  public static final HysteresisGauge.Bounds MEMORY = new HysteresisGauge.Bounds(0.8, 0.92, 0.7, 2);

  /** Parts of the descriptors that the process may hold. */
  public static final HysteresisGauge.Bounds DESCRIPTORS =
      new HysteresisGauge.Bounds(0.85, 0.95, 0.75, 10);

  private static final long INTERVAL_NANOS = 100_000_000L;

  /** Long enough to hold a collection where memory is used up. */
  private static final long MEMORY_INTERVAL_NANOS = 2_000_000_000L;

  /**
   * After a stall the loop works off what came during it, which takes about as long as the stall.
   * Turns are ignored for that time, at most for this long.
   */
  private static final long MAX_GRACE_NANOS = 1_000_000_000L;

  /** Receives changes of a level. */
  @FunctionalInterface
  public interface Listener {
    /**
     * A level has changed.
     *
     * @param figure seconds of standing delay for the processor, a part of the limit for others
     */
    void changed(Resource resource, PressureLevel before, PressureLevel now, double figure);
  }

  private final MinimumOverInterval delay = new MinimumOverInterval(INTERVAL_NANOS);
  private final MinimumOverInterval memory = new MinimumOverInterval(MEMORY_INTERVAL_NANOS);
  private final MinimumOverInterval descriptors = new MinimumOverInterval(INTERVAL_NANOS);
  private final Map<Resource, HysteresisGauge> gauges = new EnumMap<>(Resource.class);
  private final Listener listener;
  private long graceUntilNanos;
  private boolean isInGrace;

  /** All levels are at their lowest. */
  public OverloadMeter(Listener listener) {
    this.listener = listener;
    gauges.put(Resource.CPU, new HysteresisGauge(DELAY));
    gauges.put(Resource.MEMORY, new HysteresisGauge(MEMORY));
    gauges.put(Resource.DESCRIPTORS, new HysteresisGauge(DESCRIPTORS));
  }

  /**
   * The process did not run until now, for a time in nanoseconds. Turns are ignored until the loop
   * has had time to catch up, so that a garbage collection or a stopped process is not taken for
   * overload.
   */
  public void onEventLoopStall(long nanos, long now) {
    isInGrace = true;
    graceUntilNanos = now + Math.min(nanos, MAX_GRACE_NANOS);
  }

  /**
   * A turn of the loop ends that began then: what came in it had to wait for as long, half of it on
   * average.
   *
   * @param isShedding whether requests are rejected: as long as they are, the processor is short,
   *     however low rejections keep the delay
   * @return the least delay in seconds of the interval that ends now, NaN if none ends
   */
  public double onLoopTurnEnd(long beganAtNanos, long now, boolean isShedding) {
    if (isInGrace && now - graceUntilNanos < 0) {
      delay.restart(now);
      return Double.NaN;
    }
    isInGrace = false;
    delay.add(Math.max(0, now - beganAtNanos) / 1e9);
    if (!delay.isIntervalOver(now)) {
      return Double.NaN;
    }
    double delaySeconds = delay.takeMinimum(now);
    update(Resource.CPU, isShedding ? Math.max(delaySeconds, DELAY.busy()) : delaySeconds);
    return delaySeconds;
  }

  /**
   * The use of each resource, as a fraction of its limit; to be called several times in 100 ms.
   *
   * @param memoryRatio of the heap or of the memory outside of it, whichever is higher
   * @param descriptorRatio of the file descriptors
   */
  public void onResourceUsage(double memoryRatio, double descriptorRatio, long now) {
    memory.add(memoryRatio);
    descriptors.add(descriptorRatio);
    if (memory.isIntervalOver(now)) {
      update(Resource.MEMORY, memory.takeMinimum(now));
    }
    if (descriptors.isIntervalOver(now)) {
      update(Resource.DESCRIPTORS, descriptors.takeMinimum(now));
    }
  }

  private void update(Resource resource, double figure) {
    HysteresisGauge gauge = gauges.get(resource);
    PressureLevel before = gauge.level();
    PressureLevel now = gauge.update(figure);
    if (now != before) {
      listener.changed(resource, before, now, figure);
    }
  }

  /** The pressure level of a resource. */
  public PressureLevel level(Resource resource) {
    return gauges.get(resource).level();
  }
}
