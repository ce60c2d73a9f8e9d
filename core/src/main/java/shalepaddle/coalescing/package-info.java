/**
 * Request coalescing: decides which reads share one answer. Reasons and alternatives are in {@code
 * docs/design/request-coalescing.md}.
 *
 * <p>Contains only decision logic, without threads, sockets or clocks: time is an argument. {@link
 * shalepaddle.coalescing.RequestCoalescer} owns the state of all classes here and belongs to the
 * thread of one event loop; settings and snapshots are immutable. May depend only on {@code model}.
 */
package shalepaddle.coalescing;
