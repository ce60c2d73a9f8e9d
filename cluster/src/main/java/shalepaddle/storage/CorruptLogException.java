package shalepaddle.storage;

import java.io.IOException;

/**
 * The stored log is damaged, so that the member must not vote by it. The message gives the file,
 * what is wrong with it and the remedy.
 */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1;

  private CorruptLogException(String message) {
    super(message);
  }

  /** The file begins with no header record. */
  static CorruptLogException withoutHeader(String path) {
    return new CorruptLogException(
        path
            + " is no journal: take this folder away, and let the member join anew under a new"
            + " name");
  }

  /** Complete records follow bytes that can't be read, so these are no partial write. */
  static CorruptLogException damagedAt(String path, int position) {
    return new CorruptLogException(
        "%s is damaged at byte %d, with whole records behind it: take this folder away, and let the member join anew under a new name"
            .formatted(path, position));
  }

  /** The first entry does not follow the snapshot. */
  static CorruptLogException withoutEntries(String path, long first, long last) {
    return new CorruptLogException(
        "%s lacks the entries %d to %d: take this folder away, and let the member join anew"
            .formatted(path, first, last));
  }

  /** There are indexes without an entry between the first and the last. */
  static CorruptLogException withGaps(String path) {
    return new CorruptLogException(
        path + " lacks entries: take this folder away, and let the member join anew");
  }

  /** The directory has no segment any more, though this process wrote one. */
  static CorruptLogException withoutSegment(String directory) {
    return new CorruptLogException(directory + " has lost its files");
  }
}
