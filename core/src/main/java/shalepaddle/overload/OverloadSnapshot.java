package shalepaddle.overload;

import java.util.List;

/**
 * What is measured and decided of a load balancer's own overload, at one moment.
 *
 * @param processorLevel how short the event loop is of processor time
 * @param memoryLevel how short memory is
 * @param descriptorLevel how short descriptors are
 * @param delaySeconds seconds of delay that stood in the event loop in the last interval of 100 ms
 * @param processorRatio the part in use of the cores that the process may use, NaN if unknown
 * @param memoryRatio the part of the memory limit in use
 * @param descriptorRatio the part of the descriptors in use
 * @param limitPerSecond requests a second that are admitted, infinite where there is no limit
 * @param rejectedRetryCount repeats refused for want of first tries, since the start
 * @param tiers what became of requests, those that are worth most first
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
   * Requests that are worth the same.
   *
   * @param admittedRatio the part of them that is admitted now, from 0 to 1
   * @param offeredCount how many came, since the start
   * @param rejectedCount how many were refused for want of processor time, since the start
   */
  public record Tier(double admittedRatio, long offeredCount, long rejectedCount) {}
}
