/**
 * Admission rules: limit requests to those that can be answered within their latency objective, and
 * fetches to what the origin can serve. Owned by one router; does not depend on other rules.
 */
package shalepaddle.policy.admission;
