/**
 * Decides which reads share one answer, by request coalescing. Reasons and alternatives are in
 * {@code docs/design/request-coalescing.md}.
 *
 * <p>Pure decisions without threads, sockets or clocks: time is an argument. {@link
 * shalepaddle.coalescing.RequestCoalescer} owns the state of all classes here and belongs to the
 * thread of one event loop; settings and snapshots are immutable. May call {@code model} alone.
 */
package shalepaddle.coalescing;
