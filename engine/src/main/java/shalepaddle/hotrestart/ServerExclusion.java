package shalepaddle.hotrestart;

/**
 * An operator's exclusion of a cache server, or its later inclusion. Immutable.
 *
 * @param server the server's number
 * @param excluded true for an exclusion, false for an inclusion
 * @param atMillis the time of the operator's command, in milliseconds since 1970
 */
public record ServerExclusion(long server, boolean excluded, long atMillis) {
  /**
   * Whether this record replaces the other record of the same server: the later record is in
   * force, or the exclusion if both have the same time.
   */
  boolean supersedes(ServerExclusion other) {
    return other == null
        || atMillis > other.atMillis
        || (atMillis == other.atMillis && excluded && !other.excluded);
  }
}
