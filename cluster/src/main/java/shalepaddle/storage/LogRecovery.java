package shalepaddle.storage;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import shalepaddle.encoding.CborValues;

/**
 * Reads the newest segment of a directory when a log is opened or after a write failed. Stateless;
 * only {@link #deleteAllBut} changes the directory.
 */
final class LogRecovery {
  private static final int FORMAT_VERSION = 1;

  private LogRecovery() {}

  /**
   * The newest segment of a directory.
   *
   * @param fileName its file name
   * @param path its path, for messages
   * @param owner the owner that its header names
   * @param records the records after its header
   * @param partialBytes the size of an incomplete write at its end, 0 for none
   */
  record NewestSegment(
      String fileName,
      String path,
      LogOwner owner,
      List<RecordFormat.StoredRecord> records,
      long partialBytes) {
    /**
     * The state that results from the records.
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
    return directory.fileNames().stream().filter(SegmentWriter::isSegment).max(String::compareTo);
  }

  /** Reads a segment; see {@link #read(LogDirectory, String, long)}. */
  static NewestSegment read(LogDirectory directory, String fileName) throws IOException {
    return read(directory, fileName, Integer.MAX_VALUE);
  }

  /**
   * Reads a segment.
   *
   * @param maxBytes all bytes after this length are ignored
   * @throws CorruptLogException if the segment is damaged
   * @throws UnsupportedLogFormatException if the segment has another format version
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

  /** Encodes the header record with which each segment of this owner begins. */
  static byte[] encodeHeader(LogOwner owner) throws IOException {
    return RecordFormat.encode(
        RecordKind.HEADER,
        CborValues.encode(
            owner, (value, out) -> out.put(FORMAT_VERSION).put(value.group()).put(value.member())));
  }

  /**
   * Deletes superseded and incomplete segments that a crash left behind.
   *
   * @param newestFileName the file name of the segment to keep, empty to delete all files
   */
  static void deleteAllBut(LogDirectory directory, Optional<String> newestFileName)
      throws IOException {
    // The rename of the newest segment must be durable before the other segments are deleted.
    directory.syncDirectory();
    for (String fileName : directory.fileNames()) {
      if (newestFileName.isEmpty() || !fileName.equals(newestFileName.get())) {
        directory.delete(fileName);
      }
    }
  }
}
