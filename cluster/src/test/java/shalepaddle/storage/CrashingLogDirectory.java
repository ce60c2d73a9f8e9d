package shalepaddle.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A directory in memory that crashes at a chosen call, and returns each state that a machine may
 * find afterwards: the synced bytes of each file with any prefix of the bytes written since, and
 * the synced file names with any prefix of the file creations, renames and deletions since.
 */
public final class CrashingLogDirectory implements LogDirectory {
  /** Thrown by the call at which the machine crashes. */
  static final class Crash extends RuntimeException {
    private static final long serialVersionUID = 1;
  }

  /** A file's bytes, and the length of the part that is synced and always survives a crash. */
  private static final class Content {
    private byte[] bytes = new byte[0];
    private int syncedLength;

    /** Whether a sync has failed: unsynced bytes are lost, even if a later sync succeeds. */
    private boolean hasDroppedWrites;
  }

  private interface DirectoryChange {
    void applyTo(Map<String, Content> filesByName);
  }

  private final Map<String, Content> syncedFilesByName = new TreeMap<>();
  private final List<DirectoryChange> unsyncedDirectoryChanges = new ArrayList<>();
  private final Map<String, Content> filesByName = new TreeMap<>();
  private int remainingCalls;
  private int firstFailingSync = -1;
  private int syncCount;
  private boolean isFailing;

  /** Creates a directory that never crashes by itself. */
  public CrashingLogDirectory() {
    this(Integer.MAX_VALUE);
  }

  /**
   * Creates a directory that crashes.
   *
   * @param callsBeforeCrash the number of changing calls that succeed before one crashes
   */
  CrashingLogDirectory(int callsBeforeCrash) {
    remainingCalls = callsBeforeCrash;
  }

  private void countCall() {
    if (remainingCalls-- <= 0) {
      throw new Crash();
    }
  }

  /** Makes all file syncs fail from the sync with the given number on, counted from 0. */
  CrashingLogDirectory failSyncsFrom(int syncNumber) {
    firstFailingSync = syncNumber;
    return this;
  }

  /** Sets whether writes and syncs of files fail from now on. */
  public void setFailing(boolean shouldFail) {
    isFailing = shouldFail;
  }

  private void recordDirectoryChange(DirectoryChange directoryChange) {
    directoryChange.applyTo(filesByName);
    unsyncedDirectoryChanges.add(directoryChange);
  }

  /**
   * Returns a state of the directory that is possible after a crash.
   *
   * @param survivingChangeCount how many unsynced creations, renames and deletions of files
   *     survive, the earliest first
   * @param survivingRatio the ratio of the written but unsynced bytes that survive, from 0 to 1
   */
  CrashingLogDirectory afterCrash(int survivingChangeCount, double survivingRatio) {
    Map<String, Content> survivingFilesByName = new LinkedHashMap<>(syncedFilesByName);
    unsyncedDirectoryChanges
        .subList(0, survivingChangeCount)
        .forEach(change -> change.applyTo(survivingFilesByName));
    CrashingLogDirectory crashedDirectory = new CrashingLogDirectory();
    survivingFilesByName.forEach(
        (name, content) -> {
          Content survivingContent = new Content();
          int survivingLength =
              content.syncedLength
                  + (int)
                      Math.round(survivingRatio * (content.bytes.length - content.syncedLength));
          survivingContent.bytes = Arrays.copyOf(content.bytes, survivingLength);
          survivingContent.syncedLength = survivingLength;
          crashedDirectory.syncedFilesByName.put(name, survivingContent);
          crashedDirectory.filesByName.put(name, survivingContent);
        });
    return crashedDirectory;
  }

  /**
   * Returns a random state of the directory that is possible after a crash.
   *
   * @param randomRatio a random number from 0 to 1
   */
  public CrashingLogDirectory afterCrash(double randomRatio) {
    return afterCrash(
        (int) Math.round(randomRatio * 1000) % (unsyncedDirectoryChangeCount() + 1), randomRatio);
  }

  /** The number of unsynced creations, renames and deletions of files, which a crash may lose. */
  int unsyncedDirectoryChangeCount() {
    return unsyncedDirectoryChanges.size();
  }

  /** Flips a bit in one byte of a file. */
  void damage(String name, int position) {
    filesByName.get(name).bytes[position] ^= 0x20;
  }

  @Override
  public List<String> fileNames() {
    return List.copyOf(filesByName.keySet());
  }

  @Override
  public byte[] read(String name) {
    return filesByName.get(name).bytes.clone();
  }

  @Override
  public Appender create(String name) {
    countCall();
    Content newContent = new Content();
    recordDirectoryChange(target -> target.put(name, newContent));
    return new MemoryAppender(newContent);
  }

  @Override
  public void rename(String oldName, String newName) {
    countCall();
    recordDirectoryChange(
        target -> {
          Content movedContent = target.remove(oldName);
          if (movedContent != null) {
            target.put(newName, movedContent);
          }
        });
  }

  @Override
  public void delete(String name) {
    countCall();
    recordDirectoryChange(target -> target.remove(name));
  }

  @Override
  public void syncDirectory() {
    countCall();
    syncedFilesByName.clear();
    syncedFilesByName.putAll(filesByName);
    unsyncedDirectoryChanges.clear();
  }

  @Override
  public String location() {
    return "disk";
  }

  @Override
  public void close() {}

  private final class MemoryAppender implements Appender {
    private final Content content;

    MemoryAppender(Content content) {
      this.content = content;
    }

    @Override
    public void write(byte[] appendedBytes) throws IOException {
      countCall();
      if (isFailing) {
        throw new IOException("no space left on device");
      }
      int oldLength = content.bytes.length;
      content.bytes = Arrays.copyOf(content.bytes, oldLength + appendedBytes.length);
      System.arraycopy(appendedBytes, 0, content.bytes, oldLength, appendedBytes.length);
    }

    @Override
    public void sync() throws IOException {
      countCall();
      if (isFailing || (firstFailingSync >= 0 && syncCount++ >= firstFailingSync)) {
        content.hasDroppedWrites = true;
        throw new IOException("no space left on device");
      }
      content.syncedLength = content.hasDroppedWrites ? content.syncedLength : content.bytes.length;
    }

    @Override
    public void close() {}
  }
}
