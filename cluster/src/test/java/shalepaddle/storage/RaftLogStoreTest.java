package shalepaddle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.encoding.Endpoint;
import shalepaddle.encoding.LogEntryCodec;

/** What a journal still knows, wherever its machine stopped. */
class RaftLogStoreTest {
  private static final int ALL = Integer.MAX_VALUE;

  private static RaftGroupMembersView members() {
    Set<io.microraft.RaftEndpoint> all =
        Set.of(new Endpoint("a"), new Endpoint("b"), new Endpoint("c"));
    return LogEntryCodec.model()
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(0)
        .setMembers(all)
        .setVotingMembers(all)
        .build();
  }

  private static LogEntry entry(long index, int term) {
    return LogEntryCodec.model()
        .createLogEntryBuilder()
        .setIndex(index)
        .setTerm(term)
        .setOperation(("entry " + index + " of " + term).getBytes(StandardCharsets.UTF_8))
        .build();
  }

  private static SnapshotChunk chunk(long index, int part, int parts) {
    return LogEntryCodec.model()
        .createSnapshotChunkBuilder()
        .setIndex(index)
        .setTerm(1)
        .setSnapshotChunkIndex(part)
        .setSnapshotChunkCount(parts)
        .setGroupMembersView(members())
        .setOperation(new byte[20])
        .build();
  }

  /** What was asked to be held, in the words of a test. */
  private static final class Written {
    private int term;
    private String vote;
    private final List<String> log = new ArrayList<>();
    private long snapshot;

