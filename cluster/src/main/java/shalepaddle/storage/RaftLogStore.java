package shalepaddle.storage;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import shalepaddle.encoding.CborValues;
import shalepaddle.encoding.Endpoint;
import shalepaddle.encoding.LogEntryCodec;

/**
 * A member's term, vote, log and snapshot in one file that only grows, until it is written anew
 * without what no longer counts.
 *
 * <p>The idea is that of a log-structured store (Rosenblum and Ousterhout, "The Design and
 * Implementation of a Log-Structured File System", 1992): what holds is what the records say, read
 * from the first to the last. A crash can only cut the end short, and nothing that was forced.
 * Where more than half of the file, and {@value #ROOM} bytes, say nothing any more, what holds is
 * written to the next file under another name, forced, and named; only then the old one goes.
 *
 * <p>After a write or a force has failed, nothing is known of what that file holds past the last
 * force that succeeded: the system may have dropped the bytes, and a further force of the same file
 * succeeds all the same (Rebello et al., "Can Applications Recover from fsync Failures?", 2020). So
 * nothing more is written to it, and each call says why, until {@link #recover} has read what was
 * forced and has written that to another file. A process that starts can't know whether the one
 * before it saw a force fail: it too writes what it has read to another file before it is believed.
 *
 * <p>Not thread-safe: it belongs to the member's one thread.
 */
public final class RaftLogStore implements RaftStore, Closeable {
  /** Bytes that may be of no use before a file is written anew. */
  static final long ROOM = 4 << 20;

  private static final int FORMAT = 1;
  private static final String PREFIX = "journal-";
  private static final String NEXT = "next-";

  private static final byte HEADER = 1;
  private static final byte ENDPOINT = 2;
  private static final byte MEMBERS = 3;
  private static final byte TERM = 4;
  private static final byte ENTRY = 5;
  private static final byte CUT_FROM = 6;
  private static final byte CUT_UNTIL = 7;
  private static final byte CHUNK = 8;
  private static final byte DROP_CHUNKS = 9;

  private final LogDirectory disk;
  private final String group;
  private final String name;
  private final long room;

  // What holds, by the records.
  private RaftEndpointPersistentState endpoint;
  private RaftGroupMembersView members;
  private RaftTermPersistentState term;
  private final SortedMap<Long, LogEntry> entries = new TreeMap<>();
  private final SortedMap<Long, Map<Integer, SnapshotChunk>> chunks = new TreeMap<>();

  private long generation;
  private LogDirectory.Appender file;
  private long length;
  private long lengthAtBegin;

  /** Bytes of the file that were forced. */
  private long forced;

  private IOException failure;
  private final List<String> recoveryWarnings = new ArrayList<>();

  /**
   * Opens the journal of a member, which may be empty.
   *
   * @param group the group's name; a folder of another is turned down
   * @param name the member's; likewise
   * @throws CorruptLogException if what is there can't be believed, with file and remedy
   */
  public RaftLogStore(LogDirectory disk, String group, String name) throws IOException {
    this(disk, group, name, ROOM);
  }

  RaftLogStore(LogDirectory disk, String group, String name, long room) throws IOException {
    this.disk = disk;
    this.group = group;
    this.name = name;
    this.room = room;
    open();
  }

  /** The names of the group and of the member that a folder belongs to, null if it is empty. */
  public static List<String> readOwner(LogDirectory disk) throws IOException {
    String newest = newest(disk);
    if (newest == null) {
      return null;
    }
    RecordFormat.Read read = RecordFormat.read(disk.location() + "/" + newest, disk.read(newest));
    return header(disk, newest, read);
  }

  private static String newest(LogDirectory disk) throws IOException {
    return disk.names().stream()
        .filter(file -> file.startsWith(PREFIX))
        .max(String::compareTo)
        .orElse(null);
  }

  private static List<String> header(LogDirectory disk, String file, RecordFormat.Read read)
      throws IOException {
    if (read.whole().isEmpty() || read.whole().get(0).kind() != HEADER) {
      throw new CorruptLogException(
          disk.location()
              + "/"
              + file
              + " is no journal: take this folder away, and let the member join anew under a new"
              + " name");
    }
    return CborValues.decode(
        read.whole().get(0).body(),
        in -> {
          int format = in.readInt();
          if (format != FORMAT) {
            throw new CorruptLogException(
                "%s/%s is of format %d, and this version reads %d: start the version that wrote it"
                    .formatted(disk.location(), file, format, FORMAT));
          }
          return List.of(in.readText(), in.readText());
        });
  }

