/**
 * The resources that two processes of one node share while one replaces the other: the listener
 * that the platform keeps open for both, and files in which each publishes its state. The package
 * makes no decisions on servers, and no process waits for another.
 *
 * <p>{@link shalepaddle.hotrestart.HotRestart} polls on a separate thread and passes results to the
 * node's event loop. The package may call {@code membership}, {@code model} and {@code settings}.
 */
package shalepaddle.hotrestart;
