/**
 * The set of servers: follows the endpoint list and polls for it. Owned by one router; may depend
 * on {@link shalepaddle.policy.health}, whose per-server state it creates.
 */
package shalepaddle.policy.membership;
