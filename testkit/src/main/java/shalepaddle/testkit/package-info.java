/**
 * Stand-ins for everything that a load balancer talks to: read-through cache servers, their origin,
 * discovery, and clients. Faults can be injected into each while it runs. The stand-ins implement
 * the published protocols in code of their own and don't depend on the load balancer, so that a
 * mistake in its code is not repeated here.
 *
 * <p>All of them run on the event loop of a {@link shalepaddle.testkit.LoopbackTransport}, either
 * over loopback sockets in real time or within one process in virtual time. All random numbers are
 * drawn from seeds. Methods must be called on that event loop unless documented otherwise.
 */
package shalepaddle.testkit;
