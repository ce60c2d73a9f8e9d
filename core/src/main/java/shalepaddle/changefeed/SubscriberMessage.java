package shalepaddle.changefeed;

/** A message from a subscriber to a publisher. */
public sealed interface SubscriberMessage {
  /** Maximum number of characters in a name or a reason. */
  int MAX_TEXT_LENGTH = 256;

  /**
   * The first message that a subscriber sends on a connection.
   *
   * @param group the name of the group that the subscriber follows
   * @param name the subscriber's name
   * @param index the last log index that the subscriber has received, 0 for none
   */
  record Hello(String group, String name, long index) implements SubscriberMessage {}

  /**
   * An acknowledgement: the subscriber has received everything up to an index.
   *
   * @param index the last log index that the subscriber has received
   */
  record Acknowledgement(long index) implements SubscriberMessage {}

  /**
   * A report that the subscriber can't apply an entry; its state is unchanged.
   *
   * @param index the entry's log index
   * @param reason the reason for operators
   */
  record EntryRejected(long index, String reason) implements SubscriberMessage {}
}
