package shalepaddle.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.Locale;

/**
 * Appends to the current segment and switches to the next one. Segments are numbered by generation;
 * only the newest counts. {@link #startNext} must have succeeded before the first {@link #append}
 * or {@link #sync}, and again after {@link #close}. Owned by the member's thread.
 */
final class SegmentWriter implements Closeable {
  // Names of stored files, which never change.
  private static final String SEGMENT_PREFIX = "journal-";
  private static final String INCOMPLETE_PREFIX = "next-";
  private static final int HEXADECIMAL = 16;

  private final LogDirectory directory;

  /** The number of the current segment, 0 for none. */
  private long generation;

  /** The current segment, null before the first and after {@link #close}. */
  private LogDirectory.Appender file;

  /** Bytes of the current segment, synced or not. */
  private long length;

  /** Bytes with which the current segment began. */
  private long lengthAtStart;

  /** Bytes of the segment that the last successful sync covered. */
  private long syncedLength;

  SegmentWriter(LogDirectory directory) {
    this.directory = directory;
  }

  static boolean isSegment(String fileName) {
    return fileName.startsWith(SEGMENT_PREFIX);
  }

  /** The generation of a segment, by its file name. */
  static long generationOf(String fileName) {
    return Long.parseLong(fileName.substring(SEGMENT_PREFIX.length()), HEXADECIMAL);
  }

  private static String fileName(String prefix, long generation) {
    return prefix + String.format(Locale.ROOT, "%016x", generation);
  }

  /** The next segment to be written follows this one, which was read and is not appended to. */
  void continueAfter(long readGeneration) {
    generation = readGeneration;
  }

  /** Whether a file is the current segment. */
  boolean isCurrent(String fileName) {
    return fileName.equals(fileName(SEGMENT_PREFIX, generation));
  }

  /**
   * Writes a segment of these bytes, syncs and names it, makes it the current one and deletes the
   * one before. If this fails before it is named, the current segment is still the one before.
   */
  void startNext(byte[] bytes) throws IOException {
    long previous = generation;
    LogDirectory.Appender previousFile = file;
    file = create(previous + 1, bytes);
    generation = previous + 1;
    length = bytes.length;
    lengthAtStart = length;
    syncedLength = length;
    if (previousFile != null) {
      previousFile.close();
    }
    if (previous > 0) {
      directory.delete(fileName(SEGMENT_PREFIX, previous));
    }
  }

  /** Creates a complete, synced and named segment; closes what it has begun if that fails. */
  private LogDirectory.Appender create(long newGeneration, byte[] bytes) throws IOException {
    String incomplete = fileName(INCOMPLETE_PREFIX, newGeneration);
    LogDirectory.Appender created = directory.create(incomplete);
    try {
      created.write(bytes);
      created.sync();
      directory.rename(incomplete, fileName(SEGMENT_PREFIX, newGeneration));
      directory.syncNames();
      return created;
    } catch (IOException e) {
      created.close();
      throw e;
    }
  }

  /** Appends an encoded record, which a power failure may lose until {@link #sync}. */
  void append(byte[] encodedRecord) throws IOException {
    file.write(encodedRecord);
    length += encodedRecord.length;
  }

  /** Returns once all that was appended survives a power failure. */
  void sync() throws IOException {
    file.sync();
    syncedLength = length;
  }

  /**
   * Whether the segment exceeds so many bytes and has more than doubled since it was started. What
   * was superseded is not counted; the doubling bounds the cost of rewriting what was not.
   */
  boolean needsCompaction(long thresholdBytes) {
    return length > thresholdBytes && length > 2 * lengthAtStart;
  }

  /** Bytes of the current segment. */
  long length() {
    return length;
  }

  /** Bytes of the current segment that survive a power failure. */
  long syncedLength() {
    return syncedLength;
  }

  /** Appends nothing more to the current segment; what was not synced may be lost. */
  @Override
  public void close() throws IOException {
    if (file != null) {
      file.close();
      file = null;
    }
  }
}
