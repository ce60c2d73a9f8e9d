package shalepaddle.model;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * An update of the endpoint list: a watch event, or the result of a poll.
 *
 * @param kind what the entries represent
 * @param version the list's version, which increases with each change
 * @param entries the lines in the update, empty for a failure
 */
public record MembershipUpdate(Kind kind, long version, List<ServerEntry> entries) {

  /** The ids of the servers in the update. */
  public Set<Long> serverIds() {
    return entries.stream().map(ServerEntry::id).collect(Collectors.toUnmodifiableSet());
  }

  /** What the entries of an update represent. */
  public enum Kind {
    /** Only the lines of the endpoint list that changed. */
    DELTA,
    /** The complete endpoint list. */
    FULL,
    /** The complete endpoint list from this node's cache; it may be outdated. */
    CACHED,
    /** No lines: a poll for the endpoint list failed, or the watch was interrupted. */
    FAILED
  }
}
