package shalepaddle.overload;

import java.util.List;

/**
 * A snapshot of the load balancer's own overload. Immutable.
 *
 * @param processorLevel pressure level of processor time
 * @param memoryLevel pressure level of memory
 * @param descriptorLevel pressure level of file descriptors
 * @param delaySeconds the minimum delay of the event loop in the last interval of 100 ms
 * @param processorRatio use of the cores that the process may use as a fraction, NaN if unknown
 * @param memoryRatio the fraction of the memory limit in use
 * @param descriptorRatio the fraction of the descriptors in use
 * @param limitPerSecond requests per second that may be admitted; infinite if there is no limit
 * @param rejectedRetryCount retries rejected, since the start, for exceeding the retry ratio
 * @param tiers the tiers, from the highest priority down
 */
public record OverloadSnapshot(
    PressureLevel processorLevel,
    PressureLevel memoryLevel,
    PressureLevel descriptorLevel,
    double delaySeconds,
    double processorRatio,
    double memoryRatio,
    double descriptorRatio,
    double limitPerSecond,
    long rejectedRetryCount,
    List<Tier> tiers) {

  /**
   * The requests of one priority tier.
   *
   * @param admittedRatio the fraction of them that is admitted now, from 0 to 1
   * @param offeredCount how many have arrived since the start
   * @param rejectedCount how many have been rejected for lack of processor time since the start
   */
  public record Tier(double admittedRatio, long offeredCount, long rejectedCount) {}
}
