package shalepaddle.storage;

/** What a record of a segment changes. The codes are stored and never change. */
enum RecordKind {
  /** Format version and {@link LogOwner}; first in each segment, and only there. */
  HEADER(1),
  /** Whether the member votes. */
  LOCAL_ENDPOINT(2),
  /** With whom the group began. */
  INITIAL_MEMBERS(3),
  /** The term, and who has this member's vote in it. */
  TERM(4),
  /** A log entry; replaces an earlier one of the same index. */
  ENTRY(5),
  /** Removes the entries from an index on. */
  TRUNCATE_SUFFIX(6),
  /** Removes the entries up to an index, which a snapshot covers. */
  TRUNCATE_PREFIX(7),
  /** One chunk of a snapshot. */
  SNAPSHOT_CHUNK(8),
  /** Removes all chunks of the snapshot at an index. */
  DELETE_SNAPSHOT(9);

  private final int code;

  RecordKind(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }

  /**
   * The kind of this code.
   *
   * @param path the segment, for the message
   * @throws UnknownRecordException if a later version wrote it
   */
  static RecordKind ofCode(int code, String path) throws UnknownRecordException {
    for (RecordKind kind : values()) {
      if (kind.code == code) {
        return kind;
      }
    }
    throw new UnknownRecordException(path, code);
  }
}
