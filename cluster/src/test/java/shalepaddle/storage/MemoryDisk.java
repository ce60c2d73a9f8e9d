package shalepaddle.storage;

/** A disk in memory of which a crash leaves what was forced, and a part of the rest. */
public final class MemoryDisk implements Disk {
  private final CrashingDisk disk;

  /** An empty one. */
  public MemoryDisk() {
    this(new CrashingDisk(Integer.MAX_VALUE));
  }

  private MemoryDisk(CrashingDisk disk) {
    this.disk = disk;
  }

  /** What is there after a crash, by a number from 0 to 1 that is drawn. */
  public MemoryDisk found(double drawn) {
    int names = (int) Math.round(drawn * 1000) % (disk.pendingNames() + 1);
    return new MemoryDisk(disk.found(names, drawn));
  }

  @Override
  public java.util.List<String> names() {
    return disk.names();
  }

  @Override
  public byte[] read(String name) {
    return disk.read(name);
  }

  @Override
  public Appender create(String name) {
    return disk.create(name);
  }

  @Override
  public Appender append(String name, long after) {
    return disk.append(name, after);
  }

  @Override
  public void rename(String from, String to) {
    disk.rename(from, to);
  }

  @Override
  public void delete(String name) {
    disk.delete(name);
  }

  @Override
  public void forceNames() {
    disk.forceNames();
  }

  @Override
  public String place() {
    return "disk";
  }

  @Override
  public void close() {}
}
