package shalepaddle.overload;

import java.util.List;

/**
 * What is measured and decided of a load balancer's own overload, at one moment.
 *
 * @param processorLevel how short the event loop is of processor time
 * @param memoryLevel how short memory is
 * @param descriptorLevel how short descriptors are
 * @param stood seconds of delay that stood in the event loop in the last interval of 100 ms
 * @param processor the part in use of the cores that the process may use, NaN if unknown
 * @param memory the part of the memory limit in use
 * @param descriptors the part of the descriptors in use
 * @param limit requests a second that are admitted, infinite where there is no limit
 * @param repeatsRefused repeats refused for want of first tries, since the start
 * @param tiers what became of requests, those that are worth most first
 */
public record OverloadSnapshot(
    PressureLevel processorLevel,
    PressureLevel memoryLevel,
    PressureLevel descriptorLevel,
    double stood,
    double processor,
    double memory,
    double descriptors,
    double limit,
    long repeatsRefused,
    List<Tier> tiers) {

  /**
   * Requests that are worth the same.
   *
   * @param passing the part of them that is admitted now, from 0 to 1
   * @param offered how many came, since the start
   * @param refused how many were refused for want of processor time, since the start
   */
  public record Tier(double passing, long offered, long refused) {}
}
