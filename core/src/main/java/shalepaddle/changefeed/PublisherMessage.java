package shalepaddle.changefeed;

import java.util.List;

/** A message of a publisher to a subscriber, in order on one connection. */
public sealed interface PublisherMessage {
  /**
   * All entries after an index, up to the last of these.
   *
   * @param previousIndex the subscriber must know the log up to there
   * @param entries in order, at least one
   */
  record Entries(long previousIndex, List<ChangeEntry> entries) implements PublisherMessage {}

  /**
   * The whole state, for a subscriber that lacks entries that are not retained any more.
   *
   * @param index the last log index that is applied in it
   * @param state its bytes
   */
  // Never compared; a copy for each subscriber would cost more.
  @SuppressWarnings("ArrayRecordComponent")
  record Snapshot(long index, byte[] state) implements PublisherMessage {}

  /**
   * Nothing is new.
   *
   * @param index the last log index that was sent on this connection
   */
  record Heartbeat(long index) implements PublisherMessage {}

  /**
   * This member does not serve the subscriber now, and closes the connection.
   *
   * @param reason for operators
   */
  record Rejected(String reason) implements PublisherMessage {}
}
