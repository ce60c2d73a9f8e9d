package shalepaddle.changefeed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests what a publisher sends to each subscriber, and when it rejects one. */
class ChangeFeedPublisherTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Limits of two subscribers, 100 bytes of retained entries and 50 bytes in flight. */
  private static final ChangeFeedPublisher.Limits LIMITS =
      new ChangeFeedPublisher.Limits(
          2, 100, 50, 250 * NANOS_PER_MILLI, 5000 * NANOS_PER_MILLI, 2500 * NANOS_PER_MILLI);

  private final List<String> sentMessages = new ArrayList<>();
  private long now;

  /** The last log index that is applied in the member's state. */
  private long stateIndex;

  private final ChangeFeedPublisher publisher =
      new ChangeFeedPublisher(
          "birds",
          0,
          LIMITS,
          new ChangeFeedPublisher.Output() {
            @Override
            public void send(long connection, PublisherMessage message) {
              sentMessages.add(connection + " " + describe(message));
            }

            @Override
            public void close(long connection) {
              sentMessages.add(connection + " closed");
            }

            @Override
            public PublisherMessage.Snapshot snapshot() {
              return new PublisherMessage.Snapshot(stateIndex, new byte[10]);
            }
          });

  private static String describe(PublisherMessage message) {
    if (message instanceof PublisherMessage.Entries entries) {
      return "entries "
          + entries.entries().stream().map(ChangeEntry::index).toList()
          + " after "
          + entries.previousIndex();
    }
    if (message instanceof PublisherMessage.Snapshot snapshot) {
      return "snapshot " + snapshot.index();
    }
    return message instanceof PublisherMessage.Heartbeat heartbeat
        ? "heartbeat " + heartbeat.index()
        : "rejected: " + ((PublisherMessage.Rejection) message).reason();
  }

  /** Returns the messages sent since the last call, each after the number of its connection. */
  private List<String> takeSent() {
    List<String> newMessages = List.copyOf(sentMessages);
    sentMessages.clear();
    return newMessages;
  }

  private void hello(long connection, long index) {
    publisher.setLeaderKnown(now, true);
    publisher.received(
        now, connection, new SubscriberMessage.Hello("birds", "n" + connection, index));
  }

  /** Applies entries of 4 bytes, 20 with their overhead. */
  private void applyEntries(long... indexes) {
    for (long index : indexes) {
      stateIndex = index;
      publisher.entryApplied(now, new ChangeEntry(index, new byte[4]));
    }
  }

  @Test
  void sendsMissingEntriesAndThenNewOnes() {
    applyEntries(3, 5);
    hello(1, 3);
    applyEntries(8);
    assertEquals(List.of("1 entries [5] after 3", "1 entries [8] after 5"), takeSent());
  }

  @Test
  void sendsHeartbeatToSubscriberThatLacksNothing() {
    applyEntries(3);
    hello(1, 3);
    assertEquals(List.of("1 heartbeat 3"), takeSent());
    now += 250 * NANOS_PER_MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 heartbeat 3"), takeSent());
  }

  @Test
  void sendsSnapshotForEntriesThatAreNotRetained() {
    applyEntries(1, 2, 3, 4, 5, 6, 7);
    assertEquals(100, publisher.retainedBytes());
    hello(1, 1);
    hello(2, 5);
    assertEquals(List.of("1 snapshot 7", "2 entries [6, 7] after 5"), takeSent());
  }

  @Test
  void rejectsSubscriberWhileStateIsRebuilt() {
    applyEntries(1, 2, 3, 4, 5, 6, 7);
    stateIndex = 1;
    hello(1, 0);
    assertEquals(List.of("1 rejected: this member is catching up", "1 closed"), takeSent());
    stateIndex = 6;
    hello(2, 0);
    assertEquals(List.of("2 snapshot 6", "2 entries [7] after 6"), takeSent());
  }

  @Test
  void boundsBytesInFlightToSlowSubscriber() {
    hello(1, 0);
    hello(2, 0);
    takeSent();
    for (long index = 1; index <= 40; index++) {
      applyEntries(index);
      publisher.received(now, 2, new SubscriberMessage.Acknowledgement(index));
    }
    List<String> newMessages = takeSent();
    assertEquals(40, newMessages.stream().filter(line -> line.startsWith("2 ")).count());
    assertEquals(
        3,
        newMessages.stream().filter(line -> line.startsWith("1 ")).count(),
        newMessages.toString());
    assertTrue(
        publisher.inFlightBytes() <= 50 + 20, "bytes in flight: " + publisher.inFlightBytes());
    assertEquals(100, publisher.retainedBytes());
    // The slow subscriber gets a snapshot, since the entries that it lacks are no longer retained.
    publisher.received(now, 1, new SubscriberMessage.Acknowledgement(3));
    assertEquals(List.of("1 snapshot 40"), takeSent());
  }

  @Test
  void disconnectsSubscriberThatDoesNotAcknowledge() {
    hello(1, 0);
    applyEntries(1);
    takeSent();
    now += 4999 * NANOS_PER_MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 heartbeat 1"), takeSent());
    now += NANOS_PER_MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 closed"), takeSent());
    assertEquals(0, publisher.subscriberCount());
  }

  @Test
  void rejectsSubscribersThatItCannotServe() {
    applyEntries(3);
    publisher.setLeaderKnown(now, true);
    publisher.received(now, 7, new SubscriberMessage.Acknowledgement(3));
    publisher.received(now, 8, new SubscriberMessage.Hello("fish", "n8", 0));
    hello(9, 4);
    assertEquals(
        List.of(
            "7 rejected: speaks before it says who it is",
            "7 closed",
            "8 rejected: it follows group 'fish', and this is 'birds'",
            "8 closed",
            "9 rejected: this member knows up to 3, less than 4",
            "9 closed"),
        takeSent());
    hello(1, 3);
    hello(2, 3);
    takeSent();
    hello(3, 3);
    hello(1, 3);
    assertEquals(
        List.of(
            "3 rejected: as many follow this member as may",
            "3 closed",
            "1 rejected: a second hello",
            "1 closed"),
        takeSent());
  }

  @Test
  void rejectsSubscribersUntilLeaderIsKnown() {
    publisher.received(now, 1, new SubscriberMessage.Hello("birds", "n1", 0));
    assertTrue(takeSent().get(0).startsWith("1 rejected: this member knows nobody who leads"));
  }

  @Test
  void rejectsSubscribersAfterLeaderLossTimeout() {
    hello(1, 0);
    publisher.setLeaderKnown(now, false);
    takeSent();
    now += 2400 * NANOS_PER_MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 heartbeat 0"), takeSent());
    now += 200 * NANOS_PER_MILLI;
    publisher.tick(now);
    assertEquals(
        List.of("1 rejected: this member knows nobody who leads its group", "1 closed"),
        takeSent());
    publisher.received(now, 2, new SubscriberMessage.Hello("birds", "n2", 0));
    assertTrue(takeSent().get(0).startsWith("2 rejected"));
    hello(2, 0);
    assertEquals(List.of("2 heartbeat 0"), takeSent());
  }

  @Test
  void dropsRetainedEntriesWhenSnapshotIsInstalled() {
    applyEntries(1, 2);
    hello(1, 2);
    takeSent();
    stateIndex = 50;
    publisher.snapshotInstalled(now, 50);
    publisher.snapshotInstalled(now, 40);
    assertEquals(List.of("1 snapshot 50"), takeSent());
    assertEquals(50, publisher.lastIndex());
    assertThrows(IllegalStateException.class, () -> applyEntries(50));
  }

  @Test
  void recordsLastRejectedEntryBySubscriberName() {
    applyEntries(3);
    hello(1, 3);
    publisher.received(
        now, 1, new SubscriberMessage.EntryRejected(3, "settings: 'classes' is missing"));
    assertEquals("settings: 'classes' is missing", publisher.lastRejections().get("n1").reason());
  }
}