    private Written copy() {
      Written copy = new Written();
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

  private static String read(RestoredRaftState state) {
    Written read = new Written();
    if (state == null) {
      return read.toString();
    }
    read.term = state.getTermPersistentState().getTerm();
    read.vote =
        state.getTermPersistentState().getVotedFor() == null
            ? null
            : (String) state.getTermPersistentState().getVotedFor().getId();
    read.snapshot = state.getSnapshotEntry() == null ? 0 : state.getSnapshotEntry().getIndex();
    for (LogEntry entry : state.getLogEntries()) {
      read.log.add(entry.getIndex() + ":" + entry.getTerm());
    }
    return read.toString();
  }

  /**
   * A member's life: terms, votes, entries, a conflict, a snapshot. Notes each state that was there
   * in between, and which of them was the last that was surely held.
   */
  private static final class Life {
    private final List<String> states = new ArrayList<>();
    private int held;
    private final Written now = new Written();

    Life() {
      states.add(now.toString());
    }

    private void did(boolean forced) {
      states.add(now.copy().toString());
      held = forced ? states.size() - 1 : held;
    }

    void live(RaftLogStore journal) throws IOException {
      journal.persistAndFlushLocalEndpoint(
          LogEntryCodec.model()
              .createRaftEndpointPersistentStateBuilder()
              .setLocalEndpoint(new Endpoint("a"))
              .setVoting(true)
              .build());
      journal.persistAndFlushInitialGroupMembers(members());
      did(true);
      for (int term = 1; term <= 3; term++) {
        now.term = term;
        now.vote = term % 2 == 0 ? null : "b";
        journal.persistAndFlushTerm(
            LogEntryCodec.model()
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(now.vote == null ? null : new Endpoint(now.vote))
                .build());
        did(true);
        long first = now.snapshot + now.log.size() + 1;
        for (long index = first; index < first + 3; index++) {
          journal.persistLogEntries(List.of(entry(index, term)));
          now.log.add(index + ":" + term);
          did(false);
        }
        journal.flush();
        did(true);
        journal.truncateLogEntriesFrom(first + 2);
        now.log.remove(now.log.size() - 1);
        did(false);
        journal.persistLogEntries(List.of(entry(first + 2, term)));
        now.log.add(first + 2 + ":" + term);
        did(false);
        journal.flush();
        did(true);
        if (term == 2) {
          journal.persistSnapshotChunk(chunk(4, 0, 2));
          did(false);
          journal.persistSnapshotChunk(chunk(4, 1, 2));
          now.snapshot = 4;
          now.log.subList(0, 4).clear();
          did(false);
          journal.flush();
          did(true);
          journal.truncateLogEntriesUntil(4);
          did(false);
          journal.flush();
          did(true);
        }
      }
    }
  }

  @Test
  void wholeLivesAreReadAsTheyWereLived() throws Exception {
    CrashingLogDirectory disk = new CrashingLogDirectory(ALL);
    Life life = new Life();
    RaftLogStore journal = new RaftLogStore(disk, "g", "a");
    life.live(journal);
    assertEquals("3 b 4 [5:2, 6:2, 7:3, 8:3, 9:3]", life.now.toString());
    RaftLogStore again = new RaftLogStore(disk.found(0, 1), "g", "a");
    assertEquals(life.now.toString(), read(again.restoredState()));
    assertEquals(List.of(), again.recoveryWarnings());
    assertEquals(9, again.lastIndex());
    assertEquals(3, again.term());
  }

  /**
   * Each step of the disk, each number of names that came through, and five parts of what was not
   * forced; once with a file that is never written anew, and once with one that always is.
   */
  @Test
  void aStopAtAnyMomentLosesNothingThatWasForced() throws Exception {
    int found = 0;
    for (long room : new long[] {Long.MAX_VALUE, 1}) {
      boolean whole = false;
      for (int steps = 0; !whole; steps++) {
        CrashingLogDirectory disk = new CrashingLogDirectory(steps);
        Life life = new Life();
        try {
          life.live(new RaftLogStore(disk, "g", "a", room));
          whole = true;
        } catch (CrashingLogDirectory.Crash e) {
          // The machine stopped there.
        }
        for (int names = 0; names <= disk.pendingNames(); names++) {
          for (double part : new double[] {0, 0.3, 0.5, 0.9, 1}) {
            String after =
                read(new RaftLogStore(disk.found(names, part), "g", "a", room).restoredState());
            // The step that was under way may be there as well.
            int state = life.states.lastIndexOf(after);
            assertTrue(
                state >= life.held || after.equals(life.now.toString()),
                () -> after + " after " + life.states.get(life.held));
            found++;
          }
        }
      }
    }
    assertTrue(found > 800, found + " disks were found");
  }

  /** The test above would see it: a journal that forces nothing loses what it promised. */
  @Test
  void aDiskThatForcesNothingIsFoundOut() throws Exception {
    CrashingLogDirectory disk = new CrashingLogDirectory(ALL);
    Life life = new Life();
    life.live(new RaftLogStore(new UnsyncedLogDirectory(disk, false), "g", "a"));
    // The names alone came through.
    CrashingLogDirectory found = disk.found(disk.pendingNames(), 0);
    assertThrows(CorruptLogException.class, () -> new RaftLogStore(found, "g", "a"));
  }

  @Test
  void anyDamagedByteIsFoundOutOrCutsTheEndAndIsTold() throws Exception {
    CrashingLogDirectory disk = new CrashingLogDirectory(ALL);
    Life life = new Life();
    life.live(new RaftLogStore(disk, "g", "a"));
    String file = disk.names().get(0);
    int length = disk.read(file).length;
    int refused = 0;
    for (int at = 0; at < length; at++) {
      CrashingLogDirectory damaged = disk.found(0, 1);
      damaged.damage(file, at);
      try {
        RaftLogStore journal = new RaftLogStore(damaged, "g", "a");
        assertEquals(1, journal.recoveryWarnings().size(), "a cut end is told");
        assertTrue(life.states.contains(read(journal.restoredState())));
      } catch (CorruptLogException e) {
        assertTrue(e.getMessage().contains(file) && e.getMessage().contains("join anew"));
        refused++;
      }
    }
    assertTrue(refused > length * 9 / 10, refused + " of " + length);
  }

  @Test
  void aForceThatFailsIsNeverTakenForOneThatDidNot() throws Exception {
    for (int force = 1; force < 12; force++) {
      CrashingLogDirectory disk = new CrashingLogDirectory(ALL).failingForce(force);
      Life life = new Life();
      RaftLogStore journal = new RaftLogStore(disk, "g", "a");
      assertThrows(IOException.class, () -> life.live(journal));
      assertNotNull(journal.failure());
      byte[] before = disk.read(disk.names().get(0));
      IOException again =
          assertThrows(IOException.class, () -> journal.persistLogEntries(List.of(entry(1, 1))));
      assertTrue(again.getMessage().contains("no space left"), again.getMessage());
      assertTrue(Arrays.equals(before, disk.read(disk.names().get(0))), "nothing more is written");
    }
  }

  /** The system drops what a failed force covered: a later one of the same file proves nothing. */
  @Test
  void afterAFailedForceAJournalHoldsWhatWasForcedAndGoesOn() throws Exception {
    for (int force = 1; force < 12; force++) {
      CrashingLogDirectory disk = new CrashingLogDirectory(ALL).failingForce(force);
      Life life = new Life();
      RaftLogStore journal = new RaftLogStore(disk, "g", "a");
      assertThrows(IOException.class, () -> life.live(journal));
      assertFalse(journal.recover(), "the disk fails still");
      disk.failingForce(ALL);
      assertTrue(journal.recover());
      assertNull(journal.failure());
      String held = read(journal.restoredState());
      assertEquals(life.states.get(life.held), held);
      journal.flush();
      assertEquals(held, read(new RaftLogStore(disk.found(0, 0), "g", "a").restoredState()));
    }
  }

  /** A process that starts cannot know whether the one before it saw a force fail. */
  @Test
  void whatAStartHasReadIsOnTheDiskFromThenOn() throws Exception {
    CrashingLogDirectory disk = new CrashingLogDirectory(ALL);
    RaftLogStore first = new RaftLogStore(disk, "g", "a");
    new Life().live(first);
    first.persistLogEntries(List.of(entry(10, 3)));
    disk.failing(true);
    assertThrows(IOException.class, first::flush);
    disk.failing(false);
    String believed = read(new RaftLogStore(disk, "g", "a").restoredState());
    assertEquals(believed, read(new RaftLogStore(disk.found(0, 0), "g", "a").restoredState()));
  }

  @Test
  void aFileIsWrittenAnewWhenMostOfItSaysNothing() throws Exception {
    CrashingLogDirectory disk = new CrashingLogDirectory(ALL);
    RaftLogStore journal = new RaftLogStore(disk, "g", "a", 10_000);
    new Life().live(journal);
    for (int i = 0; i < 2000; i++) {
      journal.persistLogEntries(List.of(entry(10, 3)));
      journal.truncateLogEntriesFrom(10);
      journal.flush();
      assertTrue(journal.sizeBytes() < 12_000, journal.sizeBytes() + " bytes");
      assertEquals(1, disk.names().size());
    }
    String before = read(journal.restoredState());
    assertEquals(before, read(new RaftLogStore(disk.found(0, 1), "g", "a").restoredState()));
  }

  @Test
  void foldersOfOthersAndOfOtherFormatsAreTurnedDownWithTheRemedy() throws Exception {
    CrashingLogDirectory disk = new CrashingLogDirectory(ALL);
    new Life().live(new RaftLogStore(disk, "g", "a"));
    assertEquals(List.of("g", "a"), RaftLogStore.readOwner(disk));
    assertNull(RaftLogStore.readOwner(new CrashingLogDirectory(ALL)));
    CorruptLogException other =
        assertThrows(CorruptLogException.class, () -> new RaftLogStore(disk.found(0, 1), "g", "b"));
    assertTrue(other.getMessage().contains("belongs to member 'a' of group 'g'"));
    assertThrows(CorruptLogException.class, () -> new RaftLogStore(disk.found(0, 1), "h", "a"));
  }

  @Test
  void aRealFolderIsHeldByOneAtATime(@TempDir Path folder) throws Exception {
    Life life = new Life();
    try (RaftLogStore journal = new RaftLogStore(new FileLogDirectory(folder), "g", "a")) {
      life.live(journal);
      IOException held = assertThrows(IOException.class, () -> new FileLogDirectory(folder));
      assertTrue(held.getMessage().contains("held by another process"));
    }
    Path file;
    try (var files = Files.list(folder)) {
      file = files.filter(f -> f.toString().contains("journal-")).findFirst().orElseThrow();
    }
    Files.write(file, new byte[] {1, 2, 3}, java.nio.file.StandardOpenOption.APPEND);
    try (RaftLogStore journal = new RaftLogStore(new FileLogDirectory(folder), "g", "a")) {
      assertEquals(life.now.toString(), read(journal.restoredState()));
      assertTrue(
          journal.recoveryWarnings().get(0).contains("3 bytes of a write that was cut short"));
    }
  }
}
