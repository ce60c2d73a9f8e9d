package shalepaddle.loop;

import com.sun.management.ThreadMXBean;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.util.Locale;

/**
 * What a thread has used since the last sample: time in user and system mode, page faults and
 * allocated bytes. Also what may have held it up: garbage collections of the process, and the time
 * that the machine's processors were not available to it (steal).
 *
 * <p>Created on the thread that it describes, then used by one other thread. What the system does
 * not tell is left out.
 */
final class ThreadUsage {
  private static final String THREAD_PATH = "/proc/thread-self/stat";
  private static final String MACHINE_PATH = "/proc/stat";
  private static final int TICK_MILLIS = 10;

  // Fields of the thread's statistics behind its name in parentheses.
  private static final int MINOR_FAULTS_INDEX = 7;
  private static final int MAJOR_FAULTS_INDEX = 9;
  private static final int USER_TICKS_INDEX = 11;
  private static final int SYSTEM_TICKS_INDEX = 12;

  /** The index in the first line of the machine's statistics. */
  private static final int STEAL_TICKS_INDEX = 7;

  private final long threadId = Thread.currentThread().getId();
  private final StatisticsFile threadFile = new StatisticsFile(THREAD_PATH);
  private final StatisticsFile machineFile = new StatisticsFile(MACHINE_PATH);

  /** The last sample, null before the first. */
  private Values values;

  /** Totals since the start of the thread, the process or the machine. */
  private record Values(
      long userMillis,
      long systemMillis,
      long minorFaults,
      long majorFaults,
      long allocatedBytes,
      long collections,
      long collectionMillis,
      long stealMillis) {
    String describeSince(Values before) {
      return String.format(
          Locale.ROOT,
          " user_ms=%d system_ms=%d minor_faults=%d major_faults=%d allocated_kb=%d"
              + " collections=%d collection_ms=%d machine_steal_ms=%d",
          userMillis - before.userMillis,
          systemMillis - before.systemMillis,
          minorFaults - before.minorFaults,
          majorFaults - before.majorFaults,
          (allocatedBytes - before.allocatedBytes) >> 10,
          collections - before.collections,
          collectionMillis - before.collectionMillis,
          stealMillis - before.stealMillis);
    }
  }

  private ThreadUsage() {}

  /** Creates the usage of the calling thread. */
  static ThreadUsage ofCurrentThread() {
    return new ThreadUsage();
  }

  /** Takes a sample. */
  void sample() {
    values = read();
  }

  /** Describes the usage since the last sample in fields of a log line; empty without a sample. */
  String describeSinceSample() {
    return values == null ? "" : read().describeSince(values);
  }

  void close() {
    threadFile.close();
    machineFile.close();
  }

  private Values read() {
    String[] thread = threadFile.wordsBehind(')');
    String[] machine = machineFile.wordsBehind('u');
    long collections = 0;
    long collectionMillis = 0;
    for (GarbageCollectorMXBean collector : ManagementFactory.getGarbageCollectorMXBeans()) {
      collections += Math.max(0, collector.getCollectionCount());
      collectionMillis += Math.max(0, collector.getCollectionTime());
    }
    return new Values(
        number(thread, USER_TICKS_INDEX) * TICK_MILLIS,
        number(thread, SYSTEM_TICKS_INDEX) * TICK_MILLIS,
        number(thread, MINOR_FAULTS_INDEX),
        number(thread, MAJOR_FAULTS_INDEX),
        allocatedBytes(),
        collections,
        collectionMillis,
        number(machine, STEAL_TICKS_INDEX) * TICK_MILLIS);
  }

  private long allocatedBytes() {
    return ManagementFactory.getThreadMXBean() instanceof ThreadMXBean threads
        ? Math.max(0, threads.getThreadAllocatedBytes(threadId))
        : 0;
  }

  private static long number(String[] fields, int index) {
    try {
      return index < fields.length ? Long.parseLong(fields[index]) : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
