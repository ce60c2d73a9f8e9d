package shalepaddle.replicatedstate;

/** What is asked to be held. A kind that is not known here is passed over, and changes nothing. */
public sealed interface StateCommand {
  /**
   * An operator's word on a cache server, for all nodes.
   *
   * @param serverId its id, as discovery has it
   * @param excluded whether it is left out, or put back
   */
  record SetExclusion(String serverId, boolean excluded) implements StateCommand {}

  /**
   * An entry of a kind that a later version made.
   *
   * @param kind its number
   */
  record Unknown(int kind) implements StateCommand {}
}
