/**
 * A complete node on one event loop, from warm-up to drain. {@link shalepaddle.node.LoadBalancer}
 * wires front, engine, servers and discovery on any transport. {@link shalepaddle.node.Node} runs
 * it on an event loop thread, and {@link shalepaddle.node.NodeProcess} in a process with signals,
 * files and exit codes.
 *
 * <p>The event loop owns all state of a load balancer. Other threads (admin server, hot restart,
 * meters, signals) read the snapshots of {@code SnapshotPublisher} and submit tasks to the loop.
 * This package may call every other package of the engine; only the programs call it.
 */
package shalepaddle.node;
