package shalepaddle.hotrestart;

import java.util.List;
import shalepaddle.membership.MemberList;

/**
 * The state that one process of a node publishes to the others. Immutable.
 *
 * @param pid the process id
 * @param stage the stage of the process's service to clients
 * @param clientConnections the number of the process's open client connections
 * @param serverConnections the number of the process's open connections to cache servers
 * @param exclusions the operators' exclusions and inclusions that the process knows
 * @param memberList the complete endpoint list that the process knows, null if it has no list yet
 */
public record ProcessState(
    long pid,
    Stage stage,
    int clientConnections,
    int serverConnections,
    List<ServerExclusion> exclusions,
    MemberList memberList) {
  /** The stage of a process's service to clients. */
  public enum Stage {
    STARTING,
    READY,
    DRAINING
  }
}
