package shalepaddle.storage;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import shalepaddle.encoding.CborValues;
import shalepaddle.encoding.LogEntryCodec;

/**
 * The state that results from the records of a log, in memory. {@link RaftLogStore} applies each
 * change here and appends it to the log. Owned by the member's thread.
 */
final class LogContents {
  private final String memberName;
  private RaftEndpointPersistentState localEndpoint;
  private RaftGroupMembersView initialMembers;
  private RaftTermPersistentState term;
  private final SortedMap<Long, LogEntry> entries = new TreeMap<>();

  /** The chunks, by the index of their snapshot and then by their number. */
  private final SortedMap<Long, Map<Integer, SnapshotChunk>> snapshotChunks = new TreeMap<>();

  LogContents(String memberName) {
    this.memberName = memberName;
  }

  /**
   * Applies a stored record.
   *
   * @param path the path of the segment, for messages
   * @throws UnknownRecordException if a later version wrote the record
   * @throws IOException if the body of the record cannot be decoded
   */
  void apply(RecordFormat.StoredRecord storedRecord, String path) throws IOException {
    byte[] body = storedRecord.body();
    switch (RecordKind.ofCode(storedRecord.kind(), path)) {
      case LOCAL_ENDPOINT ->
          setLocalEndpoint(CborValues.decode(body, CborValues.Reader::readBoolean));
      case INITIAL_MEMBERS ->
          initialMembers = CborValues.decode(body, LogEntryCodec::readMembersView);
      case TERM -> term = CborValues.decode(body, LogEntryCodec::readTerm);
      case ENTRY -> putEntry(CborValues.decode(body, LogEntryCodec::readEntry));
      case TRUNCATE_SUFFIX -> truncateSuffix(CborValues.decode(body, CborValues.Reader::readLong));
      case TRUNCATE_PREFIX -> truncatePrefix(CborValues.decode(body, CborValues.Reader::readLong));
      case SNAPSHOT_CHUNK ->
          putSnapshotChunk(CborValues.decode(body, LogEntryCodec::readSnapshotChunk));
      case DELETE_SNAPSHOT -> deleteSnapshot(CborValues.decode(body, CborValues.Reader::readLong));
      case HEADER -> throw new UnknownRecordException(path, storedRecord.kind());
    }
  }

  void setLocalEndpoint(boolean isVoting) {
    localEndpoint = LogEntryCodec.localEndpointState(memberName, isVoting);
  }

  void setInitialMembers(RaftGroupMembersView members) {
    initialMembers = members;
  }

  void setTerm(RaftTermPersistentState newTerm) {
    term = newTerm;
  }

  void putEntry(LogEntry entry) {
    entries.put(entry.getIndex(), entry);
  }

  /** Removes all entries from this index on, inclusive. */
  void truncateSuffix(long firstIndex) {
    entries.tailMap(firstIndex).clear();
  }

  /** Removes all entries up to this index, inclusive. */
  void truncatePrefix(long lastIndex) {
    entries.headMap(lastIndex + 1).clear();
  }

