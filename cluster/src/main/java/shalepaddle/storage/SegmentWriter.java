package shalepaddle.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.Locale;

/**
 * Appends to the current segment and switches to a new one. Segments are numbered by generation,
 * and only the newest one is valid. {@link #startNext} must succeed before the first {@link
 * #append} or {@link #sync}, and again after {@link #close}. Owned by the member's thread.
 */
final class SegmentWriter implements Closeable {
  // Prefixes of file names on disk, which never change.
  private static final String SEGMENT_PREFIX = "journal-";
  private static final String INCOMPLETE_PREFIX = "next-";
  private static final int HEXADECIMAL_RADIX = 16;

  private final LogDirectory directory;

  /** The generation of the current segment, 0 for none. */
  private long generation;

  /** The current segment, null before the first {@link #startNext} and after {@link #close}. */
  private LogDirectory.Appender file;

  /** The length of the current segment in bytes, synced or not. */
  private long lengthBytes;

  /** The length in bytes with which the current segment was created. */
  private long initialLengthBytes;

  /** The length in bytes that the last successful sync of the current segment covered. */
  private long syncedLengthBytes;

  SegmentWriter(LogDirectory directory) {
    this.directory = directory;
  }

  static boolean isSegment(String fileName) {
    return fileName.startsWith(SEGMENT_PREFIX);
  }

  /** The generation of a segment with a file name. */
  static long generationOf(String fileName) {
    return Long.parseLong(fileName.substring(SEGMENT_PREFIX.length()), HEXADECIMAL_RADIX);
  }

  private static String fileName(String prefix, long generation) {
    return prefix + String.format(Locale.ROOT, "%016x", generation);
  }

  /** Sets the generation of the segment that was read, so that the next one follows it. */
  void continueAfter(long readGeneration) {
    generation = readGeneration;
  }

  /** Whether a file name is that of the current segment. */
  boolean isCurrent(String fileName) {
    return fileName.equals(fileName(SEGMENT_PREFIX, generation));
  }

  /**
   * Writes a new segment with these bytes, syncs and renames it, makes it the current one and
   * deletes the previous one. If this fails before the rename, the previous segment stays current.
   */
  void startNext(byte[] bytes) throws IOException {
    long previousGeneration = generation;
    LogDirectory.Appender previousFile = file;
    file = create(previousGeneration + 1, bytes);
    generation = previousGeneration + 1;
    lengthBytes = bytes.length;
    initialLengthBytes = lengthBytes;
    syncedLengthBytes = lengthBytes;
    if (previousFile != null) {
      previousFile.close();
    }
    if (previousGeneration > 0) {
      directory.delete(fileName(SEGMENT_PREFIX, previousGeneration));
    }
  }

  /** Creates a complete, synced segment under its final name; closes the file on failure. */
  private LogDirectory.Appender create(long newGeneration, byte[] bytes) throws IOException {
    String incompleteFileName = fileName(INCOMPLETE_PREFIX, newGeneration);
    LogDirectory.Appender newSegment = directory.create(incompleteFileName);
    try {
      newSegment.write(bytes);
      newSegment.sync();
      directory.rename(incompleteFileName, fileName(SEGMENT_PREFIX, newGeneration));
      directory.syncDirectory();
      return newSegment;
    } catch (IOException e) {
      newSegment.close();
      throw e;
    }
  }

  /** Appends an encoded record, which may be lost in a power failure until {@link #sync}. */
  void append(byte[] encodedRecord) throws IOException {
    file.write(encodedRecord);
    lengthBytes += encodedRecord.length;
  }

  /** Syncs the current segment: all records appended before survive a power failure. */
  void sync() throws IOException {
    file.sync();
    syncedLengthBytes = lengthBytes;
  }

  /**
   * Whether the current segment exceeds a threshold and has more than doubled since it was created.
   * The fraction of superseded records is not known; waiting for the segment to double bounds the
   * cost of rewriting the records that are still current.
   */
  boolean needsCompaction(long thresholdBytes) {
    return lengthBytes > thresholdBytes && lengthBytes > 2 * initialLengthBytes;
  }

  /** The length of the current segment in bytes, synced or not. */
  long lengthBytes() {
    return lengthBytes;
  }

  /** The length of the synced part of the current segment, in bytes. */
  long syncedLengthBytes() {
    return syncedLengthBytes;
  }

  /** Closes the current segment. Records that were not synced may be lost. */
  @Override
  public void close() throws IOException {
    if (file != null) {
      file.close();
      file = null;
    }
  }
}
