/**
 * What two processes of one node share while one replaces the other: the listener that the platform
 * holds for both, and files with the state that each publishes to the other. It decides nothing on
 * servers, and makes no process wait for another.
 *
 * <p>{@link shalepaddle.hotrestart.HotRestart} polls on a thread of its own and hands results to
 * the node's event loop. The package may call {@code membership}, {@code model} and {@code
 * settings}.
 */
package shalepaddle.hotrestart;