  void putSnapshotChunk(SnapshotChunk chunk) {
    snapshotChunks
        .computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>())
        .put(chunk.getSnapshotChunkIndex(), chunk);
  }

  void deleteSnapshot(long index) {
    snapshotChunks.remove(index);
  }

  /**
   * Checks that the entries follow the snapshot without a gap.
   *
   * @param path the path of the segment, for the message
   * @throws CorruptLogException if entries are missing
   */
  void checkContiguous(String path) throws CorruptLogException {
    if (entries.isEmpty()) {
      return;
    }
    long snapshotIndex = snapshotIndex();
    if (entries.firstKey() > snapshotIndex + 1) {
      throw CorruptLogException.withoutEntries(path, snapshotIndex + 1, entries.firstKey() - 1);
    }
    if (entries.lastKey() - entries.firstKey() + 1 != entries.size()) {
      throw CorruptLogException.withGaps(path);
    }
  }

  /** The newest snapshot with all its chunks, null for none. */
  private SnapshotEntry completeSnapshot() {
    SnapshotEntry newestSnapshot = null;
    for (Map<Integer, SnapshotChunk> chunks : snapshotChunks.values()) {
      SnapshotChunk firstChunk = chunks.values().iterator().next();
      if (chunks.size() == firstChunk.getSnapshotChunkCount()) {
        newestSnapshot =
            LogEntryCodec.modelFactory()
                .createSnapshotEntryBuilder()
                .setIndex(firstChunk.getIndex())
                .setTerm(firstChunk.getTerm())
                .setSnapshotChunks(new ArrayList<>(chunks.values()))
                .setGroupMembersView(firstChunk.getGroupMembersView())
                .build();
      }
    }
    return newestSnapshot;
  }

  private long snapshotIndex() {
    SnapshotEntry snapshot = completeSnapshot();
    return snapshot == null ? 0 : snapshot.getIndex();
  }

  /** The index of the last entry, or of the snapshot if no entry follows it; 0 for none. */
  long lastIndex() {
    long snapshotIndex = snapshotIndex();
    return entries.isEmpty() ? snapshotIndex : Math.max(snapshotIndex, entries.lastKey());
  }

  /** The current term, 0 for none. */
  int term() {
    return term == null ? 0 : term.getTerm();
  }

  /** The state from which MicroRaft is restored, null if the member has never been in a group. */
  RestoredRaftState restoredState() {
    if (localEndpoint == null || initialMembers == null) {
      return null;
    }
    SnapshotEntry snapshot = completeSnapshot();
    long snapshotIndex = snapshot == null ? 0 : snapshot.getIndex();
    return new RestoredRaftState(
        localEndpoint,
        initialMembers,
        term != null ? term : LogEntryCodec.termState(0, null),
        snapshot,
        new ArrayList<>(entries.tailMap(snapshotIndex + 1).values()));
  }

  /** Encodes this state as the current records that follow a segment's header. */
  List<byte[]> encode() throws IOException {
    List<byte[]> records = new ArrayList<>();
    if (localEndpoint != null) {
      records.add(encodeLocalEndpoint(localEndpoint.isVoting()));
    }
    if (initialMembers != null) {
      records.add(encodeInitialMembers(initialMembers));
    }
    if (term != null) {
      records.add(encodeTerm(term));
    }
    for (Map<Integer, SnapshotChunk> chunks : snapshotChunks.values()) {
      for (SnapshotChunk chunk : chunks.values()) {
        records.add(encodeSnapshotChunk(chunk));
      }
    }
    for (LogEntry entry : entries.values()) {
      records.add(encodeEntry(entry));
    }
    return records;
  }

  static byte[] encodeLocalEndpoint(boolean isVoting) throws IOException {
    return RecordFormat.encode(
        RecordKind.LOCAL_ENDPOINT, CborValues.encode(isVoting, (value, out) -> out.put(value)));
  }

  static byte[] encodeInitialMembers(RaftGroupMembersView members) throws IOException {
    return RecordFormat.encode(
        RecordKind.INITIAL_MEMBERS, CborValues.encode(members, LogEntryCodec::writeMembersView));
  }

  static byte[] encodeTerm(RaftTermPersistentState term) throws IOException {
    return RecordFormat.encode(RecordKind.TERM, CborValues.encode(term, LogEntryCodec::writeTerm));
  }

  static byte[] encodeEntry(LogEntry entry) throws IOException {
    return RecordFormat.encode(
        RecordKind.ENTRY, CborValues.encode(entry, LogEntryCodec::writeEntry));
  }

  static byte[] encodeSnapshotChunk(SnapshotChunk chunk) throws IOException {
    return RecordFormat.encode(
        RecordKind.SNAPSHOT_CHUNK, CborValues.encode(chunk, LogEntryCodec::writeSnapshotChunk));
  }

  /** Encodes a record whose body is only an index: a truncation or a deletion. */
  static byte[] encodeIndex(RecordKind kind, long index) throws IOException {
    return RecordFormat.encode(kind, CborValues.encode(index, (value, out) -> out.put(value)));
  }
}
