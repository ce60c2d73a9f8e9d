package shalepaddle.hotrestart;

/**
 * An operator's exclusion of a cache server, or its inclusion again. Immutable.
 *
 * @param server the server's number
 * @param excluded whether it is excluded, or included again
 * @param atMillis when the operator did so, in milliseconds since 1970
 */
public record ServerExclusion(long server, boolean excluded, long atMillis) {
  /**
   * Whether this one is in force instead of another on the same server: the later one, or the
   * exclusion where both have the same time.
   */
  boolean supersedes(ServerExclusion other) {
    return other == null
        || atMillis > other.atMillis
        || (atMillis == other.atMillis && excluded && !other.excluded);
  }
}
