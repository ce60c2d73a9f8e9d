package shalepaddle.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A disk in memory that stops at the step that is asked for, and tells what a machine may find
 * after it: of each file what was forced, and any beginning of what was written since; of names
 * what was forced, and any first few of the changes since.
 */
public final class CrashingLogDirectory implements LogDirectory {
  /** The machine stops here. */
  static final class Crash extends RuntimeException {
    private static final long serialVersionUID = 1;
  }

  /** A file's bytes, and how many of them are sure to be there after a crash. */
  private static final class Bytes {
    private byte[] all = new byte[0];
    private int forced;

    /** Whether a force has failed: the system drops what it covered, and the next one succeeds. */
    private boolean dropped;
  }

  private interface Change {
    void make(Map<String, Bytes> names);
  }

  private final Map<String, Bytes> forced = new TreeMap<>();
  private final List<Change> pending = new ArrayList<>();
  private final Map<String, Bytes> names = new TreeMap<>();
  private int stepsLeft;
  private int failAt = -1;
  private int forces;
  private boolean failing;

  /** One that never stops by itself. */
  public CrashingLogDirectory() {
    this(Integer.MAX_VALUE);
  }

  /** One that stops after so many steps. */
  CrashingLogDirectory(int steps) {
    stepsLeft = steps;
  }

  private void step() {
    if (stepsLeft-- <= 0) {
      throw new Crash();
    }
  }

  /** The force of this number fails, as may all that come after it. */
  CrashingLogDirectory failingForce(int number) {
    failAt = number;
    return this;
  }

  /** Writes and forces fail from now on, or succeed again. */
  public void failing(boolean on) {
    failing = on;
  }

  private void change(Change change) {
    change.make(names);
    pending.add(change);
  }

  /**
   * A disk as it may be found after a crash.
   *
   * @param changes how many of the changes of names since the last force are there
   * @param part of what was written and not forced, 0 to 1
   */
  CrashingLogDirectory found(int changes, double part) {
    Map<String, Bytes> left = new LinkedHashMap<>(forced);
    pending.subList(0, changes).forEach(change -> change.make(left));
    CrashingLogDirectory found = new CrashingLogDirectory();
    left.forEach(
        (name, bytes) -> {
          Bytes kept = new Bytes();
          int length = bytes.forced + (int) Math.round(part * (bytes.all.length - bytes.forced));
          kept.all = java.util.Arrays.copyOf(bytes.all, length);
          kept.forced = length;
          found.forced.put(name, kept);
          found.names.put(name, kept);
        });
    return found;
  }

  /** A disk as it may be found after a crash, by a number from 0 to 1 that is drawn. */
  public CrashingLogDirectory found(double drawn) {
    return found((int) Math.round(drawn * 1000) % (pendingNames() + 1), drawn);
  }

  /** Changes of names that may be lost. */
  int pendingNames() {
    return pending.size();
  }

  /** Changes a byte of a file. */
  void damage(String name, int at) {
    names.get(name).all[at] ^= 0x20;
  }

  @Override
  public List<String> names() {
    return List.copyOf(names.keySet());
  }

  @Override
  public byte[] read(String name) {
    return names.get(name).all.clone();
  }

  @Override
  public Appender create(String name) {
    step();
    Bytes made = new Bytes();
    change(all -> all.put(name, made));
    return new File(made);
  }

  @Override
  public Appender append(String name, long after) {
    step();
    Bytes bytes = names.get(name);
    bytes.all = java.util.Arrays.copyOf(bytes.all, (int) after);
    bytes.forced = (int) Math.min(bytes.forced, after);
    return new File(bytes);
  }

  @Override
  public void rename(String from, String to) {
    step();
    change(
        all -> {
          Bytes moved = all.remove(from);
          if (moved != null) {
            all.put(to, moved);
          }
        });
  }

  @Override
  public void delete(String name) {
    step();
    change(all -> all.remove(name));
  }

  @Override
  public void syncNames() {
    step();
    forced.clear();
    forced.putAll(names);
    pending.clear();
  }

  @Override
  public String location() {
    return "disk";
  }

  @Override
  public void close() {}

  private final class File implements Appender {
    private final Bytes bytes;

    File(Bytes bytes) {
      this.bytes = bytes;
    }

    @Override
    public void write(byte[] more) throws IOException {
      step();
      if (failing) {
        throw new IOException("no space left on device");
      }
      int from = bytes.all.length;
      bytes.all = java.util.Arrays.copyOf(bytes.all, from + more.length);
      System.arraycopy(more, 0, bytes.all, from, more.length);
    }

    @Override
    public void sync() throws IOException {
      step();
      if (failing || failAt >= 0 && forces++ >= failAt) {
        bytes.dropped = true;
        throw new IOException("no space left on device");
      }
      bytes.forced = bytes.dropped ? bytes.forced : bytes.all.length;
    }

    @Override
    public void close() {}
  }
}
