/**
 * The durable state of a member of a Raft group: its term, its vote, the log and the snapshot. They
 * are stored in segment files, in a directory that only this member uses.
 *
 * <p>Members call {@link shalepaddle.storage.RaftLogStore}. It uses {@code LogRecovery} (reads the
 * newest segment), {@code LogContents} (the state that results from the records), {@code
 * SegmentWriter} (appends, syncs and switches to a new segment) and {@code RecordFormat} (the byte
 * format).
 *
 * <p>All state is owned by the member's thread; nothing here is thread-safe. The package calls only
 * {@code shalepaddle.encoding} and, through {@link shalepaddle.storage.LogDirectory}, the disk.
 * Calls block on the disk.
 */
package shalepaddle.storage;
