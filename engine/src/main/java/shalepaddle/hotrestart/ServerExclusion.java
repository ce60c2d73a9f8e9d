package shalepaddle.hotrestart;

/**
 * An operator's last word on a cache server.
 *
 * @param server its number
 * @param excluded whether it is left out, or put back
 * @param atMillis when that was said, in milliseconds since 1970
 */
public record ServerExclusion(long server, boolean excluded, long atMillis) {
  /**
   * Whether this word goes before another on the same server; of two at once, the one that bars.
   */
  boolean supersedes(ServerExclusion other) {
    return other == null
        || atMillis > other.atMillis
        || (atMillis == other.atMillis && excluded && !other.excluded);
  }
}
