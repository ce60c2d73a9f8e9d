package shalepaddle.model;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * News of the list of servers.
 *
 * @param kind what the entries mean
 * @param version the list's version
 * @param entries the lines that came with it
 */
public record MembershipUpdate(Kind kind, long version, List<ServerEntry> entries) {

  /** The servers that it names. */
  public Set<Long> serverIds() {
    return entries.stream().map(ServerEntry::id).collect(Collectors.toUnmodifiableSet());
  }

  /** What an update holds. */
  public enum Kind {
    /** The entries that changed. */
    DELTA,
    /** The whole list. */
    FULL,
    /** The whole list as it was last known, perhaps old. */
    CACHED,
    /** A call for the list failed, or the subscription broke. */
    FAILED
  }
}
