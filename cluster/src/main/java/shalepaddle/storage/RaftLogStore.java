package shalepaddle.storage;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import shalepaddle.encoding.Endpoint;
import shalepaddle.encoding.LogEntryCodec;

/**
 * Stores a member's term, vote, log and snapshot durably in an append-only segment, which is
 * compacted into a new segment once it has more than doubled.
 *
 * <p>A log-structured store (Rosenblum and Ousterhout, "The Design and Implementation of a
 * Log-Structured File System", 1992): the state results from the records of the newest segment. A
 * crash can only cut off records that were not synced. Once a segment exceeds {@value
 * #COMPACTION_THRESHOLD_BYTES} bytes and twice its initial length, the state is written to the next
 * segment, which is synced and renamed before the old one is deleted.
 *
 * <p>After a failed write or sync, the content of the segment after the last successful sync is
 * unknown: the operating system may have dropped it, and a repeated sync succeeds nevertheless
 * (Rebello et al., "Can Applications Recover from fsync Failures?", 2020). Every call then fails
 * with {@link LogStoreFailedException} until {@link #recover} has written the synced records to a
 * new segment. A new process cannot know whether a sync failed in the previous one, so opening a
 * log also writes a new segment.
 *
 * <p>Not thread-safe: owned by the member's thread. Calls block on the disk. {@link #close} also
 * closes the directory.
 */
public final class RaftLogStore implements RaftStore, Closeable {
  /** Segments up to this size are not compacted. */
  static final long COMPACTION_THRESHOLD_BYTES = 4 << 20;

  private final LogDirectory directory;
  private final LogOwner owner;
  private final long compactionThresholdBytes;
  private final SegmentWriter writer;
  private final List<String> recoveryWarnings = new ArrayList<>();
  private LogContents contents;

  /** The failure that put this store out of use, null while it works. */
  private IOException failure;

  /**
   * Opens the log of a member, or creates it if the directory is empty.
   *
   * @param directory the directory, locked by this process; {@link #close} closes it
   * @param group the name of the member's group
   * @param member the member's name
   * @throws LogOwnerMismatchException if the directory belongs to another group or member
   * @throws CorruptLogException if the log is damaged
   * @throws UnsupportedLogFormatException if the log has another format version
   * @throws UnknownRecordException if a later version wrote one of its records
   * @throws IOException if the disk fails
   */
  public RaftLogStore(LogDirectory directory, String group, String member) throws IOException {
    this(directory, group, member, COMPACTION_THRESHOLD_BYTES);
  }

  RaftLogStore(LogDirectory directory, String group, String member, long compactionThresholdBytes)
      throws IOException {
    this.directory = directory;
    this.owner = new LogOwner(group, member);
    this.compactionThresholdBytes = compactionThresholdBytes;
    this.writer = new SegmentWriter(directory);
    open();
  }

  /**
   * The owner of the log in a directory, empty if there is no log.
   *
   * @throws IOException as the constructor does
   */
  public static Optional<LogOwner> readOwner(LogDirectory directory) throws IOException {
    Optional<String> newestFileName = LogRecovery.newestSegmentName(directory);
    return newestFileName.isEmpty()
        ? Optional.empty()
        : Optional.of(LogRecovery.read(directory, newestFileName.get()).owner());
  }

  /** Restores the state of the newest segment, if there is one, and writes it to a new segment. */
  private void open() throws IOException {
    Optional<String> newestFileName = LogRecovery.newestSegmentName(directory);
    LogRecovery.deleteAllBut(directory, newestFileName);
    if (newestFileName.isEmpty()) {
      contents = new LogContents(owner.member());
    } else {
      LogRecovery.NewestSegment segment = LogRecovery.read(directory, newestFileName.get());
      if (!segment.owner().equals(owner)) {
        throw new LogOwnerMismatchException(segment.path(), owner, segment.owner());
      }
      restore(segment);
      if (segment.partialBytes() > 0) {
        recoveryWarnings.add(
            "%s: ignored %d bytes of an incomplete write at the end"
                .formatted(segment.path(), segment.partialBytes()));
      }
    }
    compact();
  }

  private void restore(LogRecovery.NewestSegment segment) throws IOException {
    contents = segment.contents();
    writer.continueAfter(SegmentWriter.generationOf(segment.fileName()));
  }

  /**
   * Makes a failed store usable again: reads the synced records and writes them to a new segment.
   * Records that were not synced are dropped, which is safe since the member has not acknowledged
   * them. MicroRaft must then be restarted from {@link #restoredState}, since its state in memory
   * may be ahead of the log.
   *
   * @return whether the store works again; false if the disk still fails, and a later call may
   *     succeed
   */
  public boolean recover() {
    if (failure == null) {
      return true;
    }
    try {
      writer.close();
      String newestFileName =
          LogRecovery.newestSegmentName(directory)
              .orElseThrow(() -> CorruptLogException.withoutSegment(directory.location()));
      // A segment newer than the writer's is from a compaction that failed after the rename. It was
      // synced before the rename, so it is read to its end.
      long maxBytes =
          writer.isCurrent(newestFileName) ? writer.syncedLengthBytes() : Integer.MAX_VALUE;
      LogRecovery.NewestSegment segment = LogRecovery.read(directory, newestFileName, maxBytes);
      LogRecovery.deleteAllBut(directory, Optional.of(newestFileName));
      restore(segment);
      compact();
      failure = null;
      return true;
    } catch (IOException e) {
      failure = e;
      return false;
    }
  }

