/**
 * The health of servers: outlier detection, slow start, load scores, start times and throughput.
 * Owned by one router; may call {@link shalepaddle.policy.hash} alone.
 */
package shalepaddle.policy.health;
