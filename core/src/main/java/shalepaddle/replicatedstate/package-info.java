/**
 * What a group holds for the whole fleet, as a deterministic state machine: a command of the
 * replicated log and the state before it give the state after it and the command's result. Every
 * node that applies the same log has the same state. There is no clock: a command brings its time.
 *
 * <p>Owned by the thread that applies the log. The package calls nothing but the Java library.
 */
package shalepaddle.replicatedstate;
