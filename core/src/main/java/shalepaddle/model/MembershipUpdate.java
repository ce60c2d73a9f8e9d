package shalepaddle.model;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An update of the endpoint list: a watch event, or the result of a poll.
 *
 * @param kind what the entries are
 * @param version the list's version, which grows
 * @param entries the lines that came with it, empty for a failure
 */
public record MembershipUpdate(Kind kind, long version, List<ServerEntry> entries) {

  /** The ids of the servers that it names. */
  public Set<Long> serverIds() {
    return entries.stream().map(ServerEntry::id).collect(Collectors.toUnmodifiableSet());
  }

  /** What the entries of an update are. */
  public enum Kind {
    /** The lines that changed. */
    DELTA,
    /** The complete list. */
    FULL,
    /** The complete list from a cache of this node, perhaps old. */
    CACHED,
    /** A poll for the list failed, or the watch was interrupted. */
    FAILED
  }
}
