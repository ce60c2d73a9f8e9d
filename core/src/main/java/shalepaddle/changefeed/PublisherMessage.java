package shalepaddle.changefeed;

import java.util.List;

/** A message from a publisher to a subscriber. Messages arrive in order on one connection. */
public sealed interface PublisherMessage {
  /**
   * Consecutive entries of the log: all entries from after an index to the last one given.
   *
   * @param previousIndex the index that the subscriber must have received the log up to
   * @param entries the entries in order, at least one
   */
  record Entries(long previousIndex, List<ChangeEntry> entries) implements PublisherMessage {}

  /**
   * The complete state, for a subscriber that lacks entries which are no longer retained.
   *
   * @param index the last log index that is applied in the state
   * @param state the encoded state
   */
  // Snapshots are never compared, and copying the array for each subscriber would be expensive.
  @SuppressWarnings("ArrayRecordComponent")
  record Snapshot(long index, byte[] state) implements PublisherMessage {}

  /**
   * A heartbeat: there are no new entries.
   *
   * @param index the last log index that was sent on this connection
   */
  record Heartbeat(long index) implements PublisherMessage {}

  /**
   * A rejection: this member does not serve the subscriber now and closes the connection.
   *
   * @param reason the reason for operators
   */
  record Rejection(String reason) implements PublisherMessage {}
}
