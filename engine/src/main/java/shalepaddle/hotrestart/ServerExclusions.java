package shalepaddle.hotrestart;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest exclusion or inclusion of each server, received by any process of the node. Merging is
 * commutative, associative and idempotent (a map of last-writer-wins registers): processes that
 * read each other's records converge, regardless of the order and the number of reads.
 *
 * <p>Above {@link #MAX_EXCLUSIONS} entries the oldest inclusion is removed, which affects only
 * processes that have not read it yet. Not thread-safe.
 */
public final class ServerExclusions {
  private static final int MAX_EXCLUSIONS = 4096;

  private final Map<Long, ServerExclusion> latestByServer = new LinkedHashMap<>();

  /** Records an exclusion or inclusion; returns whether the server's state changes. */
  public boolean record(ServerExclusion exclusion) {
    ServerExclusion previous = latestByServer.get(exclusion.server());
    if (!exclusion.supersedes(previous)) {
      return false;
    }
    latestByServer.remove(exclusion.server());
    latestByServer.put(exclusion.server(), exclusion);
    if (latestByServer.size() > MAX_EXCLUSIONS) {
      latestByServer.values().stream()
          .filter(entry -> !entry.isExcluded())
          .findFirst()
          .ifPresent(entry -> latestByServer.remove(entry.server()));
    }
    return previous == null
        ? exclusion.isExcluded()
        : previous.isExcluded() != exclusion.isExcluded();
  }

  /**
   * Records the exclusions and inclusions that another process knows; returns those records that
   * change a server's state.
   */
  public List<ServerExclusion> merge(Collection<ServerExclusion> otherExclusions) {
    List<ServerExclusion> changes = new ArrayList<>();
    for (ServerExclusion exclusion : otherExclusions) {
      if (record(exclusion)) {
        changes.add(exclusion);
      }
    }
    return changes;
  }

  /** The latest exclusion or inclusion of each server, in the order in which they were recorded. */
  public List<ServerExclusion> latestRecords() {
    return List.copyOf(latestByServer.values());
  }
}
