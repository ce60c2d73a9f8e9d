package shalepaddle.node;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * The part in use of the cores that this process may use. Read from what the system tells of the
 * process, which needs no privilege and, other than the platform's management beans, no classes
 * that a start would have to load. On Linux from a file that stays open, by one system call: {@link
 * ProcessHandle#info} opens several, and asks for the user's name each time.
 *
 * <p>Belongs to one event loop.
 */
final class ProcessorUse {
  /** Reading it is a system call or some: often enough to see a second's use. */
  private static final long PERIOD_NANOS = 500_000_000L;

  /** What Linux tells of this process, with its times in hundredths of a second. */
  private static final String STAT = "/proc/self/stat";

  /** That file, one for the process; null where the system has none. */
  private static final RandomAccessFile FILE = open();

  private static final long TICK_NANOS = 10_000_000L;

  /** The times in user and in system mode, counted from behind the name in parentheses. */
  private static final int USER = 11;

  private static final int SYSTEM = 12;

  private final double cores;
  private final byte[] text = new byte[1024];
  private long readAt;
  private long used = -1;
  private double share = Double.NaN;

  /** That of a process which may use so many cores. */
  ProcessorUse(double cores) {
    this.cores = Math.max(0.01, cores);
  }

  private static RandomAccessFile open() {
    try {
      return new RandomAccessFile(STAT, "r");
    } catch (IOException e) {
      // Another system: asked by the platform's means.
      return null;
    }
  }

  /** Nanoseconds of processor time that this process has used, -1 if that is not known. */
  long usedNanos() {
    if (FILE == null) {
      return ProcessHandle.current().info().totalCpuDuration().map(Duration::toNanos).orElse(-1L);
    }
    try {
      int length;
      synchronized (FILE) {
        FILE.seek(0);
        length = FILE.read(text);
      }
      String line = new String(text, 0, Math.max(0, length), StandardCharsets.ISO_8859_1);
      String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ", 0);
      return (Long.parseLong(fields[USER]) + Long.parseLong(fields[SYSTEM])) * TICK_NANOS;
    } catch (IOException | RuntimeException e) {
      return -1;
    }
  }

  /** From 0 to about 1, over the last half second or more; NaN until it is known. */
  double usedRatio(long now) {
    if (used < 0 || now - readAt >= PERIOD_NANOS) {
      long total = usedNanos();
      if (used >= 0 && total >= 0) {
        share = (total - used) / (cores * Math.max(1, now - readAt));
      }
      used = total;
      readAt = now;
    }
    return share;
  }
}
