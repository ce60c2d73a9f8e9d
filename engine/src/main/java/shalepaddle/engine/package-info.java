/**
 * The way of a request between its client's connection and its cache servers: calls, exchanges,
 * attempts and their deadlines. It notifies the policy of what happens and carries out what the
 * policy decides; it knows no protocol and no socket.
 *
 * <p>{@link shalepaddle.engine.Dispatcher} joins the parts. One event loop's thread owns the state
 * of all classes here, but for {@link shalepaddle.engine.Engine}, which other threads submit calls
 * by, and {@link shalepaddle.engine.WarmStartLog}; both are thread-safe.
 *
 * <p>May call {@code coalescing}, {@code diagnostics}, {@code loop}, {@code membership}, {@code
 * model}, {@code overload} and {@code policy}. Connections on both sides call it: {@code front}
 * submits calls, {@code upstream} implements {@link shalepaddle.engine.Upstream}.
 */
package shalepaddle.engine;
