/**
 * Clients' connections: {@link shalepaddle.front.ClientFront} builds the pipeline of each, from
 * {@link shalepaddle.front.InboundBuffer} (how much is read) over the codec's decoder to {@link
 * shalepaddle.front.ClientHandler} (submits commands, closes). {@link
 * shalepaddle.front.ClientConnections} limits how many there are and for how long.
 *
 * <p>All state belongs to the event loop of the {@link shalepaddle.engine.Dispatcher}; nothing here
 * is safe from another thread. The package may call the engine, the loop's clock, the overload
 * control, the flight recorder and the model. It knows no cache server and no decision.
 */
package shalepaddle.front;
