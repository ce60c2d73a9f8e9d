package shalepaddle.hotrestart;

import java.util.List;
import shalepaddle.membership.MemberList;

/**
 * What one process of a node tells the others of itself. Immutable.
 *
 * @param pid its process id
 * @param stage what it does for clients now
 * @param clients connections of clients that it holds
 * @param serverConnections connections to cache servers that it holds
 * @param exclusions operators' words on servers
 * @param list the list of servers as it has it, null if it has none yet
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
