package shalepaddle.storage;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import shalepaddle.encoding.CborValues;

/**
 * Reads what a directory holds when a log is opened, or after a failed write. Stateless; changes
 * nothing but {@link #deleteAllBut}.
 */
final class LogRecovery {
  private static final int FORMAT_VERSION = 1;

  private LogRecovery() {}

  /**
   * The newest segment of a directory.
   *
   * @param fileName its name
   * @param path the same with its directory, for messages
   * @param records those after its header
   * @param partialBytes bytes at its end that a crash cut short
   */
  record NewestSegment(
      String fileName,
      String path,
      LogOwner owner,
      List<RecordFormat.StoredRecord> records,
      long partialBytes) {
    /**
     * The state that the records add up to.
     *
     * @throws CorruptLogException if entries are missing
     * @throws UnknownRecordException if a later version wrote one of the records
     */
    LogContents contents() throws IOException {
      LogContents contents = new LogContents(owner.member());
      for (RecordFormat.StoredRecord stored : records) {
        contents.apply(stored, path);
      }
      contents.checkContiguous(path);
      return contents;
    }
  }

  /** The file name of the newest segment, empty if the directory has none. */
  static Optional<String> newestSegmentName(LogDirectory directory) throws IOException {
    return directory.names().stream().filter(SegmentWriter::isSegment).max(String::compareTo);
  }

  /** Reads a segment; see {@link #read(LogDirectory, String, long)}. */
  static NewestSegment read(LogDirectory directory, String fileName) throws IOException {
    return read(directory, fileName, Integer.MAX_VALUE);
  }

  /**
   * Reads a segment.
   *
   * @param maxBytes bytes after them are ignored
   * @throws CorruptLogException if it is damaged
   * @throws UnsupportedLogFormatException if another version wrote it
   */
  static NewestSegment read(LogDirectory directory, String fileName, long maxBytes)
      throws IOException {
    String path = directory.location() + "/" + fileName;
    byte[] bytes = directory.read(fileName);
    if (bytes.length > maxBytes) {
      bytes = Arrays.copyOf(bytes, (int) maxBytes);
    }
    RecordFormat.Segment segment = RecordFormat.decode(path, bytes);
    List<RecordFormat.StoredRecord> records = segment.records();
    if (records.isEmpty() || records.get(0).kind() != RecordKind.HEADER.code()) {
      throw CorruptLogException.withoutHeader(path);
    }
    return new NewestSegment(
        fileName,
        path,
        decodeHeader(path, records.get(0).body()),
        records.subList(1, records.size()),
        segment.partialBytes());
  }

  private static LogOwner decodeHeader(String path, byte[] body) throws IOException {
    return CborValues.decode(
        body,
        in -> {
          int format = in.readInt();
          if (format != FORMAT_VERSION) {
            throw new UnsupportedLogFormatException(path, FORMAT_VERSION, format);
          }
          return new LogOwner(in.readText(), in.readText());
        });
  }

  /** The header with which each segment of this owner begins. */
  static byte[] encodeHeader(LogOwner owner) throws IOException {
    return RecordFormat.encode(
        RecordKind.HEADER,
        CborValues.encode(
            owner, (value, out) -> out.put(FORMAT_VERSION).put(value.group()).put(value.member())));
  }

  /**
   * Deletes superseded and incomplete segments, which a crash left behind.
   *
   * @param newest the name of the newest segment, empty to delete all
   */
  static void deleteAllBut(LogDirectory directory, Optional<String> newest) throws IOException {
    // The newest segment's name must survive a power failure before the others go.
    directory.syncNames();
    for (String fileName : directory.names()) {
      if (newest.isEmpty() || !fileName.equals(newest.get())) {
        directory.delete(fileName);
      }
    }
  }
}
