package shalepaddle.storage;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.MembershipChangeMode;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.encoding.Endpoint;
import shalepaddle.encoding.LogEntryCodec;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.replicatedstate.StateCommand;

/**
 * Checks the storage format against folders that an earlier version wrote.
 *
 * <p>{@code raft-log-format-1} is the folder of member m0 of group birds after a crash. It contains
 * the current segment, with a record of every kind and an incomplete record at its end, an older
 * segment, and an incomplete segment. {@code raft-log-format-1-reopened} contains the compacted
 * segment that the same version wrote when it opened that folder. Both folders were written by
 * version 0.1.0 and never change.
 */
class RaftLogFormatTest {
  private static final String RESOURCE_FOLDER = "/raft-log-format-1/";
  private static final String CURRENT_SEGMENT = "journal-0000000000000002";
  private static final String COMPACTED_SEGMENT = "journal-0000000000000003";
  private static final List<String> FILE_NAMES =
      List.of("journal-0000000000000001", CURRENT_SEGMENT, "lock", "next-0000000000000003");

  private static byte[] readResource(String name) throws IOException {
    try (InputStream stream = RaftLogFormatTest.class.getResourceAsStream(name)) {
      return stream.readAllBytes();
    }
  }

  private static void copyTo(Path folder) throws IOException {
    for (String file : FILE_NAMES) {
      Files.write(folder.resolve(file), readResource(RESOURCE_FOLDER + file));
    }
  }

  private static Proposal decodeProposal(LogEntry entry) throws IOException {
    return ReplicatedStateCodec.decodeProposal((byte[]) entry.getOperation());
  }

  @Test
  void opensLogFolderWrittenByEarlierVersion(@TempDir Path folder) throws Exception {
    copyTo(folder);
    RestoredRaftState state;
    try (FileLogDirectory directory = new FileLogDirectory(folder)) {
      assertEquals(Optional.of(new LogOwner("birds", "m0")), RaftLogStore.readOwner(directory));
      RaftLogStore store = new RaftLogStore(directory, "birds", "m0");
      assertEquals(
          List.of(
              folder.resolve(CURRENT_SEGMENT)
                  + ": ignored 17 bytes of an incomplete write at the end"),
          store.recoveryWarnings());
      assertEquals(9, store.lastIndex());
      assertEquals(3, store.term());
      state = store.restoredState();
    }

    assertEquals(new Endpoint("m0"), state.getLocalEndpointPersistentState().getLocalEndpoint());
    assertTrue(state.getLocalEndpointPersistentState().isVoting());
    assertEquals(
        List.of("m0", "m1", "m2"),
        LogEntryCodec.memberNames(state.getInitialGroupMembers().getMembers()));
    assertEquals(3, state.getTermPersistentState().getTerm());
    assertEquals(new Endpoint("m0"), state.getTermPersistentState().getVotedFor());

    List<LogEntry> entries = state.getLogEntries();
    assertEquals(List.of(5L, 6L, 7L, 8L, 9L), entries.stream().map(LogEntry::getIndex).toList());
    assertEquals(List.of(1, 2, 3, 3, 3), entries.stream().map(LogEntry::getTerm).toList());
    UpdateRaftGroupMembersOp change =
        assertInstanceOf(UpdateRaftGroupMembersOp.class, entries.get(0).getOperation());
    assertEquals(MembershipChangeMode.ADD_LEARNER, change.getMode());
    assertEquals(new Endpoint("m3"), change.getEndpoint());
    assertEquals(List.of("m0", "m1", "m2", "m3"), LogEntryCodec.memberNames(change.getMembers()));
    assertEquals(List.of("m0", "m1", "m2"), LogEntryCodec.memberNames(change.getVotingMembers()));
    assertEquals(
        new Proposal("id-6", 1003, new StateCommand.SetExclusion("s-1", false)),
        decodeProposal(entries.get(1)));
    assertArrayEquals(LogEntryCodec.EMPTY_OPERATION, (byte[]) entries.get(2).getOperation());
    assertEquals(
        new Proposal("id-8", 1006, new StateCommand.SetExclusion("s-3", true)),
        decodeProposal(entries.get(3)));
    assertEquals(
        new Proposal("id-9", 1007, new StateCommand.UnknownCommand(79)),
        decodeProposal(entries.get(4)));
  }

  @Test
  void readsSnapshotWrittenByEarlierVersion(@TempDir Path folder) throws Exception {
    copyTo(folder);
    RestoredRaftState state;
    try (RaftLogStore store = new RaftLogStore(new FileLogDirectory(folder), "birds", "m0")) {
      state = store.restoredState();
    }
    assertEquals(4, state.getSnapshotEntry().getIndex());
    assertEquals(1, state.getSnapshotEntry().getTerm());
    assertEquals(2, state.getSnapshotEntry().getSnapshotChunkCount());
    ByteArrayOutputStream encodedSnapshot = new ByteArrayOutputStream();
    List<?> chunks = (List<?>) state.getSnapshotEntry().getOperation();
    for (Object chunk : chunks) {
      encodedSnapshot.writeBytes((byte[]) ((SnapshotChunk) chunk).getOperation());
    }
    assertEquals(
        new ReplicatedState.Snapshot(
            4,
            1002,
            List.of("s-1", "s-2"),
            List.of(
                new ReplicatedState.RetainedResult(
                    "id-2", 1000, new CommandResult(CommandResult.Outcome.COMMITTED, 2)),
                new ReplicatedState.RetainedResult(
                    "id-3", 1001, new CommandResult(CommandResult.Outcome.COMMITTED, 3)),
                new ReplicatedState.RetainedResult(
                    "id-4", 1002, new CommandResult(CommandResult.Outcome.UNKNOWN_COMMAND, 4)))),
        ReplicatedStateCodec.decodeSnapshot(encodedSnapshot.toByteArray()));
  }

  /** An earlier version must be able to read the segment that this version writes. */
  @Test
  void compactsToTheSameBytesAsEarlierVersion(@TempDir Path folder) throws Exception {
    copyTo(folder);
    new RaftLogStore(new FileLogDirectory(folder), "birds", "m0").close();
    try (var files = Files.list(folder)) {
      assertEquals(
          List.of(COMPACTED_SEGMENT, "lock"),
          files.map(file -> file.getFileName().toString()).sorted().toList());
    }
    assertArrayEquals(
        readResource("/raft-log-format-1-reopened/" + COMPACTED_SEGMENT),
        Files.readAllBytes(folder.resolve(COMPACTED_SEGMENT)));
  }
}
