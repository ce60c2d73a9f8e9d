package shalepaddle.replicatedstate;

/** A change of the replicated state. Immutable. */
public sealed interface StateCommand {
  /**
   * Excludes a cache server from routing on all nodes, or includes it again.
   *
   * @param serverId the server's id, as discovery has it
   * @param excluded whether it is excluded
   */
  record SetExclusion(String serverId, boolean excluded) implements StateCommand {}

  /**
   * A command that only a later version knows; it changes nothing here.
   *
   * @param kind its number in the log
   */
  record Unknown(int kind) implements StateCommand {}
}
