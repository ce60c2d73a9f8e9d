/**
 * Key placement: the consistent hash ring, the cap on a server's load, and the replicas of hot
 * keys. Owned by one router; may depend on {@link shalepaddle.policy.health}, for the servers on
 * the ring, and on {@link shalepaddle.policy.hash}.
 */
package shalepaddle.policy.placement;
