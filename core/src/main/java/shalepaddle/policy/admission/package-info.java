/**
 * Which requests may go out now: as many as can be answered within their latency objective, and as
 * many fetches as the origin can serve. Owned by one router; calls no other rule.
 */
package shalepaddle.policy.admission;