  /** Writes the current state to a new segment, without superseded records. */
  private void compact() throws IOException {
    List<byte[]> records = new ArrayList<>();
    records.add(LogRecovery.encodeHeader(owner));
    records.addAll(contents.encode());
    writer.startNext(RecordFormat.join(records));
  }

  /**
   * Initializes this log for one of the initial members of a group, all of which vote. The log must
   * be new, which is not checked.
   *
   * @param members the names of all initial members
   * @throws IOException if the disk fails; the log may then be only partly initialized
   */
  public void initializeGroup(Collection<String> members) throws IOException {
    Collection<RaftEndpoint> endpoints = new LinkedHashSet<>();
    members.forEach(member -> endpoints.add(new Endpoint(member)));
    persistAndFlushInitialGroupMembers(
        LogEntryCodec.modelFactory()
            .createRaftGroupMembersViewBuilder()
            .setLogIndex(0)
            .setMembers(endpoints)
            .setVotingMembers(endpoints)
            .build());
    persistAndFlushLocalEndpoint(LogEntryCodec.localEndpointState(owner.member(), true));
  }

  /** The state from which the member is restored, null if it has never been in a group. */
  public RestoredRaftState restoredState() {
    return contents.restoredState();
  }

  /** Log lines for operators about repairs at opening, such as of an incomplete write. */
  public List<String> recoveryWarnings() {
    return List.copyOf(recoveryWarnings);
  }

  /** The index of the last entry, or of the snapshot if no entry follows it; 0 for none. */
  public long lastIndex() {
    return contents.lastIndex();
  }

  /** The current term, 0 for none. */
  public int term() {
    return contents.term();
  }

  /** The size of the current segment in bytes. */
  public long sizeBytes() {
    return writer.lengthBytes();
  }

  /** The failure since which nothing is persisted, null while the store works. */
  public IOException failure() {
    return failure;
  }

  private interface Operation {
    void run() throws IOException;
  }

  /**
   * Runs an operation unless an earlier one failed, and records its failure. Operations change the
   * contents in memory before the file, so the contents may be ahead of the disk after a failure;
   * {@link #recover} reads them from the disk again.
   */
  private void runUnlessFailed(Operation operation) throws IOException {
    if (failure != null) {
      throw new LogStoreFailedException(failure);
    }
    try {
      operation.run();
    } catch (IOException e) {
      failure = e;
      throw e;
    }
  }

  private void appendAndSync(byte[] encodedRecord) throws IOException {
    writer.append(encodedRecord);
    writer.sync();
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
    runUnlessFailed(
        () -> {
          contents.setLocalEndpoint(state.isVoting());
          appendAndSync(LogContents.encodeLocalEndpoint(state.isVoting()));
        });
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    runUnlessFailed(
        () -> {
          contents.setInitialMembers(members);
          appendAndSync(LogContents.encodeInitialMembers(members));
        });
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
    runUnlessFailed(
        () -> {
          contents.setTerm(term);
          appendAndSync(LogContents.encodeTerm(term));
        });
  }

  @Override
  public void persistLogEntries(List<LogEntry> entries) throws IOException {
    runUnlessFailed(
        () -> {
          for (LogEntry entry : entries) {
            contents.putEntry(entry);
            writer.append(LogContents.encodeEntry(entry));
          }
        });
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    runUnlessFailed(
        () -> {
          contents.putSnapshotChunk(chunk);
          writer.append(LogContents.encodeSnapshotChunk(chunk));
        });
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    runUnlessFailed(
        () -> {
          contents.truncateSuffix(index);
          writer.append(LogContents.encodeIndex(RecordKind.TRUNCATE_SUFFIX, index));
        });
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    runUnlessFailed(
        () -> {
          contents.truncatePrefix(index);
          writer.append(LogContents.encodeIndex(RecordKind.TRUNCATE_PREFIX, index));
        });
  }

  @Override
  public void deleteSnapshotChunks(long index, int chunkCount) throws IOException {
    runUnlessFailed(
        () -> {
          contents.deleteSnapshot(index);
          writer.append(LogContents.encodeIndex(RecordKind.DELETE_SNAPSHOT, index));
        });
  }

  @Override
  public void flush() throws IOException {
    runUnlessFailed(
        () -> {
          writer.sync();
          if (writer.needsCompaction(compactionThresholdBytes)) {
            compact();
          }
        });
  }

  /** Closes the segment and the directory. Records that were not synced may be lost. */
  @Override
  public void close() throws IOException {
    writer.close();
    directory.close();
  }
}
