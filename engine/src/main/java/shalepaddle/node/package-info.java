/**
 * A complete node around one event loop, and its life from warm-up to drain. {@link
 * shalepaddle.node.LoadBalancer} wires front, engine, servers and discovery on any transport;
 * {@link shalepaddle.node.Node} gives it an event loop thread, {@link shalepaddle.node.NodeProcess}
 * a process with signals, files and exit codes.
 *
 * <p>The event loop owns all state of a load balancer. Other threads (admin server, hot restart,
 * meters, signals) read the snapshots of {@code SnapshotPublisher} and submit tasks to the loop.
 * This package may call every other package of the engine; none but the programs calls it.
 */
package shalepaddle.node;