  /** Removes what was begun and never named, or is no longer needed: a failure came in between. */
  private void removeAllBut(String newest) throws IOException {
    // The newest one's name must outlive the others.
    disk.syncNames();
    for (String left : disk.names()) {
      if (!left.equals(newest)) {
        disk.delete(left);
      }
    }
  }

  private void open() throws IOException {
    String newest = newest(disk);
    removeAllBut(newest);
    if (newest == null) {
      begin(1);
      return;
    }
    String place = disk.location() + "/" + newest;
    RecordFormat.Read read = RecordFormat.read(place, disk.read(newest));
    List<String> owner = header(disk, newest, read);
    if (!owner.equals(List.of(group, name))) {
      throw new CorruptLogException(
          "%s belongs to member '%s' of group '%s', not to '%s' of '%s': name the folder of this member"
              .formatted(place, owner.get(1), owner.get(0), name, group));
    }
    restore(newest, read);
    if (read.torn() > 0) {
      recoveryWarnings.add(
          place + ": " + read.torn() + " bytes of a write that was cut short are left out");
    }
    begin(generation + 1);
  }

  /** Takes what the records of a file say, and nothing else, for what holds. */
  private void restore(String name, RecordFormat.Read read) throws IOException {
    endpoint = null;
    members = null;
    term = null;
    entries.clear();
    chunks.clear();
    String place = disk.location() + "/" + name;
    for (RecordFormat.Framed record : read.whole().subList(1, read.whole().size())) {
      take(place, record);
    }
    check(place);
    generation = Long.parseLong(name.substring(PREFIX.length()), 16);
  }

  /**
   * Tries to hold again after a failure: reads what was forced, which is all that anybody was told
   * of, and goes on with another file.
   *
   * @return false if the disk does not allow it now; it may be tried again
   */
  public boolean recover() {
    if (failure == null) {
      return true;
    }
    try {
      if (file != null) {
        file.close();
        file = null;
      }
      String newest = newest(disk);
      if (newest == null) {
        throw new IOException(disk.location() + " has lost its files");
      }
      byte[] bytes = disk.read(newest);
      boolean current = newest.equals(PREFIX + number(generation));
      byte[] sure = current ? Arrays.copyOf(bytes, (int) Math.min(bytes.length, forced)) : bytes;
      RecordFormat.Read read = RecordFormat.read(disk.location() + "/" + newest, sure);
      header(disk, newest, read);
      removeAllBut(newest);
      restore(newest, read);
      begin(generation + 1);
      failure = null;
      return true;
    } catch (IOException e) {
      failure = e;
      return false;
    }
  }

  private void take(String place, RecordFormat.Framed record) throws IOException {
    byte[] body = record.body();
    switch (record.kind()) {
      case ENDPOINT -> {
        boolean voting = CborValues.decode(body, CborValues.Reader::readBoolean);
        endpoint = endpoint(voting);
      }
      case MEMBERS -> members = CborValues.decode(body, LogEntryCodec::view);
      case TERM -> term = CborValues.decode(body, LogEntryCodec::term);
      case ENTRY -> {
        LogEntry entry = CborValues.decode(body, LogEntryCodec::entry);
        entries.put(entry.getIndex(), entry);
      }
      case CUT_FROM ->
          entries.tailMap(CborValues.decode(body, CborValues.Reader::readLong)).clear();
      case CUT_UNTIL ->
          entries.headMap(CborValues.decode(body, CborValues.Reader::readLong) + 1).clear();
      case CHUNK -> keep(CborValues.decode(body, LogEntryCodec::chunk));
      case DROP_CHUNKS -> chunks.remove(CborValues.decode(body, CborValues.Reader::readLong));
      default ->
          throw new CorruptLogException(
              "%s holds a record of kind %d, made by a later version: start that one"
                  .formatted(place, record.kind()));
    }
  }

