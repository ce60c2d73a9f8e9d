package shalepaddle.hotrestart;

import java.util.List;
import shalepaddle.membership.MemberList;

/**
 * What one process of a node publishes to the others about itself. Immutable.
 *
 * @param pid its process id
 * @param stage what it does for clients now
 * @param clients its open client connections
 * @param serverConnections its open connections to cache servers
 * @param exclusions operators' exclusions and inclusions that it knows
 * @param list the complete list of servers that it knows, null if it has none yet
 */
public record ProcessState(
    long pid,
    Stage stage,
    int clients,
    int serverConnections,
    List<ServerExclusion> exclusions,
    MemberList list) {
  /** What a process does for clients. */
  public enum Stage {
    STARTING,
    READY,
    DRAINING
  }
}
