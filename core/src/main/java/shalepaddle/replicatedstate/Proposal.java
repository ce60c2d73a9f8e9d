package shalepaddle.replicatedstate;

/**
 * A command and its idempotency key. Immutable.
 *
 * @param id chosen by the caller; a repeat under the same id gets the first result and has no
 *     second effect
 * @param proposedAtMillis when it was proposed, in milliseconds since 1970
 * @param command the change
 */
public record Proposal(String id, long proposedAtMillis, StateCommand command) {
  /** Characters of an id at most. */
  public static final int MAX_ID_LENGTH = 64;

  /** Characters of a cache server's id at most. */
  public static final int MAX_SERVER_ID_LENGTH = 256;

  /**
   * Checks the lengths, since a committed entry stays in the log.
   *
   * @throws IllegalArgumentException says what is wrong
   */
  public Proposal {
    if (id.isEmpty() || id.length() > MAX_ID_LENGTH) {
      throw new IllegalArgumentException(
          "a proposal's id has 1 to " + MAX_ID_LENGTH + " characters");
    }
    if (command instanceof StateCommand.SetExclusion exclusion) {
      int length = exclusion.serverId().length();
      if (length == 0 || length > MAX_SERVER_ID_LENGTH) {
        throw new IllegalArgumentException(
            "a server's id has 1 to " + MAX_SERVER_ID_LENGTH + " characters");
      }
    }
  }
}
