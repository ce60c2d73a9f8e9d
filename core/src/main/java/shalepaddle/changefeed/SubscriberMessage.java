package shalepaddle.changefeed;

/** A message of a subscriber to a publisher. */
public sealed interface SubscriberMessage {
  /** Characters of a name, or of a reason, at most. */
  int MAX_TEXT_LENGTH = 256;

  /**
   * The first message on a connection.
   *
   * @param group the group that it subscribes to
   * @param name the subscriber's own
   * @param index the last log index that it knows, 0 for none
   */
  record Hello(String group, String name, long index) implements SubscriberMessage {}

  /**
   * It has received everything up to an index.
   *
   * @param index a log index
   */
  record Acknowledgement(long index) implements SubscriberMessage {}

  /**
   * It has received an entry that it can't apply, and keeps its state.
   *
   * @param index the entry's log index
   * @param reason for operators
   */
  record EntryRejected(long index, String reason) implements SubscriberMessage {}
}
