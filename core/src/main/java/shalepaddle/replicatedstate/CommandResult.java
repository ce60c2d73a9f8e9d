package shalepaddle.replicatedstate;

/**
 * What became of a proposal. Given once it is in the log of a majority, and never before.
 *
 * @param kind whether it holds
 * @param index its place in the log; of one that was asked again, that of the first time
 */
public record CommandResult(Kind kind, long index) {
  /** Whether an entry holds. */
  public enum Kind {
    /** It holds from its place in the log on, whoever is lost. */
    HELD,
    /** It changes nothing, for want of room. */
    NO_ROOM,
    /** It changes nothing here: a later version made it. */
    NOT_KNOWN
  }
}
