package shalepaddle.replicatedstate;

/**
 * An entry, and who asks for it.
 *
 * @param id the caller's own; the same id asked again gets the same answer, and no second effect
 * @param atMillis when it was proposed, in milliseconds since 1970
 * @param entry what is to be held
 */
public record Proposal(String id, long atMillis, StateCommand entry) {
  /** Characters of an id at most. */
  public static final int MOST_ID = 64;

  /** Characters of a cache server's id at most. */
  public static final int MOST_MEMBER = 256;

  /**
   * Checks what would be held for good.
   *
   * @throws IllegalArgumentException says what is wrong
   */
  public Proposal {
    if (id.isEmpty() || id.length() > MOST_ID) {
      throw new IllegalArgumentException("an id has 1 to " + MOST_ID + " characters");
    }
    if (entry instanceof StateCommand.Say say
        && (say.member().isEmpty() || say.member().length() > MOST_MEMBER)) {
      throw new IllegalArgumentException("a member has 1 to " + MOST_MEMBER + " characters");
    }
  }
}
