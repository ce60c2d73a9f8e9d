/**
 * Simulated scenarios: the real engine and the stand-ins of the test kit in one thread and in
 * virtual time, with faults drawn from a seed. Each scenario is checked for leaks and against the
 * four rules for load balancers:
 *
 * <ol>
 *   <li>Each request gets exactly one response in time, and no attempt is sent after its end.
 *   <li>The number of attempts of a request is limited, and an attempt is repeated only where that
 *       is safe.
 *   <li>No request is sent to a server after the grace of its drain.
 *   <li>A server that is warming up is not overloaded until it collapses.
 * </ol>
 */
package shalepaddle.simulation;
