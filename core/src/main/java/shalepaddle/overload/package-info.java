/**
 * Whether the load balancer itself is overloaded, decided from what is measured of its own process,
 * and what is done about it: who is admitted, what waits and for how long, what is done without.
 * Pure: no I/O, no threads, no clock; time is an argument, in nanoseconds of any one clock. Knows
 * nothing of servers: what they bear is {@code policy}'s.
 */
package shalepaddle.overload;