  private RaftEndpointPersistentState endpoint(boolean voting) {
    return LogEntryCodec.model()
        .createRaftEndpointPersistentStateBuilder()
        .setLocalEndpoint(new Endpoint(name))
        .setVoting(voting)
        .build();
  }

  private void keep(SnapshotChunk chunk) {
    chunks
        .computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>())
        .put(chunk.getSnapshotChunkIndex(), chunk);
  }

  /** The log goes on where the snapshot ends, with no entry missing. */
  private void check(String place) throws IOException {
    SnapshotEntry snapshot = snapshot();
    long last = snapshot == null ? 0 : snapshot.getIndex();
    if (!entries.isEmpty() && entries.firstKey() > last + 1) {
      throw new CorruptLogException(
          "%s lacks the entries %d to %d: take this folder away, and let the member join anew"
              .formatted(place, last + 1, entries.firstKey() - 1));
    }
    if (!entries.isEmpty() && entries.lastKey() - entries.firstKey() + 1 != entries.size()) {
      throw new CorruptLogException(
          place + " lacks entries: take this folder away, and let the member join anew");
    }
  }

  /** The newest snapshot that is whole, null for none. */
  private SnapshotEntry snapshot() {
    SnapshotEntry newest = null;
    for (Map<Integer, SnapshotChunk> parts : chunks.values()) {
      SnapshotChunk first = parts.values().iterator().next();
      if (parts.size() == first.getSnapshotChunkCount()) {
        newest =
            LogEntryCodec.model()
                .createSnapshotEntryBuilder()
                .setIndex(first.getIndex())
                .setTerm(first.getTerm())
                .setSnapshotChunks(new ArrayList<>(parts.values()))
                .setGroupMembersView(first.getGroupMembersView())
                .build();
      }
    }
    return newest;
  }

  /** The member is one of these, with whom the group begins; all of them vote. */
  public void initializeGroup(Collection<String> names) throws IOException {
    Collection<RaftEndpoint> all = new LinkedHashSet<>();
    names.forEach(member -> all.add(new Endpoint(member)));
    persistAndFlushInitialGroupMembers(
        LogEntryCodec.model()
            .createRaftGroupMembersViewBuilder()
            .setLogIndex(0)
            .setMembers(all)
            .setVotingMembers(all)
            .build());
    persistAndFlushLocalEndpoint(endpoint(true));
  }

  /** What was read, to begin with; null where the member has never begun. */
  public RestoredRaftState restoredState() {
    if (endpoint == null || members == null) {
      return null;
    }
    SnapshotEntry snapshot = snapshot();
    long from = snapshot == null ? 0 : snapshot.getIndex();
    RaftTermPersistentState known =
        term != null
            ? term
            : LogEntryCodec.model()
                .createRaftTermPersistentStateBuilder()
                .setTerm(0)
                .setVotedFor(null)
                .build();
    return new RestoredRaftState(
        endpoint, members, known, snapshot, new ArrayList<>(entries.tailMap(from + 1).values()));
  }

  /** What an operator should hear of how it was found; empty if there is nothing. */
  public List<String> recoveryWarnings() {
    return List.copyOf(recoveryWarnings);
  }

  /** The last entry that is in it, of the snapshot or behind it. */
  public long lastIndex() {
    SnapshotEntry snapshot = snapshot();
    long last = snapshot == null ? 0 : snapshot.getIndex();
    return entries.isEmpty() ? last : Math.max(last, entries.lastKey());
  }

  /** The term that it knows, 0 for none. */
  public int term() {
    return term == null ? 0 : term.getTerm();
  }

  /** Bytes of its file. */
  public long sizeBytes() {
    return length;
  }

  /** Why nothing can be held any more, null while it can. */
  public IOException failure() {
    return failure;
  }

  private static String number(long generation) {
    return String.format(java.util.Locale.ROOT, "%016x", generation);
  }

  /** Writes all that holds to the file of this number, and goes on with that. */
  private void begin(long next) throws IOException {
    List<byte[]> all = new ArrayList<>();
    all.add(
        RecordFormat.frame(
            HEADER, CborValues.encode(this, (own, out) -> out.put(FORMAT).put(group).put(name))));
    if (endpoint != null) {
      all.add(
          RecordFormat.frame(
              ENDPOINT, CborValues.encode(endpoint.isVoting(), (v, out) -> out.put(v))));
    }
    if (members != null) {
      all.add(RecordFormat.frame(MEMBERS, CborValues.encode(members, LogEntryCodec::view)));
    }
    if (term != null) {
      all.add(RecordFormat.frame(TERM, CborValues.encode(term, LogEntryCodec::term)));
    }
    for (Map<Integer, SnapshotChunk> parts : chunks.values()) {
      for (SnapshotChunk chunk : parts.values()) {
        all.add(RecordFormat.frame(CHUNK, CborValues.encode(chunk, LogEntryCodec::chunk)));
      }
    }
    for (LogEntry entry : entries.values()) {
      all.add(RecordFormat.frame(ENTRY, CborValues.encode(entry, LogEntryCodec::entry)));
    }
    String old = PREFIX + number(generation);
    LogDirectory.Appender before = file;
    byte[] bytes = RecordFormat.join(all);
    LogDirectory.Appender written = create(next, bytes);
    boolean hadFile = generation > 0;
    file = written;
    generation = next;
    length = bytes.length;
    lengthAtBegin = length;
    forced = length;
    if (before != null) {
      before.close();
    }
    if (hadFile) {
      disk.delete(old);
    }
  }

  /** Makes the file of this number, whole and named, or closes what it has begun. */
  private LogDirectory.Appender create(long number, byte[] bytes) throws IOException {
    LogDirectory.Appender made = disk.create(NEXT + number(number));
    try {
      made.write(bytes);
      made.sync();
      disk.rename(NEXT + number(number), PREFIX + number(number));
      disk.syncNames();
      return made;
    } catch (IOException e) {
      made.close();
      throw e;
    }
  }

  /** Returns once all that was written survives a stop of the machine. */
  private void force() throws IOException {
    file.sync();
    forced = length;
  }

  private interface Step {
    void run() throws IOException;
  }

  /** Nothing more is done after a failure. */
  private void guarded(Step step) throws IOException {
    if (failure != null) {
      throw new IOException("the journal failed before: " + failure.getMessage(), failure);
    }
    try {
      step.run();
    } catch (IOException e) {
      failure = e;
      throw e;
    }
  }

  private void append(int kind, byte[] body) throws IOException {
    byte[] framed = RecordFormat.frame(kind, body);
    file.write(framed);
    length += framed.length;
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
    guarded(
        () -> {
          endpoint = endpoint(state.isVoting());
          append(ENDPOINT, CborValues.encode(state.isVoting(), (voting, out) -> out.put(voting)));
          force();
        });
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView view) throws IOException {
    guarded(
        () -> {
          members = view;
          append(MEMBERS, CborValues.encode(view, LogEntryCodec::view));
          force();
        });
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
    guarded(
        () -> {
          term = state;
          append(TERM, CborValues.encode(state, LogEntryCodec::term));
          force();
        });
  }

  @Override
  public void persistLogEntries(List<LogEntry> more) throws IOException {
    guarded(
        () -> {
          for (LogEntry entry : more) {
            entries.put(entry.getIndex(), entry);
            append(ENTRY, CborValues.encode(entry, LogEntryCodec::entry));
          }
        });
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    guarded(
        () -> {
          keep(chunk);
          append(CHUNK, CborValues.encode(chunk, LogEntryCodec::chunk));
        });
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    guarded(
        () -> {
          entries.tailMap(index).clear();
          append(CUT_FROM, CborValues.encode(index, (value, out) -> out.put(value)));
        });
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    guarded(
        () -> {
          entries.headMap(index + 1).clear();
          append(CUT_UNTIL, CborValues.encode(index, (value, out) -> out.put(value)));
        });
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    guarded(
        () -> {
          chunks.remove(index);
          append(DROP_CHUNKS, CborValues.encode(index, (value, out) -> out.put(value)));
        });
  }

  @Override
  public void flush() throws IOException {
    guarded(
        () -> {
          force();
          if (length > room && length > 2 * lengthAtBegin) {
            begin(generation + 1);
          }
        });
  }

  /** Writes nothing more; what was not forced may be lost. */
  @Override
  public void close() throws IOException {
    if (file != null) {
      file.close();
    }
    disk.close();
  }
}
