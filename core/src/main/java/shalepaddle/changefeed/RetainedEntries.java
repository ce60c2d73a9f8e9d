package shalepaddle.changefeed;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The last entries of the log, retained for subscribers that reconnect. The oldest entries are
 * evicted if the total size exceeds a limit. Owned by its publisher.
 */
final class RetainedEntries {
  /** Bytes of an entry in addition to its body, in memory and on the wire. */
  private static final int ENTRY_OVERHEAD_BYTES = 16;

  private final long maxBytes;
  private final TreeMap<Long, ChangeEntry> entries = new TreeMap<>();
  private long bytes;
  private long baseIndex;
  private long lastIndex;

  RetainedEntries(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Consecutive entries.
   *
   * @param entries the entries in order
   * @param bytes their size in bytes, with overhead
   */
  record Batch(List<ChangeEntry> entries, int bytes) {
    long lastIndex() {
      return entries.get(entries.size() - 1).index();
    }
  }

  /** The index after which all entries are retained. */
  long baseIndex() {
    return baseIndex;
  }

  /** The log index of the last entry or snapshot, 0 for none. */
  long lastIndex() {
    return lastIndex;
  }

  /** The size in bytes of all retained entries, with overhead. */
  long bytes() {
    return bytes;
  }

  /**
   * Adds an entry.
   *
   * @throws IllegalStateException if its index is not after the last one
   */
  void add(ChangeEntry entry) {
    if (entry.index() <= lastIndex) {
      throw new IllegalStateException(
          "entry index " + entry.index() + " must be above the last index " + lastIndex);
    }
    lastIndex = entry.index();
    entries.put(lastIndex, entry);
    bytes += sizeOf(entry);
    while (bytes > maxBytes) {
      ChangeEntry oldestEntry = entries.pollFirstEntry().getValue();
      bytes -= sizeOf(oldestEntry);
      baseIndex = oldestEntry.index();
    }
  }

  /** Drops all entries, since a snapshot up to this index replaces them. */
  void reset(long snapshotIndex) {
    entries.clear();
    bytes = 0;
    baseIndex = snapshotIndex;
    lastIndex = snapshotIndex;
  }

  /**
   * The entries after an index, up to a number of bytes; always includes the first entry.
   *
   * @param index at least {@link #baseIndex} and less than {@link #lastIndex}; otherwise the batch
   *     has gaps or is empty, which is not checked
   */
  Batch batchAfter(long index, int maxBatchBytes) {
    List<ChangeEntry> batch = new ArrayList<>();
    int batchBytes = 0;
    for (ChangeEntry entry : entries.tailMap(index, false).values()) {
      if (!batch.isEmpty() && batchBytes + sizeOf(entry) > maxBatchBytes) {
        break;
      }
      batch.add(entry);
      batchBytes += sizeOf(entry);
    }
    return new Batch(batch, batchBytes);
  }

  private static int sizeOf(ChangeEntry entry) {
    return ENTRY_OVERHEAD_BYTES + entry.body().length;
  }
}
