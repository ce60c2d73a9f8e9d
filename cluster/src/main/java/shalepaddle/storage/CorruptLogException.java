package shalepaddle.storage;

import java.io.IOException;

/**
 * The stored log is damaged, so the member must not vote based on it. The message names the file,
 * the damage and the remedy.
 */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1;

  /** The member needs a new name, since it may have voted under the old one. */
  private static final String REMEDY =
      ": move this folder away, and let the member join again under a new name";

  private CorruptLogException(String message) {
    super(message);
  }

  /** The file does not begin with a header record. */
  static CorruptLogException withoutHeader(String path) {
    return new CorruptLogException(
        path + " does not begin with the header record of a log" + REMEDY);
  }

  /** Complete records follow unreadable bytes, so these are not an incomplete write at the end. */
  static CorruptLogException damagedAt(String path, int position) {
    return new CorruptLogException(
        "%s is damaged at byte %d, with complete records after it".formatted(path, position)
            + REMEDY);
  }

  /** The entries between the snapshot and the first stored entry are missing. */
  static CorruptLogException withoutEntries(
      String path, long firstMissingIndex, long lastMissingIndex) {
    return new CorruptLogException(
        "%s lacks the entries %d to %d".formatted(path, firstMissingIndex, lastMissingIndex)
            + REMEDY);
  }

  /** Entries between the first and the last stored entry are missing. */
  static CorruptLogException withGaps(String path) {
    return new CorruptLogException(
        path + " has gaps between its first and its last entry" + REMEDY);
  }

  /** The directory has no segment, although this process wrote one. */
  static CorruptLogException withoutSegment(String directory) {
    return new CorruptLogException(
        directory + " has no segment, although this process wrote one" + REMEDY);
  }
}
