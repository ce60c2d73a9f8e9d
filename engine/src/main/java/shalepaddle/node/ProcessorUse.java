package shalepaddle.node;

import java.time.Duration;
import shalepaddle.loop.StatisticsFile;

/**
 * Measures the fraction of its cores that this process uses. On Linux it reads a file that stays
 * open, with one system call. On other systems it uses {@link ProcessHandle#info}, which on Linux
 * would open several files for each call. The Java platform's management beans are not used, since
 * they load more classes at startup.
 *
 * <p>Owned by one event loop.
 */
final class ProcessorUse {
  /** The minimum time between two reads of the processor time, each of which is a system call. */
  private static final long MIN_INTERVAL_NANOS = 500_000_000L;

  /** Linux's statistics of this process, with times in ticks of 10 ms. */
  private static final String STAT_PATH = "/proc/self/stat";

  /** The open file, shared by all instances in the process. */
  private static final StatisticsFile STAT_FILE = new StatisticsFile(STAT_PATH);

  private static final long TICK_NANOS = 10_000_000L;

  /** The index of the time in user mode, among the fields after the name in parentheses. */
  private static final int USER_TIME_INDEX = 11;

  /** The index of the time in system mode, among the fields after the name in parentheses. */
  private static final int SYSTEM_TIME_INDEX = 12;

  private final double cores;
  private long lastReadAtNanos;
  private long lastUsedNanos = -1;
  private double lastUsedRatio = Double.NaN;

  /** Creates a meter for a process that may use the given number of cores. */
  ProcessorUse(double cores) {
    this.cores = Math.max(0.01, cores);
  }

  /** The processor time that this process has used, in nanoseconds; -1 if unknown. */
  long usedNanos() {
    if (!STAT_FILE.exists()) {
      return ProcessHandle.current().info().totalCpuDuration().map(Duration::toNanos).orElse(-1L);
    }
    String[] words = STAT_FILE.wordsBehind(')');
    if (words.length <= SYSTEM_TIME_INDEX) {
      return -1;
    }
    return (Long.parseLong(words[USER_TIME_INDEX]) + Long.parseLong(words[SYSTEM_TIME_INDEX]))
        * TICK_NANOS;
  }

  /**
   * The fraction of its cores that the process uses, from 0 to about 1, averaged over at least half
   * a second; NaN before it is known.
   *
   * @param nowNanos the event loop's time
   */
  double usedRatio(long nowNanos) {
    if (lastUsedNanos < 0 || nowNanos - lastReadAtNanos >= MIN_INTERVAL_NANOS) {
      long totalNanos = usedNanos();
      if (lastUsedNanos >= 0 && totalNanos >= 0) {
        lastUsedRatio =
            (totalNanos - lastUsedNanos) / (cores * Math.max(1, nowNanos - lastReadAtNanos));
      }
      lastUsedNanos = totalNanos;
      lastReadAtNanos = nowNanos;
    }
    return lastUsedRatio;
  }
}
