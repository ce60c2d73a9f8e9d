/**
 * The list of cache servers: its form, and the client of the discovery service that follows it.
 *
 * <p>All state is owned by the event loop. A listener receives each list; this package decides
 * nothing on servers and knows no requests. It may call {@code loop}, {@code sockets}, {@code
 * settings} and {@code model}.
 */
package shalepaddle.membership;
