/**
 * What becomes of a request whose attempt failed: whether it is retried, within a budget, and how
 * long a rejected client should stay away. Owned by one router; calls no other rule.
 */
package shalepaddle.policy.retry;
