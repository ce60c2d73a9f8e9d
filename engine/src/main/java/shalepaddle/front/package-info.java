/**
 * Client connections: {@link shalepaddle.front.ClientFront} builds the pipeline of each connection:
 * {@link shalepaddle.front.InboundBuffer}, which limits reading, the codec's decoder, and {@link
 * shalepaddle.front.ClientHandler}, which submits commands and closes the connection. {@link
 * shalepaddle.front.ClientConnections} limits the number of connections and their lifetime.
 *
 * <p>All state is owned by the event loop of the {@link shalepaddle.engine.Dispatcher}; no class is
 * thread-safe. The package may call the engine, the loop's clock, the overload control, the flight
 * recorder and the model. It does not depend on cache servers or on the policy.
 */
package shalepaddle.front;
