package shalepaddle.storage;

/** The kinds of records in a segment. The codes are stored and never change. */
enum RecordKind {
  /** The format version and the {@link LogOwner}. Each segment begins with its only header. */
  HEADER(1),
  /** Whether the member votes. */
  LOCAL_ENDPOINT(2),
  /** The initial members of the group. */
  INITIAL_MEMBERS(3),
  /** The term, and the member that this member voted for in that term. */
  TERM(4),
  /** A log entry; replaces an earlier entry with the same index. */
  ENTRY(5),
  /** Removes all entries from an index on, inclusive. */
  TRUNCATE_SUFFIX(6),
  /** Removes all entries up to an index, inclusive; a snapshot covers them. */
  TRUNCATE_PREFIX(7),
  /** One chunk of a snapshot. */
  SNAPSHOT_CHUNK(8),
  /** Removes all chunks of the snapshot with an index. */
  DELETE_SNAPSHOT(9);

  private final int code;

  RecordKind(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }

  /**
   * The kind with a code.
   *
   * @param path the path of the segment, for the message
   * @throws UnknownRecordException if this version does not know the code
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
