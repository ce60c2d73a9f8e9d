/**
 * Connections to cache servers: {@link shalepaddle.upstream.ServerPools} has a {@link
 * shalepaddle.upstream.ServerPool} for each server, which queues attempts and writes them to its
 * connections within the limits.
 *
 * <p>All state is owned by the event loop of the {@link shalepaddle.engine.Dispatcher}; no class is
 * thread-safe. The package may call the engine, the loop's clock and timers, the membership list
 * and the model. It does not depend on clients or fronts.
 */
package shalepaddle.upstream;
