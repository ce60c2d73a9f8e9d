package shalepaddle.storage;

import java.io.IOException;

/**
 * The stored log is damaged, so that the member must not vote by it. The message gives the file,
 * what is wrong with it and the remedy.
 */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1;

  /** A new name, since the member may have voted under the old one. */
  private static final String REMEDY =
      ": take this folder away, and let the member join anew under a new name";

  private CorruptLogException(String message) {
    super(message);
  }

  /** The file begins with no header record. */
  static CorruptLogException withoutHeader(String path) {
    return new CorruptLogException(
        path + " does not begin with the header record of a log" + REMEDY);
  }

  /** Complete records follow bytes that can't be read, so these are no partial write. */
  static CorruptLogException damagedAt(String path, int position) {
    return new CorruptLogException(
        "%s is damaged at byte %d, with complete records after it".formatted(path, position)
            + REMEDY);
  }

  /** The first entry does not follow the snapshot. */
  static CorruptLogException withoutEntries(String path, long first, long last) {
    return new CorruptLogException(
        "%s lacks the entries %d to %d".formatted(path, first, last) + REMEDY);
  }

  /** There are indexes without an entry between the first and the last. */
  static CorruptLogException withGaps(String path) {
    return new CorruptLogException(path + " lacks entries between its first and its last" + REMEDY);
  }

  /** The directory has no segment any more, though this process wrote one. */
  static CorruptLogException withoutSegment(String directory) {
    return new CorruptLogException(
        directory + " has no segment, though this process wrote one" + REMEDY);
  }
}
