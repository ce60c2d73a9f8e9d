package shalepaddle.replicatedstate;

/**
 * An entry, and who asks for it.
 *
 * @param id the caller's own; the same id asked again gets the same answer, and no second effect
 * @param proposedAtMillis when it was proposed, in milliseconds since 1970
 * @param command what is to be held
 */
public record Proposal(String id, long proposedAtMillis, StateCommand command) {
  /** Characters of an id at most. */
  public static final int MAX_ID_LENGTH = 64;

  /** Characters of a cache server's id at most. */
  public static final int MAX_SERVER_ID_LENGTH = 256;

  /**
   * Checks what would be held for good.
   *
   * @throws IllegalArgumentException says what is wrong
   */
  public Proposal {
    if (id.isEmpty() || id.length() > MAX_ID_LENGTH) {
      throw new IllegalArgumentException("an id has 1 to " + MAX_ID_LENGTH + " characters");
    }
    if (command instanceof StateCommand.SetExclusion say
        && (say.serverId().isEmpty() || say.serverId().length() > MAX_SERVER_ID_LENGTH)) {
      throw new IllegalArgumentException(
          "a member has 1 to " + MAX_SERVER_ID_LENGTH + " characters");
    }
  }
}
