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

/** Checks the state that a log store restores after crashes, failed syncs and damage. */
class RaftLogStoreTest {
  private static final int NO_LIMIT = Integer.MAX_VALUE;

  @Test
  void restoresPersistedState() throws Exception {
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
   * Crashes at each call of the directory, with each possible number of surviving creations,
   * renames and deletions of files, and five ratios of surviving unsynced bytes; once with a
   * segment that is never compacted, and once with one that is always compacted.
   */
  @Test
  void restoresSyncedStateAfterCrashAtAnyCall() throws Exception {
    int checkedStates = 0;
    for (long compactionThresholdBytes : new long[] {Long.MAX_VALUE, 1}) {
      boolean isCompleted = false;
      for (int callsBeforeCrash = 0; !isCompleted; callsBeforeCrash++) {
        CrashingLogDirectory directory = new CrashingLogDirectory(callsBeforeCrash);
        RaftLogWorkload workload = new RaftLogWorkload();
        try {
          workload.run(new RaftLogStore(directory, "g", "a", compactionThresholdBytes));
          isCompleted = true;
        } catch (CrashingLogDirectory.Crash e) {
          // The machine crashed at this call.
        }
        for (int survivingChanges = 0;
            survivingChanges <= directory.unsyncedDirectoryChangeCount();
            survivingChanges++) {
          for (double survivingRatio : new double[] {0, 0.3, 0.5, 0.9, 1}) {
            String restoredState =
                RaftLogWorkload.describe(
                    new RaftLogStore(
                            directory.afterCrash(survivingChanges, survivingRatio),
                            "g",
                            "a",
                            compactionThresholdBytes)
                        .restoredState());
            // The change during which the machine crashed may have survived as well.
            int stateIndex = workload.expectedStates.lastIndexOf(restoredState);
            assertTrue(
                stateIndex >= workload.lastSyncedIndex
                    || restoredState.equals(workload.currentState()),
                () ->
                    "restored "
                        + restoredState
                        + " after syncing "
                        + workload.expectedStates.get(workload.lastSyncedIndex));
            checkedStates++;
          }
        }
      }
    }
    assertTrue(checkedStates > 800, checkedStates + " states after crashes were checked");
  }

  /** Shows that the crash test detects a store that does not sync. */
  @Test
  void rejectsLogAfterCrashWhenSyncsAreIgnored() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    RaftLogWorkload workload = new RaftLogWorkload();
    workload.run(new RaftLogStore(new UnsyncedLogDirectory(directory, false), "g", "a"));
    // Only the file names survive, without content.
    CrashingLogDirectory crashedDirectory =
        directory.afterCrash(directory.unsyncedDirectoryChangeCount(), 0);
    assertThrows(CorruptLogException.class, () -> new RaftLogStore(crashedDirectory, "g", "a"));
  }

