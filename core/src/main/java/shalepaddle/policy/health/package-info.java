/**
 * The health of servers: outlier detection, slow start, load scores, start times and throughput.
 * Owned by one router; may depend only on {@link shalepaddle.policy.hash}.
 */
package shalepaddle.policy.health;
