package shalepaddle.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.encoding.CborValues;

/** What a log store restores, wherever its machine stopped. */
class RaftLogStoreTest {
  private static final int NO_LIMIT = Integer.MAX_VALUE;

  @Test
  void restoresWhatWasPersisted() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    RaftLogWorkload workload = new RaftLogWorkload();
    RaftLogStore store = new RaftLogStore(directory, "g", "a");
    workload.run(store);
    assertEquals("3 b 4 [5:2, 6:2, 7:3, 8:3, 9:3]", workload.currentState());
    RaftLogStore reopened = new RaftLogStore(directory.afterCrash(0, 1), "g", "a");
    assertEquals(workload.currentState(), RaftLogWorkload.describe(reopened.restoredState()));
    assertEquals(List.of(), reopened.recoveryWarnings());
    assertEquals(9, reopened.lastIndex());
    assertEquals(3, reopened.term());
  }

  /**
   * Stops at each call of the disk, with each number of name changes that survive and five parts of
   * the bytes that were not synced; once with a segment that is never compacted, and once with one
   * that always is.
   */
  @Test
  void losesNothingSyncedWhereverTheMachineStops() throws Exception {
    int crashes = 0;
    for (long threshold : new long[] {Long.MAX_VALUE, 1}) {
      boolean completed = false;
      for (int calls = 0; !completed; calls++) {
        CrashingLogDirectory directory = new CrashingLogDirectory(calls);
        RaftLogWorkload workload = new RaftLogWorkload();
        try {
          workload.run(new RaftLogStore(directory, "g", "a", threshold));
          completed = true;
        } catch (CrashingLogDirectory.Crash e) {
          // The machine stopped there.
        }
        for (int syncedNames = 0; syncedNames <= directory.unsyncedNameChanges(); syncedNames++) {
          for (double unsyncedPart : new double[] {0, 0.3, 0.5, 0.9, 1}) {
            String after =
                RaftLogWorkload.describe(
                    new RaftLogStore(
                            directory.afterCrash(syncedNames, unsyncedPart), "g", "a", threshold)
                        .restoredState());
            // The change that was under way may have survived as well.
            int state = workload.states.lastIndexOf(after);
            assertTrue(
                state >= workload.lastSynced || after.equals(workload.currentState()),
                () -> after + " after " + workload.states.get(workload.lastSynced));
            crashes++;
          }
        }
      }
    }
    assertTrue(crashes > 800, crashes + " crashed directories");
  }

  /** Shows that the test above would find a store that does not sync. */
  @Test
  void detectsDiskThatIgnoresSync() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    RaftLogWorkload workload = new RaftLogWorkload();
    workload.run(new RaftLogStore(new UnsyncedLogDirectory(directory, false), "g", "a"));
    // Only the names survive.
    CrashingLogDirectory crashedDirectory =
        directory.afterCrash(directory.unsyncedNameChanges(), 0);
    assertThrows(CorruptLogException.class, () -> new RaftLogStore(crashedDirectory, "g", "a"));
  }

  @Test
  void reportsEveryDamagedByte() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    RaftLogWorkload workload = new RaftLogWorkload();
    workload.run(new RaftLogStore(directory, "g", "a"));
    String file = directory.names().get(0);
    int length = directory.read(file).length;
    int rejected = 0;
    for (int at = 0; at < length; at++) {
      CrashingLogDirectory damaged = directory.afterCrash(0, 1);
      damaged.damage(file, at);
      try {
        RaftLogStore store = new RaftLogStore(damaged, "g", "a");
        assertEquals(1, store.recoveryWarnings().size(), "a partial write is reported");
        assertTrue(workload.states.contains(RaftLogWorkload.describe(store.restoredState())));
      } catch (CorruptLogException e) {
        assertTrue(e.getMessage().contains(file) && e.getMessage().contains("join anew"));
        rejected++;
      }
    }
    assertTrue(rejected > length * 9 / 10, rejected + " of " + length);
  }

  @Test
  void rejectsWritesAfterFailedSync() throws Exception {
    for (int failingSync = 1; failingSync < 12; failingSync++) {
      CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT).failFromSync(failingSync);
      RaftLogWorkload workload = new RaftLogWorkload();
      RaftLogStore store = new RaftLogStore(directory, "g", "a");
      assertThrows(IOException.class, () -> workload.run(store));
      assertNotNull(store.failure());
      byte[] before = directory.read(directory.names().get(0));
      LogStoreFailedException rejected =
          assertThrows(
              LogStoreFailedException.class,
              () -> store.persistLogEntries(List.of(RaftLogWorkload.entry(1, 1))));
      assertTrue(rejected.getMessage().contains("no space left"), rejected.getMessage());
      assertTrue(
          Arrays.equals(before, directory.read(directory.names().get(0))),
          "nothing more is written");
    }
  }

  /** After a failed sync the operating system drops the bytes, and a later sync succeeds. */
  @Test
  void recoversSyncedStateAfterFailedSync() throws Exception {
    for (int failingSync = 1; failingSync < 12; failingSync++) {
      CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT).failFromSync(failingSync);
      RaftLogWorkload workload = new RaftLogWorkload();
      RaftLogStore store = new RaftLogStore(directory, "g", "a");
      assertThrows(IOException.class, () -> workload.run(store));
      assertFalse(store.recover(), "the disk still fails");
      directory.failFromSync(NO_LIMIT);
      assertTrue(store.recover());
      assertNull(store.failure());
      String restored = RaftLogWorkload.describe(store.restoredState());
      assertEquals(workload.states.get(workload.lastSynced), restored);
      store.flush();
      assertEquals(
          restored,
          RaftLogWorkload.describe(
              new RaftLogStore(directory.afterCrash(0, 0), "g", "a").restoredState()));
    }
  }

  /** A process that starts can't know whether a sync failed in the one before it. */
  @Test
  void persistsWhatItReadWhenOpened() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    RaftLogStore first = new RaftLogStore(directory, "g", "a");
    new RaftLogWorkload().run(first);
    first.persistLogEntries(List.of(RaftLogWorkload.entry(10, 3)));
    directory.setFailing(true);
    assertThrows(IOException.class, first::flush);
    directory.setFailing(false);
    String recovered =
        RaftLogWorkload.describe(new RaftLogStore(directory, "g", "a").restoredState());
    assertEquals(
        recovered,
        RaftLogWorkload.describe(
            new RaftLogStore(directory.afterCrash(0, 0), "g", "a").restoredState()));
  }

  @Test
  void compactsSegmentWhenMostOfItIsSuperseded() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    RaftLogStore store = new RaftLogStore(directory, "g", "a", 10_000);
    new RaftLogWorkload().run(store);
    for (int i = 0; i < 2000; i++) {
      store.persistLogEntries(List.of(RaftLogWorkload.entry(10, 3)));
      store.truncateLogEntriesFrom(10);
      store.flush();
      assertTrue(store.sizeBytes() < 12_000, store.sizeBytes() + " bytes");
      assertEquals(1, directory.names().size());
    }
    String before = RaftLogWorkload.describe(store.restoredState());
    assertEquals(
        before,
        RaftLogWorkload.describe(
            new RaftLogStore(directory.afterCrash(0, 1), "g", "a").restoredState()));
  }

  @Test
  void rejectsDirectoryOfAnotherOwner() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    new RaftLogWorkload().run(new RaftLogStore(directory, "g", "a"));
    assertEquals(Optional.of(new LogOwner("g", "a")), RaftLogStore.readOwner(directory));
    assertEquals(Optional.empty(), RaftLogStore.readOwner(new CrashingLogDirectory(NO_LIMIT)));
    LogOwnerMismatchException other =
        assertThrows(
            LogOwnerMismatchException.class,
            () -> new RaftLogStore(directory.afterCrash(0, 1), "g", "b"));
    assertTrue(other.getMessage().contains("belongs to member 'a' of group 'g'"));
    assertThrows(
        LogOwnerMismatchException.class,
        () -> new RaftLogStore(directory.afterCrash(0, 1), "h", "a"));
  }

  private static CrashingLogDirectory directoryWith(byte[]... records) throws IOException {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    try (LogDirectory.Appender segment = directory.create("journal-0000000000000007")) {
      segment.write(RecordFormat.join(List.of(records)));
    }
    return directory;
  }

  @Test
  void rejectsRecordAndFormatOfLaterVersion() throws Exception {
    byte[] header = LogRecovery.encodeHeader(new LogOwner("g", "a"));
    byte[] kind = ByteBuffer.allocate(9).putInt(0).putInt(0).put((byte) 77).array();
    CRC32 checksum = new CRC32();
    checksum.update(new byte[] {0, 0, 0, 0, 77});
    ByteBuffer.wrap(kind).putInt(4, (int) checksum.getValue());
    UnknownRecordException record =
        assertThrows(
            UnknownRecordException.class,
            () -> new RaftLogStore(directoryWith(header, kind), "g", "a"));
    assertEquals(
        "disk/journal-0000000000000007 holds a record of kind 77, made by a later version: start"
            + " that one",
        record.getMessage());
    byte[] format2 =
        RecordFormat.encode(
            RecordKind.HEADER, CborValues.encode(2, (value, out) -> out.put(value)));
    UnsupportedLogFormatException format =
        assertThrows(
            UnsupportedLogFormatException.class,
            () -> new RaftLogStore(directoryWith(format2), "g", "a"));
    assertEquals(
        "disk/journal-0000000000000007 is of format 2, and this version reads 1: start the version"
            + " that wrote it",
        format.getMessage());
  }

  @Test
  void locksDirectoryOfTheFileSystem(@TempDir Path path) throws Exception {
    RaftLogWorkload workload = new RaftLogWorkload();
    try (RaftLogStore store = new RaftLogStore(new FileLogDirectory(path), "g", "a")) {
      workload.run(store);
      LogDirectoryLockedException locked =
          assertThrows(LogDirectoryLockedException.class, () -> new FileLogDirectory(path));
      assertTrue(locked.getMessage().contains("held by another process"));
    }
    Path file;
    try (var files = Files.list(path)) {
      file = files.filter(f -> f.toString().contains("journal-")).findFirst().orElseThrow();
    }
    Files.write(file, new byte[] {1, 2, 3}, StandardOpenOption.APPEND);
    try (RaftLogStore store = new RaftLogStore(new FileLogDirectory(path), "g", "a")) {
      assertEquals(workload.currentState(), RaftLogWorkload.describe(store.restoredState()));
      assertTrue(store.recoveryWarnings().get(0).contains("3 bytes of a write that was cut short"));
    }
  }
}
