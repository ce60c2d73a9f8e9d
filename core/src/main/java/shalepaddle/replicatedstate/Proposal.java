package shalepaddle.replicatedstate;

/**
 * A command and its idempotency key. Immutable.
 *
 * @param id the idempotency key, chosen by the caller; a repeated proposal with the same id gets
 *     the first result and has no second effect
 * @param proposedAtMillis when it was proposed, in milliseconds since 1970
 * @param command the change
 */
public record Proposal(String id, long proposedAtMillis, StateCommand command) {
  /** Maximum number of characters in an id. */
  public static final int MAX_ID_LENGTH = 64;

  /** Maximum number of characters in a cache server's id. */
  public static final int MAX_SERVER_ID_LENGTH = 256;

  /**
   * Checks the lengths before the proposal is committed, since committed entries stay in the log.
   *
   * @throws IllegalArgumentException if the proposal's id or the server's id is empty or too long
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
