package shalepaddle.replicatedstate;

/** A change of the replicated state. Immutable. */
public sealed interface StateCommand {
  /**
   * Excludes a cache server from routing on all nodes, or includes it again.
   *
   * @param serverId the server's id in the discovery service
   * @param isExcluded whether it is excluded
   */
  record SetExclusion(String serverId, boolean isExcluded) implements StateCommand {}

  /**
   * A command that only a later version supports; it has no effect on this version.
   *
   * @param kind the command's number in the log
   */
  record UnknownCommand(int kind) implements StateCommand {}
}
