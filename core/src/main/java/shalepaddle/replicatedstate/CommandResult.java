package shalepaddle.replicatedstate;

/**
 * The result of a command. Only returned once a majority of the members has its entry on disk.
 *
 * @param outcome whether the command took effect
 * @param index the entry's index in the log; for a repeated proposal, the index of its first entry
 */
public record CommandResult(Outcome outcome, long index) {
  /** Whether a command took effect. Immutable. */
  public enum Outcome {
    /** The command is in effect from its log index on, and survives the failure of members. */
    COMMITTED("HELD"),
    /** The command has no effect: the maximum number of excluded servers is reached. */
    CAPACITY_EXCEEDED("NO_ROOM"),
    /** The command has no effect: it was written by a later version of the program. */
    UNKNOWN_COMMAND("NOT_KNOWN");

    private final String wireName;

    Outcome(String wireName) {
      this.wireName = wireName;
    }

    /** The name in messages, snapshots and the output of commands; must never change. */
    public String wireName() {
      return wireName;
    }

    /**
     * Returns the outcome with this wire name.
     *
     * @throws IllegalArgumentException if there is none; the message contains the wire name
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
