/**
 * The state that a group replicates for the whole fleet, as a deterministic state machine: a
 * command of the replicated log and the previous state determine the next state and the command's
 * result. All nodes that have applied the same log have the same state. There is no clock: each
 * command contains its time.
 *
 * <p>Owned by the thread that applies the log. The package depends only on the Java library.
 */
package shalepaddle.replicatedstate;
