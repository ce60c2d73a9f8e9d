package shalepaddle.node;

import java.time.Duration;

/**
 * The part in use of the cores that this process may use. Read from what the system tells of the
 * process, which needs no privilege and, other than the platform's management beans, no classes
 * that a start would have to load.
 *
 * <p>Belongs to one event loop.
 */
final class ProcessorUse {
  /** Reading it is a system call or some: often enough to see a second's use. */
  private static final long PERIOD_NANOS = 500_000_000L;

  private final double cores;
  private long readAt;
  private long used = -1;
  private double share = Double.NaN;

  /** That of a process which may use so many cores. */
  ProcessorUse(double cores) {
    this.cores = Math.max(0.01, cores);
  }

  /** From 0 to about 1, over the last half second or more; NaN until it is known. */
  double share(long now) {
    if (used < 0 || now - readAt >= PERIOD_NANOS) {
      long total =
          ProcessHandle.current().info().totalCpuDuration().map(Duration::toNanos).orElse(-1L);
      if (used >= 0 && total >= 0) {
        share = (total - used) / (cores * Math.max(1, now - readAt));
      }
      used = total;
      readAt = now;
    }
    return share;
  }
}
