/**
 * What a group of nodes holds for others by majority, as a pure state machine: an entry of the
 * agreed log and the state before it give the state after it and the answer. Every node that
 * applies the same entries in the same order holds the same. No clock: an entry brings its time.
 */
package shalepaddle.replicatedstate;
