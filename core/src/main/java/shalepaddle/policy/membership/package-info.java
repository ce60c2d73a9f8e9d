/**
 * Which servers there are: follows the endpoint list and polls for it. Owned by one router; may
 * call {@link shalepaddle.policy.health}, whose state of each server it creates.
 */
package shalepaddle.policy.membership;
