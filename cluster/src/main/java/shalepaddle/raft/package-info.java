/**
 * One member of a group that agrees on a log: Raft by MicroRaft, over a store, links, a thread and
 * a clock that are handed in, so that the same code runs in virtual time. What the log means is for
 * the state machine of {@code shalepaddle.replicatedstate}.
 */
package shalepaddle.raft;