  @Test
  void detectsDamageOfAnyByte() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    RaftLogWorkload workload = new RaftLogWorkload();
    workload.run(new RaftLogStore(directory, "g", "a"));
    String fileName = directory.fileNames().get(0);
    int lengthBytes = directory.read(fileName).length;
    int reportedCount = 0;
    for (int position = 0; position < lengthBytes; position++) {
      CrashingLogDirectory damagedDirectory = directory.afterCrash(0, 1);
      damagedDirectory.damage(fileName, position);
      try {
        RaftLogStore store = new RaftLogStore(damagedDirectory, "g", "a");
        assertEquals(
            1,
            store.recoveryWarnings().size(),
            "damage at the end must be reported as an incomplete write");
        assertTrue(
            workload.expectedStates.contains(RaftLogWorkload.describe(store.restoredState())));
      } catch (CorruptLogException e) {
        assertTrue(
            e.getMessage().contains(fileName)
                && e.getMessage().contains("join again under a new name"));
        reportedCount++;
      }
    }
    assertTrue(
        reportedCount > lengthBytes * 9 / 10,
        reportedCount + " of " + lengthBytes + " damaged bytes were reported as damage");
  }

  @Test
  void rejectsWritesAfterFailedSync() throws Exception {
    for (int failingSync = 1; failingSync < 12; failingSync++) {
      CrashingLogDirectory directory =
          new CrashingLogDirectory(NO_LIMIT).failSyncsFrom(failingSync);
      RaftLogWorkload workload = new RaftLogWorkload();
      RaftLogStore store = new RaftLogStore(directory, "g", "a");
      assertThrows(IOException.class, () -> workload.run(store));
      assertNotNull(store.failure());
      byte[] bytesBefore = directory.read(directory.fileNames().get(0));
      LogStoreFailedException rejection =
          assertThrows(
              LogStoreFailedException.class,
              () -> store.persistLogEntries(List.of(RaftLogWorkload.entry(1, 1))));
      assertTrue(rejection.getMessage().contains("no space left"), rejection.getMessage());
      assertTrue(
          Arrays.equals(bytesBefore, directory.read(directory.fileNames().get(0))),
          "the store must write nothing after a failed sync");
    }
  }

  /** After a failed sync the operating system drops the bytes, although a later sync succeeds. */
  @Test
  void recoversSyncedStateAfterFailedSync() throws Exception {
    for (int failingSync = 1; failingSync < 12; failingSync++) {
      CrashingLogDirectory directory =
          new CrashingLogDirectory(NO_LIMIT).failSyncsFrom(failingSync);
      RaftLogWorkload workload = new RaftLogWorkload();
      RaftLogStore store = new RaftLogStore(directory, "g", "a");
      assertThrows(IOException.class, () -> workload.run(store));
      assertFalse(store.recover(), "recovery must fail while the disk still fails");
      directory.failSyncsFrom(NO_LIMIT);
      assertTrue(store.recover());
      assertNull(store.failure());
      String restoredState = RaftLogWorkload.describe(store.restoredState());
      assertEquals(workload.expectedStates.get(workload.lastSyncedIndex), restoredState);
      store.flush();
      assertEquals(
          restoredState,
          RaftLogWorkload.describe(
              new RaftLogStore(directory.afterCrash(0, 0), "g", "a").restoredState()));
    }
  }

  /** A new process cannot know whether a sync failed in the previous one, so it must sync again. */
  @Test
  void persistsRestoredStateWhenOpened() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    RaftLogStore firstStore = new RaftLogStore(directory, "g", "a");
    new RaftLogWorkload().run(firstStore);
    firstStore.persistLogEntries(List.of(RaftLogWorkload.entry(10, 3)));
    directory.setFailing(true);
    assertThrows(IOException.class, firstStore::flush);
    directory.setFailing(false);
    String restoredState =
        RaftLogWorkload.describe(new RaftLogStore(directory, "g", "a").restoredState());
    assertEquals(
        restoredState,
        RaftLogWorkload.describe(
            new RaftLogStore(directory.afterCrash(0, 0), "g", "a").restoredState()));
  }

  @Test
  void compactsSegmentWhenMostRecordsAreSuperseded() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    RaftLogStore store = new RaftLogStore(directory, "g", "a", 10_000);
    new RaftLogWorkload().run(store);
    for (int i = 0; i < 2000; i++) {
      store.persistLogEntries(List.of(RaftLogWorkload.entry(10, 3)));
      store.truncateLogEntriesFrom(10);
      store.flush();
      assertTrue(store.sizeBytes() < 12_000, "the segment has " + store.sizeBytes() + " bytes");
      assertEquals(1, directory.fileNames().size());
    }
    String stateBefore = RaftLogWorkload.describe(store.restoredState());
    assertEquals(
        stateBefore,
        RaftLogWorkload.describe(
            new RaftLogStore(directory.afterCrash(0, 1), "g", "a").restoredState()));
  }

  @Test
  void rejectsDirectoryOfAnotherOwner() throws Exception {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    new RaftLogWorkload().run(new RaftLogStore(directory, "g", "a"));
    assertEquals(Optional.of(new LogOwner("g", "a")), RaftLogStore.readOwner(directory));
    assertEquals(Optional.empty(), RaftLogStore.readOwner(new CrashingLogDirectory(NO_LIMIT)));
    LogOwnerMismatchException mismatchException =
        assertThrows(
            LogOwnerMismatchException.class,
            () -> new RaftLogStore(directory.afterCrash(0, 1), "g", "b"));
    assertTrue(mismatchException.getMessage().contains("belongs to member 'a' of group 'g'"));
    assertThrows(
        LogOwnerMismatchException.class,
        () -> new RaftLogStore(directory.afterCrash(0, 1), "h", "a"));
  }

  private static CrashingLogDirectory directoryWithRecords(byte[]... records) throws IOException {
    CrashingLogDirectory directory = new CrashingLogDirectory(NO_LIMIT);
    try (LogDirectory.Appender segment = directory.create("journal-0000000000000007")) {
      segment.write(RecordFormat.join(List.of(records)));
    }
    return directory;
  }

  @Test
  void rejectsRecordAndFormatOfLaterVersion() throws Exception {
    byte[] header = LogRecovery.encodeHeader(new LogOwner("g", "a"));
    byte[] unknownRecord = ByteBuffer.allocate(9).putInt(0).putInt(0).put((byte) 77).array();
    CRC32 checksum = new CRC32();
    checksum.update(new byte[] {0, 0, 0, 0, 77});
    ByteBuffer.wrap(unknownRecord).putInt(4, (int) checksum.getValue());
    UnknownRecordException recordException =
        assertThrows(
            UnknownRecordException.class,
            () -> new RaftLogStore(directoryWithRecords(header, unknownRecord), "g", "a"));
    assertEquals(
        "disk/journal-0000000000000007 contains a record of kind 77, written by a later version:"
            + " start that version",
        recordException.getMessage());
    byte[] headerOfFormat2 =
        RecordFormat.encode(
            RecordKind.HEADER, CborValues.encode(2, (value, out) -> out.put(value)));
    UnsupportedLogFormatException formatException =
        assertThrows(
            UnsupportedLogFormatException.class,
            () -> new RaftLogStore(directoryWithRecords(headerOfFormat2), "g", "a"));
    assertEquals(
        "disk/journal-0000000000000007 has format version 2, expected 1: start the program version"
            + " that wrote it",
        formatException.getMessage());
  }

  @Test
  void locksDirectoryAndIgnoresIncompleteWriteInFileSystem(@TempDir Path path) throws Exception {
    RaftLogWorkload workload = new RaftLogWorkload();
    try (RaftLogStore store = new RaftLogStore(new FileLogDirectory(path), "g", "a")) {
      workload.run(store);
      LogDirectoryLockedException lockedException =
          assertThrows(LogDirectoryLockedException.class, () -> new FileLogDirectory(path));
      assertTrue(lockedException.getMessage().contains("locked by another process"));
    }
    Path file;
    try (var files = Files.list(path)) {
      file = files.filter(f -> f.toString().contains("journal-")).findFirst().orElseThrow();
    }
    Files.write(file, new byte[] {1, 2, 3}, StandardOpenOption.APPEND);
    try (RaftLogStore store = new RaftLogStore(new FileLogDirectory(path), "g", "a")) {
      assertEquals(workload.currentState(), RaftLogWorkload.describe(store.restoredState()));
      assertTrue(
          store.recoveryWarnings().get(0).contains("ignored 3 bytes of an incomplete write"));
    }
  }
}
