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
 * A member's durable term, vote, log and snapshot: an append-only segment that is compacted to the
 * next one when it has more than doubled.
 *
 * <p>A log-structured store (Rosenblum and Ousterhout, "The Design and Implementation of a
 * Log-Structured File System", 1992): the state is what the records of the newest segment add up
 * to. A crash can only cut off records that were not synced. Once a segment exceeds {@value
 * #COMPACTION_THRESHOLD_BYTES} bytes and twice its initial size, the state is written to the next
 * segment, which is synced and renamed before the old one is deleted.
 *
 * <p>After a failed write or sync the content of the segment after the last successful sync is
 * unknown: the operating system may have dropped it, and a repeated sync succeeds all the same
 * (Rebello et al., "Can Applications Recover from fsync Failures?", 2020). Every call then fails
 * with {@link LogStoreFailedException} until {@link #recover} has written what was synced to a new
 * segment. A process that starts can't know whether the one before it saw a sync fail, so opening a
 * log also writes a new segment.
 *
 * <p>Not thread-safe: owned by the member's thread. Calls block on the disk. {@link #close} closes
 * the directory as well.
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

  /** The first failure since the log was opened or recovered, null for none. */
  private IOException failure;

  /**
   * Opens the log of a member; an empty directory becomes its log.
   *
   * @param directory locked by this process; closed by {@link #close}
   * @param group the name of the member's group
   * @param member the member's name
   * @throws LogOwnerMismatchException if the directory is of another group or member
   * @throws CorruptLogException if the log is damaged
   * @throws UnsupportedLogFormatException if another version wrote it
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
   * Whose log a directory holds, empty if it has none.
   *
   * @throws IOException as the constructor does
   */
  public static Optional<LogOwner> readOwner(LogDirectory directory) throws IOException {
    Optional<String> newest = LogRecovery.newestSegmentName(directory);
    return newest.isEmpty()
        ? Optional.empty()
        : Optional.of(LogRecovery.read(directory, newest.get()).owner());
  }

  /** Reads the newest segment, if there is one, and continues with a new one. */
  private void open() throws IOException {
    Optional<String> newest = LogRecovery.newestSegmentName(directory);
    LogRecovery.deleteAllBut(directory, newest);
    if (newest.isEmpty()) {
      contents = new LogContents(owner.member());
    } else {
      LogRecovery.NewestSegment segment = LogRecovery.read(directory, newest.get());
      if (!segment.owner().equals(owner)) {
        throw new LogOwnerMismatchException(segment.path(), owner, segment.owner());
      }
      restore(segment);
      if (segment.partialBytes() > 0) {
        recoveryWarnings.add(
            "%s: %d bytes of a write that was cut short are left out"
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
   * Makes a failed store usable again: reads what was synced and writes it to a new segment. What
   * was not synced is dropped; the member has acknowledged none of it, so that is safe. The library
   * must then be restarted from {@link #restoredState}, since its memory may be ahead of the log.
   *
   * @return false if the disk still fails; may be called again
   */
  public boolean recover() {
    if (failure == null) {
      return true;
    }
    try {
      writer.close();
      String newest =
          LogRecovery.newestSegmentName(directory)
              .orElseThrow(() -> CorruptLogException.withoutSegment(directory.location()));
      // A newer segment than the writer's comes from a compaction that failed after its rename. It
      // was synced before that, so all of it counts.
      long maxBytes = writer.isCurrent(newest) ? writer.syncedLength() : Integer.MAX_VALUE;
      LogRecovery.NewestSegment segment = LogRecovery.read(directory, newest, maxBytes);
      LogRecovery.deleteAllBut(directory, Optional.of(newest));
      restore(segment);
      compact();
      failure = null;
      return true;
    } catch (IOException e) {
      failure = e;
      return false;
    }
  }

  /** Writes the state to the next segment, without superseded records. */
  private void compact() throws IOException {
    List<byte[]> records = new ArrayList<>();
    records.add(LogRecovery.encodeHeader(owner));
    records.addAll(contents.encode());
    writer.startNext(RecordFormat.join(records));
  }

  /**
   * Makes this the log of one of the members with whom a group begins; all of them vote. The log
   * must be new, which is not checked.
   *
   * @param members the names of all of them
   * @throws IOException if the disk fails; the log may then have only a part of this
   */
  public void initializeGroup(Collection<String> members) throws IOException {
    Collection<RaftEndpoint> endpoints = new LinkedHashSet<>();
    members.forEach(member -> endpoints.add(new Endpoint(member)));
    persistAndFlushInitialGroupMembers(
        LogEntryCodec.model()
            .createRaftGroupMembersViewBuilder()
            .setLogIndex(0)
            .setMembers(endpoints)
            .setVotingMembers(endpoints)
            .build());
    persistAndFlushLocalEndpoint(LogEntryCodec.localEndpoint(owner.member(), true));
  }

  /** What the member starts from, null if it has never taken part. */
  public RestoredRaftState restoredState() {
    return contents.restoredState();
  }

  /** Lines for operators about what was repaired when the log was opened, as a cut-off write. */
  public List<String> recoveryWarnings() {
    return List.copyOf(recoveryWarnings);
  }

  /** The last index of the snapshot or of an entry, 0 for none. */
  public long lastIndex() {
    return contents.lastIndex();
  }

  /** The current term, 0 for none. */
  public int term() {
    return contents.term();
  }

  /** Bytes of the current segment. */
  public long sizeBytes() {
    return writer.length();
  }

  /** Why nothing is persisted any more, null while the store works. */
  public IOException failure() {
    return failure;
  }

  private interface Operation {
    void run() throws IOException;
  }

  /**
   * Runs an operation unless an earlier one failed, and remembers a failure. Operations change the
   * contents in memory before the file, so after a failure the contents may be ahead of the disk;
   * {@link #recover} reads them again.
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
  public void deleteSnapshotChunks(long index, int count) throws IOException {
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

  /** Persists nothing more; what was not synced may be lost. */
  @Override
  public void close() throws IOException {
    writer.close();
    directory.close();
  }
}
