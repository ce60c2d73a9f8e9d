/**
 * Processes requests between client connections and cache servers: calls, exchanges, attempts and
 * their deadlines. Notifies the policy of events and carries out the policy's decisions.
 * Independent of protocols and sockets.
 *
 * <p>{@link shalepaddle.engine.Dispatcher} connects the classes of this package. Their state is
 * owned by one event loop's thread, except for {@link shalepaddle.engine.Engine}, which submits
 * calls from other threads, and {@link shalepaddle.engine.WarmStartLog}; both are thread-safe.
 *
 * <p>May call {@code coalescing}, {@code diagnostics}, {@code loop}, {@code membership}, {@code
 * model}, {@code overload} and {@code policy}. Connections on both sides call it: {@code front}
 * submits calls, {@code upstream} implements {@link shalepaddle.engine.Upstream}.
 */
package shalepaddle.engine;
