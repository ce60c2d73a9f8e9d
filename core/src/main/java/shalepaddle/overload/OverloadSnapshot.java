package shalepaddle.overload;

import java.util.List;

/**
 * A snapshot of the load balancer's own overload. Immutable.
 *
 * @param processorLevel how short the event loop is of processor time
 * @param memoryLevel how short memory is
 * @param descriptorLevel how short descriptors are
 * @param delaySeconds the least delay of the event loop in the last interval of 100 ms
 * @param processorRatio the part in use of the cores that the process may use, NaN if unknown
 * @param memoryRatio the part of the memory limit in use
 * @param descriptorRatio the part of the descriptors in use
 * @param limitPerSecond requests a second that are admitted, infinite where there is no limit
 * @param rejectedRetryCount retries rejected for their ratio to first attempts, since the start
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
   * @param admittedRatio the part of them that is admitted now, from 0 to 1
   * @param offeredCount how many came, since the start
   * @param rejectedCount how many were rejected for a shortage of processor time, since the start
   */
  public record Tier(double admittedRatio, long offeredCount, long rejectedCount) {}
}
