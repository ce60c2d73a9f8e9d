package shalepaddle.replicatedstate;

/**
 * What became of a command. Given once a majority has its entry on disk, and never before.
 *
 * @param outcome whether the command took effect
 * @param index the entry's index in the log; for a proposal that was repeated, that of its first
 *     entry
 */
public record CommandResult(Outcome outcome, long index) {
  /** Whether a command took effect. Immutable. */
  public enum Outcome {
    /** In effect from its log index on, whichever members fail. */
    COMMITTED("HELD"),
    /** Without effect: as many servers are excluded as may be. */
    CAPACITY_EXCEEDED("NO_ROOM"),
    /** Without effect on this version: a later version made the command. */
    UNKNOWN_COMMAND("NOT_KNOWN");

    private final String wireName;

    Outcome(String wireName) {
      this.wireName = wireName;
    }

    /** The name in messages, in snapshots and in the output of commands; never changes. */
    public String wireName() {
      return wireName;
    }

    /**
     * The outcome of this wire name.
     *
     * @throws IllegalArgumentException if there is none; names it
     */
    public static Outcome ofWireName(String wireName) {
      for (Outcome outcome : values()) {
        if (outcome.wireName.equals(wireName)) {
          return outcome;
        }
      }
      throw new IllegalArgumentException("no outcome of a command is named '" + wireName + "'");
    }
  }
}
