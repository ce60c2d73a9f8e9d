package shalepaddle.loop;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * What a thread's time was spent in since the last sample, by Linux's scheduler statistics:
 * running, waiting for a processor, or neither. In the last case the process was stopped, or the
 * thread waited in a system call. Tells apart what can stall an event loop; on other systems
 * nothing is known.
 *
 * <p>Owned by the thread that it measures.
 */
public final class ThreadTimes {
  private static final String STATISTICS_PATH = "/proc/thread-self/schedstat";

  private static final int MAX_STATISTICS_BYTES = 128;

  /** The minimum time between samples, each of which costs two system calls. */
  private static final long MIN_INTERVAL_NANOS = 25_000_000L;

  private final byte[] buffer = new byte[MAX_STATISTICS_BYTES];

  /** The open file, null before the first sample or if the system has none. */
  private RandomAccessFile file;

  private boolean isOpened;
  private long sampledAtNanos;
  private long runningNanos;
  private long waitingNanos;

  /** Takes a sample if the last one is old enough. */
  public void sample(long nowNanos) {
    if (!isOpened || nowNanos - sampledAtNanos >= MIN_INTERVAL_NANOS) {
      read(nowNanos);
    }
  }

  /**
   * Takes a sample, and describes the time since the last one in fields of a log line; empty if
   * nothing is known.
   */
  public String describeSinceSample(long nowNanos) {
    long beforeNanos = sampledAtNanos;
    long runningBeforeNanos = runningNanos;
    long waitingBeforeNanos = waitingNanos;
    if (!isOpened || !read(nowNanos)) {
      return "";
    }
    long running = runningNanos - runningBeforeNanos;
    long waiting = waitingNanos - waitingBeforeNanos;
    long elsewhere = Math.max(0, nowNanos - beforeNanos - running - waiting);
    return " running_ms="
        + TimeUnit.NANOSECONDS.toMillis(running)
        + " waiting_for_processor_ms="
        + TimeUnit.NANOSECONDS.toMillis(waiting)
        + " stopped_or_blocked_ms="
        + TimeUnit.NANOSECONDS.toMillis(elsewhere);
  }

  private boolean read(long nowNanos) {
    try {
      if (!isOpened) {
        isOpened = true;
        file = new RandomAccessFile(STATISTICS_PATH, "r");
      }
      if (file == null) {
        return false;
      }
      file.seek(0);
      int bytes = file.read(buffer);
      String[] fields =
          new String(buffer, 0, Math.max(0, bytes), StandardCharsets.US_ASCII).trim().split(" ", 0);
      runningNanos = Long.parseLong(fields[0]);
      waitingNanos = Long.parseLong(fields[1]);
      sampledAtNanos = nowNanos;
      return true;
    } catch (IOException | RuntimeException e) {
      // The system has no such statistics.
      return false;
    }
  }
}
