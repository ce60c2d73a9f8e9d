package shalepaddle.loop;

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

  private static final int RUNNING_NANOS_INDEX = 0;
  private static final int WAITING_NANOS_INDEX = 1;

  /** The minimum time between samples, each of which costs two system calls. */
  private static final long MIN_INTERVAL_NANOS = 25_000_000L;

  /** The open file, null before the first sample. */
  private StatisticsFile file;

  private long sampledAtNanos;
  private long runningNanos;
  private long waitingNanos;

  /** Takes a sample if the last one is old enough. */
  public void sample(long nowNanos) {
    if (file == null || nowNanos - sampledAtNanos >= MIN_INTERVAL_NANOS) {
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
    if (file == null || !read(nowNanos)) {
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
    if (file == null) {
      file = new StatisticsFile(STATISTICS_PATH);
    }
    String[] words = file.wordsBehind('\n');
    if (words.length <= WAITING_NANOS_INDEX) {
      return false;
    }
    runningNanos = Long.parseLong(words[RUNNING_NANOS_INDEX]);
    waitingNanos = Long.parseLong(words[WAITING_NANOS_INDEX]);
    sampledAtNanos = nowNanos;
    return true;
  }
}
