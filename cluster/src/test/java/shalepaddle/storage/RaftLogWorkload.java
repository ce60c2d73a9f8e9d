package shalepaddle.storage;

import io.microraft.RaftEndpoint;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import shalepaddle.encoding.Endpoint;
import shalepaddle.encoding.LogEntryCodec;

/**
 * Persists terms, votes, entries, a truncation after a conflict and a snapshot. Records the
 * expected state after each change, and which of these states was synced last.
 */
final class RaftLogWorkload {
  /** The state that a log store must restore; its text form is used for comparisons. */
  private static final class ExpectedState {
    private int term;
    private String votedFor;
    private final List<String> log = new ArrayList<>();
    private long snapshotIndex;

    private ExpectedState copy() {
      ExpectedState copy = new ExpectedState();
      copy.term = term;
      copy.votedFor = votedFor;
      copy.log.addAll(log);
      copy.snapshotIndex = snapshotIndex;
      return copy;
    }

    @Override
    public String toString() {
      return term + " " + votedFor + " " + snapshotIndex + " " + log;
    }
  }

  /** The expected state after each change, in the form of {@link #describe}. */
  final List<String> expectedStates = new ArrayList<>();

  /** The index in {@link #expectedStates} of the last synced state. */
  int lastSyncedIndex;

  private final ExpectedState expectedState = new ExpectedState();

  RaftLogWorkload() {
    expectedStates.add(expectedState.toString());
  }

  private void recordState(boolean isSynced) {
    expectedStates.add(expectedState.copy().toString());
    lastSyncedIndex = isSynced ? expectedStates.size() - 1 : lastSyncedIndex;
  }

  void run(RaftLogStore store) throws IOException {
    store.persistAndFlushLocalEndpoint(LogEntryCodec.localEndpointState("a", true));
    store.persistAndFlushInitialGroupMembers(groupOfThree());
    recordState(true);
    for (int term = 1; term <= 3; term++) {
      expectedState.term = term;
      expectedState.votedFor = term % 2 == 0 ? null : "b";
      store.persistAndFlushTerm(LogEntryCodec.termState(term, expectedState.votedFor));
      recordState(true);
      long firstIndex = expectedState.snapshotIndex + expectedState.log.size() + 1;
      for (long index = firstIndex; index < firstIndex + 3; index++) {
        store.persistLogEntries(List.of(entry(index, term)));
        expectedState.log.add(index + ":" + term);
        recordState(false);
      }
      store.flush();
      recordState(true);
      store.truncateLogEntriesFrom(firstIndex + 2);
      expectedState.log.remove(expectedState.log.size() - 1);
      recordState(false);
      store.persistLogEntries(List.of(entry(firstIndex + 2, term)));
      expectedState.log.add(firstIndex + 2 + ":" + term);
      recordState(false);
      store.flush();
      recordState(true);
      if (term == 2) {
        takeSnapshot(store);
      }
    }
  }

  private void takeSnapshot(RaftLogStore store) throws IOException {
    store.persistSnapshotChunk(chunk(4, 0, 2));
    recordState(false);
    store.persistSnapshotChunk(chunk(4, 1, 2));
    expectedState.snapshotIndex = 4;
    expectedState.log.subList(0, 4).clear();
    recordState(false);
    store.flush();
    recordState(true);
    store.truncateLogEntriesUntil(4);
    recordState(false);
    store.flush();
    recordState(true);
  }

  /** The expected state after the last change, in the form of {@link #describe}. */
  String currentState() {
    return expectedState.toString();
  }

  private static RaftGroupMembersView groupOfThree() {
    Set<RaftEndpoint> members = Set.of(new Endpoint("a"), new Endpoint("b"), new Endpoint("c"));
    return LogEntryCodec.modelFactory()
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(0)
        .setMembers(members)
        .setVotingMembers(members)
        .build();
  }

  static LogEntry entry(long index, int term) {
    return LogEntryCodec.modelFactory()
        .createLogEntryBuilder()
        .setIndex(index)
        .setTerm(term)
        .setOperation(("entry " + index + " of " + term).getBytes(StandardCharsets.UTF_8))
        .build();
  }

  private static SnapshotChunk chunk(long index, int chunkNumber, int chunkCount) {
    return LogEntryCodec.modelFactory()
        .createSnapshotChunkBuilder()
        .setIndex(index)
        .setTerm(1)
        .setSnapshotChunkIndex(chunkNumber)
        .setSnapshotChunkCount(chunkCount)
        .setGroupMembersView(groupOfThree())
        .setOperation(new byte[20])
        .build();
  }

  /** Describes a restored state as "TERM VOTE SNAPSHOT_INDEX [INDEX:TERM, ...]". */
  static String describe(RestoredRaftState state) {
    ExpectedState restoredState = new ExpectedState();
    if (state == null) {
      return restoredState.toString();
    }
    restoredState.term = state.getTermPersistentState().getTerm();
    restoredState.votedFor =
        state.getTermPersistentState().getVotedFor() == null
            ? null
            : (String) state.getTermPersistentState().getVotedFor().getId();
    restoredState.snapshotIndex =
        state.getSnapshotEntry() == null ? 0 : state.getSnapshotEntry().getIndex();
    for (LogEntry entry : state.getLogEntries()) {
      restoredState.log.add(entry.getIndex() + ":" + entry.getTerm());
    }
    return restoredState.toString();
  }
}
