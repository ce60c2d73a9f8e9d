package shalepaddle.node;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/**
 * Measures which part of its cores this process uses. On Linux it reads a file that stays open, by
 * one system call; {@link ProcessHandle#info}, which is used elsewhere, opens several files each
 * time. The Java platform's management beans would load more classes at a start.
 *
 * <p>Owned by one event loop.
 */
final class ProcessorUse {
  /** How often the use is read, which takes a system call. */
  private static final long MIN_INTERVAL_NANOS = 500_000_000L;

  /** Linux's statistics of this process, with times in hundredths of a second. */
  private static final String STAT_PATH = "/proc/self/stat";

  /** One for the process; null where the system has no such file. */
  private static final RandomAccessFile STAT_FILE = open();

  private static final long TICK_NANOS = 10_000_000L;

  /** Positions of the times in user and system mode, after the name in parentheses. */
  private static final int USER_FIELD = 11;

  private static final int SYSTEM_FIELD = 12;

  private final double cores;
  private final byte[] buffer = new byte[1024];
  private long readAtNanos;
  private long usedNanos = -1;
  private double usedRatio = Double.NaN;

  /** The use of a process that may use the given number of cores. */
  ProcessorUse(double cores) {
    this.cores = Math.max(0.01, cores);
  }

  private static RandomAccessFile open() {
    try {
      return new RandomAccessFile(STAT_PATH, "r");
    } catch (IOException e) {
      // Another system than Linux: the Java platform is asked instead.
      return null;
    }
  }

  /** Nanoseconds of processor time that this process has used, -1 if unknown. */
  long usedNanos() {
    if (STAT_FILE == null) {
      return ProcessHandle.current().info().totalCpuDuration().map(Duration::toNanos).orElse(-1L);
    }
    try {
      int length;
      synchronized (STAT_FILE) {
        STAT_FILE.seek(0);
        length = STAT_FILE.read(buffer);
      }
      String line = new String(buffer, 0, Math.max(0, length), StandardCharsets.ISO_8859_1);
      String[] fields = line.substring(line.lastIndexOf(')') + 2).split(" ", 0);
      return (Long.parseLong(fields[USER_FIELD]) + Long.parseLong(fields[SYSTEM_FIELD]))
          * TICK_NANOS;
    } catch (IOException | RuntimeException e) {
      return -1;
    }
  }

  /**
   * From 0 to about 1, measured over the last half second or more; NaN before it is known.
   *
   * @param nowNanos the event loop's time
   */
  double usedRatio(long nowNanos) {
    if (usedNanos < 0 || nowNanos - readAtNanos >= MIN_INTERVAL_NANOS) {
      long total = usedNanos();
      if (usedNanos >= 0 && total >= 0) {
        usedRatio = (total - usedNanos) / (cores * Math.max(1, nowNanos - readAtNanos));
      }
      usedNanos = total;
      readAtNanos = nowNanos;
    }
    return usedRatio;
  }
}
