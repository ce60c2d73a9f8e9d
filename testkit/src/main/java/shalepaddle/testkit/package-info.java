/**
 * Stand-ins for everything that a load balancer talks to: cache servers that read through, their
 * origin, discovery, and clients; each with faults that can be switched on while it runs. They
 * speak the published protocols with code of their own, so that a mistake of the load balancer's is
 * not made here as well, and know nothing of it.
 *
 * <p>All of it runs on the one event loop of a {@link shalepaddle.testkit.LoopbackTransport}: over
 * loopback sockets in real time, or within one process in virtual time. All that is drawn is drawn
 * from seeds. Methods are to be called on that loop unless they say otherwise.
 */
package shalepaddle.testkit;
