/**
 * One member of a Raft group: runs MicroRaft with a log store, a transport, a thread and a clock
 * that are passed in, so that tests run the same code in virtual time.
 *
 * <p>{@link shalepaddle.raft.RaftMember} connects the parts: {@code ReplicatedStateMachine} applies
 * committed entries to {@code shalepaddle.replicatedstate}, {@code RaftTimeouts} scales MicroRaft's
 * clock, {@code ElectionWatchdog} and {@code SnapshotBoundary} work around three stalls of
 * MicroRaft 0.7.
 *
 * <p>All state is owned by the member's thread, which is represented by a {@link
 * shalepaddle.raft.MemberExecutor}; fields that other threads may read are volatile. The package
 * may call {@code storage}, {@code encoding} and {@code replicatedstate}; it uses neither sockets
 * nor files directly.
 */
package shalepaddle.raft;
