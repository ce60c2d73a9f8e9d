package shalepaddle.overload;

import java.util.EnumMap;
import java.util.Map;

/**
 * Determines the pressure levels of this process's resources from readings. Reports each change of
 * a level once, with the reading that caused it.
 *
 * <p>The CPU level depends on the standing delay of the event loop, not on the processor usage: a
 * loop that is always busy but never late serves all requests, and when other processes use the
 * processor, the loop is late with little usage of its own. The delay is the length of the loop's
 * turns. The lateness of a timer would be a worse measure: a timer may be due at any point of a
 * turn, so the minimum over several timers is near zero even if the turns are long. The levels of
 * memory and descriptors depend on the fraction of the limit in use. For memory this is the minimum
 * over an interval, so that garbage which the next collection frees does not count.
 *
 * <p>Not thread-safe: owned by the event loop that it measures.
 */
public final class OverloadMeter {
  /**
   * Bounds of the minimum turn length of the loop, in seconds. Requests wait for 50 ms or more at
   * servers, so that 10 ms are not noticeable; at 30 ms the loop adds noticeably to every answer.
   */
  public static final HysteresisGauge.Bounds DELAY_BOUNDS =
      new HysteresisGauge.Bounds(0.01, 0.03, 0.004, 10);

  /**
   * Bounds of the memory use, as fractions of the memory limit; the rest is needed by a garbage
   * collection or a burst.
   */
  public static final HysteresisGauge.Bounds MEMORY_BOUNDS =
      new HysteresisGauge.Bounds(0.8, 0.92, 0.7, 2);

  /** Bounds of the descriptor use, as fractions of the descriptors that the process may open. */
  public static final HysteresisGauge.Bounds DESCRIPTOR_BOUNDS =
      new HysteresisGauge.Bounds(0.85, 0.95, 0.75, 10);

  private static final long INTERVAL_NANOS = 100_000_000L;

  /**
   * The interval of the memory minimum: long enough to include a garbage collection when memory is
   * nearly exhausted.
   */
  private static final long MEMORY_INTERVAL_NANOS = 2_000_000_000L;

  /**
   * The longest time after a stall in which turns are ignored. The loop first processes what
   * arrived during the stall, which takes about as long as the stall.
   */
  private static final long MAX_GRACE_NANOS = 1_000_000_000L;

  /** Receives changes of pressure levels. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Reports that a level has changed.
     *
     * @param reading the standing delay in seconds for {@link Resource#CPU}, fraction of the limit
     *     for the other resources
     */
    void onLevelChanged(
        Resource resource, PressureLevel previousLevel, PressureLevel newLevel, double reading);
  }

  private final MinimumOverInterval minDelay = new MinimumOverInterval(INTERVAL_NANOS);
  private final MinimumOverInterval minMemoryRatio = new MinimumOverInterval(MEMORY_INTERVAL_NANOS);
  private final MinimumOverInterval minDescriptorRatio = new MinimumOverInterval(INTERVAL_NANOS);
  private final Map<Resource, HysteresisGauge> gauges = new EnumMap<>(Resource.class);
  private final Listener listener;
  private long graceUntilNanos;
  private boolean isInGrace;

  /** Creates a meter with all levels at their lowest. */
  public OverloadMeter(Listener listener) {
    this.listener = listener;
    gauges.put(Resource.CPU, new HysteresisGauge(DELAY_BOUNDS));
    gauges.put(Resource.MEMORY, new HysteresisGauge(MEMORY_BOUNDS));
    gauges.put(Resource.DESCRIPTORS, new HysteresisGauge(DESCRIPTOR_BOUNDS));
  }

  /**
   * Records a stall of the process, in nanoseconds, that ends now. Turns are ignored until the loop
   * has had time to catch up, so that a garbage collection or a stopped process is not taken for
   * overload.
   */
  public void onEventLoopStall(long stallNanos, long now) {
    isInGrace = true;
    graceUntilNanos = now + Math.min(stallNanos, MAX_GRACE_NANOS);
  }

  /**
   * Records the end of a turn of the loop. Its length is the longest time that a request which
   * arrived during the turn had to wait; the average wait is half of it.
   *
   * @param isShedding whether requests are rejected; the level then stays at least {@link
   *     PressureLevel#BUSY}, since the delay is low only because of the rejections
   * @return the minimum delay in seconds of the interval that ends now, NaN if none ends
   */
  public double onLoopTurnEnd(long beganAtNanos, long now, boolean isShedding) {
    if (isInGrace && now - graceUntilNanos < 0) {
      minDelay.restart(now);
      return Double.NaN;
    }
    isInGrace = false;
    minDelay.add(Math.max(0, now - beganAtNanos) / 1e9);
    if (!minDelay.isIntervalOver(now)) {
      return Double.NaN;
    }
    double delaySeconds = minDelay.takeMinimum(now);
    update(
        Resource.CPU, isShedding ? Math.max(delaySeconds, DELAY_BOUNDS.busyBound()) : delaySeconds);
    return delaySeconds;
  }

  /**
   * Records the use of each resource as a fraction of its limit; must be called several times per
   * 100 ms.
   *
   * @param memoryRatio use of the heap or of off-heap memory, whichever is higher
   * @param descriptorRatio use of the file descriptors
   */
  public void onResourceUsage(double memoryRatio, double descriptorRatio, long now) {
    minMemoryRatio.add(memoryRatio);
    minDescriptorRatio.add(descriptorRatio);
    if (minMemoryRatio.isIntervalOver(now)) {
      update(Resource.MEMORY, minMemoryRatio.takeMinimum(now));
    }
    if (minDescriptorRatio.isIntervalOver(now)) {
      update(Resource.DESCRIPTORS, minDescriptorRatio.takeMinimum(now));
    }
  }

  private void update(Resource resource, double reading) {
    HysteresisGauge gauge = gauges.get(resource);
    PressureLevel previousLevel = gauge.level();
    PressureLevel newLevel = gauge.update(reading);
    if (newLevel != previousLevel) {
      listener.onLevelChanged(resource, previousLevel, newLevel, reading);
    }
  }

  /** The pressure level of a resource. */
  public PressureLevel level(Resource resource) {
    return gauges.get(resource).level();
  }
}
