package shalepaddle.changefeed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a publisher sends to which subscriber. */
class ChangeFeedPublisherTest {
  private static final long MILLI = 1_000_000L;

  /** Two subscribers, 100 retained bytes, 50 bytes in flight. */
  private static final ChangeFeedPublisher.Limits LIMITS =
      new ChangeFeedPublisher.Limits(2, 100, 50, 250 * MILLI, 5000 * MILLI, 2500 * MILLI);

  private final List<String> sent = new ArrayList<>();
  private long now;

  /** The last log index that is applied in the state of the member. */
  private long stateIndex;

  private final ChangeFeedPublisher publisher =
      new ChangeFeedPublisher(
          "birds",
          0,
          LIMITS,
          new ChangeFeedPublisher.Output() {
            @Override
            public void send(long connection, PublisherMessage message) {
              sent.add(connection + " " + describe(message));
            }

            @Override
            public void close(long connection) {
              sent.add(connection + " closed");
            }

            @Override
            public PublisherMessage.Snapshot snapshot() {
              return new PublisherMessage.Snapshot(stateIndex, new byte[10]);
            }
          });

  private static String describe(PublisherMessage message) {
    if (message instanceof PublisherMessage.Entries entries) {
      return entries.previousIndex()
          + " then "
          + entries.entries().stream().map(ChangeEntry::index).toList();
    }
    if (message instanceof PublisherMessage.Snapshot snapshot) {
      return "snapshot " + snapshot.index();
    }
    return message instanceof PublisherMessage.Heartbeat heartbeat
        ? "heartbeat " + heartbeat.index()
        : "rejected: " + ((PublisherMessage.Rejected) message).reason();
  }

  private List<String> sent() {
    List<String> all = List.copyOf(sent);
    sent.clear();
    return all;
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
  void sendsMissingEntriesThenEachNewOne() {
    applyEntries(3, 5);
    hello(1, 3);
    applyEntries(8);
    assertEquals(List.of("1 3 then [5]", "1 5 then [8]"), sent());
  }

  @Test
  void sendsHeartbeatToSubscriberThatLacksNothing() {
    applyEntries(3);
    hello(1, 3);
    assertEquals(List.of("1 heartbeat 3"), sent());
    now += 250 * MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 heartbeat 3"), sent());
  }

  @Test
  void sendsSnapshotForEntriesThatAreNotRetained() {
    applyEntries(1, 2, 3, 4, 5, 6, 7);
    assertEquals(100, publisher.retainedBytes());
    hello(1, 1);
    hello(2, 5);
    assertEquals(List.of("1 snapshot 7", "2 5 then [6, 7]"), sent());
  }

  @Test
  void rejectsSubscriberWhileStateIsRebuilt() {
    applyEntries(1, 2, 3, 4, 5, 6, 7);
    stateIndex = 1;
    hello(1, 0);
    assertEquals(List.of("1 rejected: this member is catching up", "1 closed"), sent());
    stateIndex = 6;
    hello(2, 0);
    assertEquals(List.of("2 snapshot 6", "2 6 then [7]"), sent());
  }

  @Test
  void boundsBytesInFlightToSlowSubscriber() {
    hello(1, 0);
    hello(2, 0);
    sent();
    for (long index = 1; index <= 40; index++) {
      applyEntries(index);
      publisher.received(now, 2, new SubscriberMessage.Acknowledgement(index));
    }
    List<String> all = sent();
    assertEquals(40, all.stream().filter(line -> line.startsWith("2 ")).count());
    assertEquals(3, all.stream().filter(line -> line.startsWith("1 ")).count(), all.toString());
    assertTrue(publisher.inFlightBytes() <= 50 + 20, "in flight: " + publisher.inFlightBytes());
    assertEquals(100, publisher.retainedBytes());
    // It gets a snapshot, since the entries that it lacks are not retained any more.
    publisher.received(now, 1, new SubscriberMessage.Acknowledgement(3));
    assertEquals(List.of("1 snapshot 40"), sent());
  }

  @Test
  void disconnectsSubscriberThatDoesNotAcknowledge() {
    hello(1, 0);
    applyEntries(1);
    sent();
    now += 4999 * MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 heartbeat 1"), sent());
    now += MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 closed"), sent());
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
        sent());
    hello(1, 3);
    hello(2, 3);
    sent();
    hello(3, 3);
    hello(1, 3);
    assertEquals(
        List.of(
            "3 rejected: as many follow this member as may",
            "3 closed",
            "1 rejected: a second hello",
            "1 closed"),
        sent());
  }

  @Test
  void rejectsSubscribersAfterStart() {
    publisher.received(now, 1, new SubscriberMessage.Hello("birds", "n1", 0));
    assertTrue(sent().get(0).startsWith("1 rejected: this member knows nobody who leads"));
  }

  @Test
  void rejectsSubscribersAfterLeaderLossTimeout() {
    hello(1, 0);
    publisher.setLeaderKnown(now, false);
    sent();
    now += 2400 * MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 heartbeat 0"), sent());
    now += 200 * MILLI;
    publisher.tick(now);
    assertEquals(
        List.of("1 rejected: this member knows nobody who leads its group", "1 closed"), sent());
    publisher.received(now, 2, new SubscriberMessage.Hello("birds", "n2", 0));
    assertTrue(sent().get(0).startsWith("2 rejected"));
    hello(2, 0);
    assertEquals(List.of("2 heartbeat 0"), sent());
  }

  @Test
  void dropsRetainedEntriesForInstalledSnapshot() {
    applyEntries(1, 2);
    hello(1, 2);
    sent();
    stateIndex = 50;
    publisher.snapshotInstalled(now, 50);
    publisher.snapshotInstalled(now, 40);
    assertEquals(List.of("1 snapshot 50"), sent());
    assertEquals(50, publisher.lastIndex());
    assertThrows(IllegalStateException.class, () -> applyEntries(50));
  }

  @Test
  void remembersLastRejectionBySubscriberName() {
    applyEntries(3);
    hello(1, 3);
    publisher.received(
        now, 1, new SubscriberMessage.EntryRejected(3, "settings: 'classes' is missing"));
    assertEquals("settings: 'classes' is missing", publisher.lastRejections().get("n1").reason());
  }
}
