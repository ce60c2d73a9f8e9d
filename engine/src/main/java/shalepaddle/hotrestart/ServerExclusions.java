package shalepaddle.hotrestart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest exclusion or inclusion of each server, whichever process of the node received it.
 * Merging is commutative, associative and idempotent (a map of last-writer-wins registers): two
 * processes that read each other's records in any order, once or often, have the same in the end.
 *
 * <p>Bounded: past {@link #MAX_EXCLUSIONS} the oldest inclusion is removed, which only matters for
 * a process that has not read it yet. Not thread-safe.
 */
public final class ServerExclusions {
  private static final int MAX_EXCLUSIONS = 4096;

  private final Map<Long, ServerExclusion> latest = new LinkedHashMap<>();

  /** Records one; returns whether it changes what is in force. */
  public boolean record(ServerExclusion exclusion) {
    ServerExclusion before = latest.get(exclusion.server());
    if (!exclusion.supersedes(before)) {
      return false;
    }
    latest.remove(exclusion.server());
    latest.put(exclusion.server(), exclusion);
    if (latest.size() > MAX_EXCLUSIONS) {
      latest.values().stream()
          .filter(old -> !old.excluded())
          .findFirst()
          .ifPresent(old -> latest.remove(old.server()));
    }
    return before == null ? exclusion.excluded() : before.excluded() != exclusion.excluded();
  }

  /** Records those of another process; returns those that change what is in force. */
  public List<ServerExclusion> merge(Collection<ServerExclusion> others) {
    List<ServerExclusion> changes = new ArrayList<>();
    for (ServerExclusion exclusion : others) {
      if (record(exclusion)) {
        changes.add(exclusion);
      }
    }
    return changes;
  }

  /** The latest of each server, those recorded first in front. */
  public List<ServerExclusion> all() {
    return List.copyOf(latest.values());
  }
}
