/** Hash functions shared by all rules and all load balancers. Stateless, without dependencies. */
package shalepaddle.policy.hash;
