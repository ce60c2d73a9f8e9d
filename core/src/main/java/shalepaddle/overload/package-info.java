/**
 * Overload control of the load balancer itself: decides, from the delay of its event loop and its
 * use of memory and descriptors, which requests are admitted, how long they are queued and which
 * other measures are taken. All state belongs to one event loop. No I/O, threads or clocks: time is
 * an argument, in nanoseconds of any one clock. May depend only on {@link shalepaddle.model}. The
 * load of servers is handled in {@code policy}.
 */
package shalepaddle.overload;
