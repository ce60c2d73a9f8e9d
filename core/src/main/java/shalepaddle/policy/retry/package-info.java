/**
 * Retry rules: whether a request whose attempt failed is retried, within a budget, and how long a
 * rejected client should wait. Owned by one router; does not depend on other rules.
 */
package shalepaddle.policy.retry;
