/**
 * The list of cache servers: its format, and the discovery client that follows it.
 *
 * <p>All state is owned by the event loop. A listener receives each list; this package makes no
 * decisions on servers and does not handle requests. It may call {@code loop}, {@code sockets},
 * {@code settings} and {@code model}.
 */
package shalepaddle.membership;
