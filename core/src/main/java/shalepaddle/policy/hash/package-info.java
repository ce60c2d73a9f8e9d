/** Hash functions that all rules and all load balancers share. Stateless; calls nothing else. */
package shalepaddle.policy.hash;
