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
 * Persists terms, votes, entries, a conflict and a snapshot, and records each state in between, and
 * which of them was the last to be synced.
 */
final class RaftLogWorkload {
  /** The state that was asked for, as text to compare with. */
  private static final class ExpectedState {
    private int term;
    private String vote;
    private final List<String> log = new ArrayList<>();
    private long snapshot;

    private ExpectedState copy() {
      ExpectedState copy = new ExpectedState();
      copy.term = term;
      copy.vote = vote;
      copy.log.addAll(log);
      copy.snapshot = snapshot;
      return copy;
    }

    @Override
    public String toString() {
      return term + " " + vote + " " + snapshot + " " + log;
    }
  }

  final List<String> states = new ArrayList<>();
  int lastSynced;
  private final ExpectedState current = new ExpectedState();

  RaftLogWorkload() {
    states.add(current.toString());
  }

  private void recordState(boolean synced) {
    states.add(current.copy().toString());
    lastSynced = synced ? states.size() - 1 : lastSynced;
  }

  void run(RaftLogStore store) throws IOException {
    store.persistAndFlushLocalEndpoint(LogEntryCodec.localEndpoint("a", true));
    store.persistAndFlushInitialGroupMembers(groupOfThree());
    recordState(true);
    for (int term = 1; term <= 3; term++) {
      current.term = term;
      current.vote = term % 2 == 0 ? null : "b";
      store.persistAndFlushTerm(LogEntryCodec.term(term, current.vote));
      recordState(true);
      long first = current.snapshot + current.log.size() + 1;
      for (long index = first; index < first + 3; index++) {
        store.persistLogEntries(List.of(entry(index, term)));
        current.log.add(index + ":" + term);
        recordState(false);
      }
      store.flush();
      recordState(true);
      store.truncateLogEntriesFrom(first + 2);
      current.log.remove(current.log.size() - 1);
      recordState(false);
      store.persistLogEntries(List.of(entry(first + 2, term)));
      current.log.add(first + 2 + ":" + term);
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
    current.snapshot = 4;
    current.log.subList(0, 4).clear();
    recordState(false);
    store.flush();
    recordState(true);
    store.truncateLogEntriesUntil(4);
    recordState(false);
    store.flush();
    recordState(true);
  }

  /** The state after the last change, as {@link #describe} gives it. */
  String currentState() {
    return current.toString();
  }

  private static RaftGroupMembersView groupOfThree() {
    Set<RaftEndpoint> all = Set.of(new Endpoint("a"), new Endpoint("b"), new Endpoint("c"));
    return LogEntryCodec.model()
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(0)
        .setMembers(all)
        .setVotingMembers(all)
        .build();
  }

  static LogEntry entry(long index, int term) {
    return LogEntryCodec.model()
        .createLogEntryBuilder()
        .setIndex(index)
        .setTerm(term)
        .setOperation(("entry " + index + " of " + term).getBytes(StandardCharsets.UTF_8))
        .build();
  }

  private static SnapshotChunk chunk(long index, int number, int count) {
    return LogEntryCodec.model()
        .createSnapshotChunkBuilder()
        .setIndex(index)
        .setTerm(1)
        .setSnapshotChunkIndex(number)
        .setSnapshotChunkCount(count)
        .setGroupMembersView(groupOfThree())
        .setOperation(new byte[20])
        .build();
  }

  /** The restored state, in the form of {@link #states}. */
  static String describe(RestoredRaftState state) {
    ExpectedState restored = new ExpectedState();
    if (state == null) {
      return restored.toString();
    }
    restored.term = state.getTermPersistentState().getTerm();
    restored.vote =
        state.getTermPersistentState().getVotedFor() == null
            ? null
            : (String) state.getTermPersistentState().getVotedFor().getId();
    restored.snapshot = state.getSnapshotEntry() == null ? 0 : state.getSnapshotEntry().getIndex();
    for (LogEntry entry : state.getLogEntries()) {
      restored.log.add(entry.getIndex() + ":" + entry.getTerm());
    }
    return restored.toString();
  }
}
