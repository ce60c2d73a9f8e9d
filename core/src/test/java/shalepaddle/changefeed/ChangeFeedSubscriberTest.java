package shalepaddle.changefeed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests which messages a subscriber accepts and when it switches to another member. */
class ChangeFeedSubscriberTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final ChangeFeedSubscriber.Timeouts TIMEOUTS =
      ChangeFeedSubscriber.Timeouts.DEFAULT;

  private final List<String> actions = new ArrayList<>();
  private long now = 1_000_000 * NANOS_PER_MILLI;
  private final ChangeFeedSubscriber subscriber =
      new ChangeFeedSubscriber(
          "birds",
          "n1",
          3,
          1,
          now,
          TIMEOUTS,
          new ChangeFeedSubscriber.Output() {
            @Override
            public void connect(int member) {
              actions.add("connect");
            }

            @Override
            public void close() {
              actions.add("close");
            }

            @Override
            public void send(SubscriberMessage message) {
              actions.add(message.toString());
            }

            @Override
            public void apply(ChangeEntry entry) {
              actions.add("apply " + entry.index());
            }

            @Override
            public boolean installSnapshot(long index, byte[] state) {
              actions.add("install " + index);
              return state.length > 0;
            }

            @Override
            public void contactChanged(boolean isInContact) {
              actions.add(isInContact ? "in contact" : "out of contact");
            }

            @Override
            public void rejected(int member, String reason) {
              actions.add("rejected: " + reason);
            }
          });

  private static PublisherMessage entries(long previousIndex, long... indexes) {
    return new PublisherMessage.Entries(
        previousIndex,
        LongStream.of(indexes).mapToObj(index -> new ChangeEntry(index, new byte[1])).toList());
  }

  /** Returns the actions since the last call. */
  private List<String> takeActions() {
    List<String> takenActions = List.copyOf(actions);
    actions.clear();
    return takenActions;
  }

  /** Advances the time and calls {@code tick} whenever it is due. */
  private void advance(long millis) {
    for (long endNanos = now + millis * NANOS_PER_MILLI; now < endNanos; now += NANOS_PER_MILLI) {
      if (subscriber.nextTickNanos() <= now) {
        subscriber.tick(now);
      }
    }
  }

  /** Subscribes to a member, which sends a snapshot up to this index. */
  private void subscribeFrom(long index) {
    advance(200);
    subscriber.connected(now);
    subscriber.received(now, new PublisherMessage.Snapshot(index, new byte[1]));
    takeActions();
  }

  @Test
  void sendsHelloWithItsOwnIndex() {
    advance(200);
    subscriber.connected(now);
    assertEquals(List.of("connect", "Hello[group=birds, name=n1, index=0]"), takeActions());
    subscriber.received(now, entries(0, 3, 5));
    assertEquals(List.of("apply 3", "apply 5", "in contact"), takeActions());
    advance(600);
    assertEquals("Acknowledgement[index=5]", takeActions().get(0));
  }

  @Test
  void appliesEachEntryOnceAndIgnoresOlderState() {
    subscribeFrom(5);
    subscriber.received(now, entries(3, 4, 5, 7));
    subscriber.received(now, entries(3, 4, 5, 7));
    subscriber.received(now, new PublisherMessage.Snapshot(6, new byte[1]));
    assertEquals(List.of("apply 7"), takeActions());
    assertEquals(7, subscriber.lastIndex());
  }

  @Test
  void resubscribesWhenEntriesAreMissing() {
    subscribeFrom(5);
    subscriber.received(now, entries(7, 9));
    assertEquals(List.of("close"), takeActions());
    subscriber.received(now, entries(5, 7));
    assertEquals(List.of(), takeActions(), "entries of a closed connection are ignored");
    advance(200);
    subscriber.connected(now);
    assertEquals(List.of("connect", "Hello[group=birds, name=n1, index=5]"), takeActions());
  }

  @Test
  void detectsMissingEntriesByHeartbeat() {
    subscribeFrom(5);
    subscriber.received(now, new PublisherMessage.Heartbeat(6));
    assertEquals(List.of("close"), takeActions());
  }

  @Test
  void keepsStateWhenSnapshotIsUnreadable() {
    subscribeFrom(5);
    subscriber.received(now, new PublisherMessage.Snapshot(9, new byte[0]));
    assertEquals(List.of("install 9", "close"), takeActions());
    assertEquals(5, subscriber.lastIndex());
  }

  @Test
  void switchesMemberAfterSilenceAndReportsLostContact() {
    subscribeFrom(5);
    final int firstMember = subscriber.member();
    advance(TIMEOUTS.silenceTimeoutNanos() / NANOS_PER_MILLI + 1);
    assertTrue(takeActions().contains("close"));
    assertTrue(subscriber.member() != firstMember);
    advance(TIMEOUTS.contactTimeoutNanos() / NANOS_PER_MILLI);
    assertTrue(takeActions().contains("out of contact"));
    assertFalse(subscriber.isInContact());
    subscriber.connected(now);
    subscriber.received(now, new PublisherMessage.Heartbeat(5));
    assertTrue(subscriber.isInContact());
  }

  @Test
  void reportsRejectionAndSwitchesMember() {
    advance(200);
    subscriber.connected(now);
    takeActions();
    subscriber.received(
        now, new PublisherMessage.Rejection("it follows group 'fish', and this is 'birds'"));
    assertEquals(
        List.of("rejected: it follows group 'fish', and this is 'birds'", "close"), takeActions());
    assertEquals(0, subscriber.lastIndex());
  }

  /** Guards against accepting messages that are as old as the stall after which they are read. */
  @Test
  void ignoresMessagesReceivedDuringStall() {
    subscribeFrom(5);
    now += 3000 * NANOS_PER_MILLI;
    subscriber.received(now, entries(5, 7));
    assertEquals(List.of("out of contact", "close"), takeActions());
    assertEquals(5, subscriber.lastIndex());
  }

  @Test
  void backsOffWhileMembersDoNotRespond() {
    int attempts = 0;
    for (int i = 0; i < 100; i++) {
      advance(100);
      if (takeActions().contains("connect")) {
        attempts++;
        subscriber.disconnected(now);
        takeActions();
      }
    }
    // The backoff is at most 1 s, and 0.5 s on average.
    assertTrue(attempts > 8 && attempts < 40, "connection attempts within 10 s: " + attempts);
  }

  @Test
  void truncatesReasonOfRejectedEntry() {
    subscribeFrom(5);
    subscriber.rejectEntry(5, "x".repeat(1000));
    assertEquals(
        List.of(
            "EntryRejected[index=5, reason=" + "x".repeat(SubscriberMessage.MAX_TEXT_LENGTH) + "]"),
        takeActions());
  }
}
