/**
 * Connections to cache servers: {@link shalepaddle.upstream.ServerPools} has a {@link
 * shalepaddle.upstream.ServerPool} for each server, which queues attempts and writes them to its
 * connections within the limits.
 *
 * <p>All state belongs to the event loop of the {@link shalepaddle.engine.Dispatcher}; nothing here
 * is safe from another thread. The package may call the engine, the loop's clock and timers, the
 * membership list and the model. It knows neither clients nor fronts.
 */
package shalepaddle.upstream;
