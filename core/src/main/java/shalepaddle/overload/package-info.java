/**
 * Overload control of the load balancer itself: from the delay of its event loop, its memory and
 * its descriptors, which requests are admitted, how long they are queued and what is reduced. All
 * state belongs to one event loop. No I/O, threads or clock: time is an argument, in nanoseconds of
 * any one clock. May call {@link shalepaddle.model} alone; the load of servers is the concern of
 * {@code policy}.
 */
package shalepaddle.overload;
