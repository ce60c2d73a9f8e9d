/**
 * The durable state of a member of a Raft group: its term, its vote, the log and the snapshot, in
 * segment files of one directory that belongs to it alone.
 *
 * <p>{@link shalepaddle.storage.RaftLogStore} is what the member calls. It joins {@code
 * LogRecovery} (reads the newest segment), {@code LogContents} (the state that the records add up
 * to), {@code SegmentWriter} (appends, syncs, switches to the next segment) and {@code
 * RecordFormat} (bytes).
 *
 * <p>All state is owned by the member's thread; nothing here is thread-safe. The package calls
 * {@code shalepaddle.encoding} and the disk, through {@link shalepaddle.storage.LogDirectory}, and
 * nothing else. Calls block on the disk.
 */
package shalepaddle.storage;
