package shalepaddle.changefeed;

import java.util.List;

/** What a member tells a follower, in order, on one connection. */
public sealed interface PublisherMessage {
  /**
   * All entries behind that place up to the last of these.
   *
   * @param previousIndex the place up to which the follower knows all
   * @param entries in order, at least one
   */
  record Entries(long previousIndex, List<ChangeEntry> entries) implements PublisherMessage {}

  /**
   * The whole state, for one that lacks entries that are not kept any more.
   *
   * @param index up to which place of the log it goes
   * @param state the state
   */
  // Never compared; a copy for each subscriber would cost.
  @SuppressWarnings("ArrayRecordComponent")
  record Snapshot(long index, byte[] state) implements PublisherMessage {}

  /**
   * Nothing is new.
   *
   * @param index the place up to which all has been told on this connection
   */
  record Heartbeat(long index) implements PublisherMessage {}

  /**
   * This member can't be followed now.
   *
   * @param reason in words
   */
  record Rejected(String reason) implements PublisherMessage {}
}
