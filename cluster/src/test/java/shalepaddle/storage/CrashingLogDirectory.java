package shalepaddle.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A directory in memory that crashes at a chosen call, and gives each state that a machine may find
 * afterwards: of each file the bytes that were synced and any prefix of those written since, and of
 * names those that were synced and any first few of the changes since.
 */
public final class CrashingLogDirectory implements LogDirectory {
  /** The machine stops at this call. */
  static final class Crash extends RuntimeException {
    private static final long serialVersionUID = 1;
  }

  /** A file's bytes, and how many of them survive a crash for certain. */
  private static final class Content {
    private byte[] bytes = new byte[0];
    private int syncedLength;

    /** Whether a sync has failed: what it covered is dropped, though the next one succeeds. */
    private boolean hasDroppedWrites;
  }

  private interface NameChange {
    void applyTo(Map<String, Content> names);
  }

  private final Map<String, Content> syncedNames = new TreeMap<>();
  private final List<NameChange> unsyncedChanges = new ArrayList<>();
  private final Map<String, Content> names = new TreeMap<>();
  private int remainingCalls;
  private int firstFailingSync = -1;
  private int syncCount;
  private boolean isFailing;

  /** One that never crashes by itself. */
  public CrashingLogDirectory() {
    this(Integer.MAX_VALUE);
  }

  /** One that crashes after so many calls that change it. */
  CrashingLogDirectory(int calls) {
    remainingCalls = calls;
  }

  private void countCall() {
    if (remainingCalls-- <= 0) {
      throw new Crash();
    }
  }

  /** Syncs fail from the one of this number on. */
  CrashingLogDirectory failFromSync(int number) {
    firstFailingSync = number;
    return this;
  }

  /** Whether writes and syncs fail from now on. */
  public void setFailing(boolean failing) {
    isFailing = failing;
  }

  private void change(NameChange change) {
    change.applyTo(names);
    unsyncedChanges.add(change);
  }

  /**
   * The directory as it may be found after a crash.
   *
   * @param changes how many of the name changes since the last sync survive
   * @param unsyncedPart of the bytes that were written and not synced, 0 to 1
   */
  CrashingLogDirectory afterCrash(int changes, double unsyncedPart) {
    Map<String, Content> survivingNames = new LinkedHashMap<>(syncedNames);
    unsyncedChanges.subList(0, changes).forEach(change -> change.applyTo(survivingNames));
    CrashingLogDirectory crashed = new CrashingLogDirectory();
    survivingNames.forEach(
        (name, content) -> {
          Content survivor = new Content();
          int length =
              content.syncedLength
                  + (int) Math.round(unsyncedPart * (content.bytes.length - content.syncedLength));
          survivor.bytes = Arrays.copyOf(content.bytes, length);
          survivor.syncedLength = length;
          crashed.syncedNames.put(name, survivor);
          crashed.names.put(name, survivor);
        });
    return crashed;
  }

  /** The directory as it may be found after a crash, by a random number from 0 to 1. */
  public CrashingLogDirectory afterCrash(double drawn) {
    return afterCrash((int) Math.round(drawn * 1000) % (unsyncedNameChanges() + 1), drawn);
  }

  /** Name changes that a crash may lose. */
  int unsyncedNameChanges() {
    return unsyncedChanges.size();
  }

  /** Changes a byte of a file. */
  void damage(String name, int position) {
    names.get(name).bytes[position] ^= 0x20;
  }

  @Override
  public List<String> names() {
    return List.copyOf(names.keySet());
  }

  @Override
  public byte[] read(String name) {
    return names.get(name).bytes.clone();
  }

  @Override
  public Appender create(String name) {
    countCall();
    Content created = new Content();
    change(target -> target.put(name, created));
    return new MemoryAppender(created);
  }

  @Override
  public void rename(String from, String to) {
    countCall();
    change(
        target -> {
          Content moved = target.remove(from);
          if (moved != null) {
            target.put(to, moved);
          }
        });
  }

  @Override
  public void delete(String name) {
    countCall();
    change(target -> target.remove(name));
  }

  @Override
  public void syncNames() {
    countCall();
    syncedNames.clear();
    syncedNames.putAll(names);
    unsyncedChanges.clear();
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
    public void write(byte[] more) throws IOException {
      countCall();
      if (isFailing) {
        throw new IOException("no space left on device");
      }
      int from = content.bytes.length;
      content.bytes = Arrays.copyOf(content.bytes, from + more.length);
      System.arraycopy(more, 0, content.bytes, from, more.length);
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
