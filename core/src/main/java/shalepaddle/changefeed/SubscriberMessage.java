package shalepaddle.changefeed;

/** What a follower says to the member that it follows. */
public sealed interface SubscriberMessage {
  /** Characters of a name, and of what is wrong, at most. */
  int MAX_TEXT_LENGTH = 256;

  /**
   * The first words on a connection.
   *
   * @param group whose feed it wants
   * @param name the follower's own
   * @param index the place up to which it knows all, 0 for nothing
   */
  record Hello(String group, String name, long index) implements SubscriberMessage {}

  /**
   * It has taken all up to there.
   *
   * @param index a place in the log
   */
  record Acknowledgement(long index) implements SubscriberMessage {}

  /**
   * It has taken an entry and can't do what it says; what was in force before holds.
   *
   * @param index the entry's place
   * @param reason is wrong with it, in words
   */
  record EntryRejected(long index, String reason) implements SubscriberMessage {}
}
