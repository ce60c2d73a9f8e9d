package shalepaddle.hotrestart;

/**
 * An operator's exclusion of a cache server, or its later inclusion. Immutable.
 *
 * @param server the server's number
 * @param isExcluded true for an exclusion, false for an inclusion
 * @param commandedAtMillis the time of the operator's command, in milliseconds since 1970
 */
public record ServerExclusion(long server, boolean isExcluded, long commandedAtMillis) {
  /**
   * Whether this record replaces the other record of the same server: the later record is in force,
   * or the exclusion if both have the same time.
   */
  boolean supersedes(ServerExclusion other) {
    return other == null
        || commandedAtMillis > other.commandedAtMillis
        || (commandedAtMillis == other.commandedAtMillis && isExcluded && !other.isExcluded);
  }
}
