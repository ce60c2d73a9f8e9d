package shalepaddle.loop;

import com.sun.management.ThreadMXBean;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
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
  private static final int MAX_STATISTICS_BYTES = 1024;
  private static final int TICK_MILLIS = 10;

  // Fields of the thread's statistics behind its name in parentheses.
  private static final int MINOR_FAULTS_INDEX = 7;
  private static final int MAJOR_FAULTS_INDEX = 9;
  private static final int USER_TICKS_INDEX = 11;
  private static final int SYSTEM_TICKS_INDEX = 12;

  /** The index in the first line of the machine's statistics. */
  private static final int STEAL_TICKS_INDEX = 7;

  private final long threadId = Thread.currentThread().getId();
  private final RandomAccessFile threadFile = open(THREAD_PATH);
  private final RandomAccessFile machineFile = open(MACHINE_PATH);
  private final byte[] buffer = new byte[MAX_STATISTICS_BYTES];

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

  private static RandomAccessFile open(String path) {
    try {
      return new RandomAccessFile(path, "r");
    } catch (IOException e) {
      // The system has no such statistics.
      return null;
    }
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
    try {
      if (threadFile != null) {
        threadFile.close();
      }
      if (machineFile != null) {
        machineFile.close();
      }
    } catch (IOException e) {
      // Nothing is left to be read from them.
    }
  }

  private Values read() {
    String[] thread = fieldsOf(threadFile, ')');
    String[] machine = fieldsOf(machineFile, 'u');
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

  /** The fields behind the first line's last occurrence of a character; empty if unknown. */
  private String[] fieldsOf(RandomAccessFile file, char before) {
    if (file == null) {
      return new String[0];
    }
    try {
      file.seek(0);
      int bytes = file.read(buffer);
      String text = new String(buffer, 0, Math.max(0, bytes), StandardCharsets.ISO_8859_1);
      String line = text.lines().findFirst().orElse("");
      return line.substring(line.lastIndexOf(before) + 1).trim().split("\\s+", 0);
    } catch (IOException e) {
      return new String[0];
    }
  }

  private static long number(String[] fields, int index) {
    try {
      return index < fields.length ? Long.parseLong(fields[index]) : 0;
    } catch (NumberFormatException e) {
      return 0;
    }
  }
}
