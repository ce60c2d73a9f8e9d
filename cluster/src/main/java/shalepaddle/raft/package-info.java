/**
 * One member of a Raft group: MicroRaft over a log store, a transport, a thread and a clock that
 * are passed in, so that the same code runs in virtual time in tests.
 *
 * <p>{@link shalepaddle.raft.RaftMember} joins the parts: {@code ReplicatedStateMachine} applies
 * committed entries to {@code shalepaddle.replicatedstate}, {@code RaftTimeouts} scales the
 * library's clock, {@code ElectionWatchdog} and {@code SnapshotBoundary} work around three stalls
 * of MicroRaft 0.7.
 *
 * <p>All state is owned by the member's thread, which a {@link shalepaddle.raft.MemberExecutor}
 * stands for; what other threads may read is volatile. The package may call {@code storage}, {@code
 * encoding} and {@code replicatedstate}; it knows no sockets and no files.
 */
package shalepaddle.raft;
