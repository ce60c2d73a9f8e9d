package shalepaddle.changefeed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** What a subscriber accepts, and when it switches to another member. */
class ChangeFeedSubscriberTest {
  private static final long MILLI = 1_000_000L;
  private static final ChangeFeedSubscriber.Timeouts TIMEOUTS =
      ChangeFeedSubscriber.Timeouts.DEFAULT;

  private final List<String> actions = new ArrayList<>();
  private long now = 1_000_000 * MILLI;
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
            public boolean installSnapshot(long index, byte[] image) {
              actions.add("load " + index);
              return image.length > 0;
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

  /** The actions since the last call of this. */
  private List<String> actions() {
    List<String> done = List.copyOf(actions);
    actions.clear();
    return done;
  }

  /** Advances the time; ticks when the subscriber wants it. */
  private void advance(long millis) {
    for (long end = now + millis * MILLI; now < end; now += MILLI) {
      if (subscriber.nextTickNanos() <= now) {
        subscriber.tick(now);
      }
    }
  }

  private void subscribeFrom(long index) {
    advance(200);
    subscriber.connected(now);
    subscriber.received(now, new PublisherMessage.Snapshot(index, new byte[1]));
    actions();
  }

  @Test
  void sendsHelloWithItsOwnIndex() {
    advance(200);
    subscriber.connected(now);
    assertEquals(List.of("connect", "Hello[group=birds, name=n1, index=0]"), actions());
    subscriber.received(now, entries(0, 3, 5));
    assertEquals(List.of("apply 3", "apply 5", "in contact"), actions());
    advance(600);
    assertEquals("Acknowledgement[index=5]", actions().get(0));
  }

  @Test
  void appliesEachEntryOnceAndNeverGoesBack() {
    subscribeFrom(5);
    subscriber.received(now, entries(3, 4, 5, 7));
    subscriber.received(now, entries(3, 4, 5, 7));
    subscriber.received(now, new PublisherMessage.Snapshot(6, new byte[1]));
    assertEquals(List.of("apply 7"), actions());
    assertEquals(7, subscriber.lastIndex());
  }

  @Test
  void subscribesAgainWhenEntriesAreMissing() {
    subscribeFrom(5);
    subscriber.received(now, entries(7, 9));
    assertEquals(List.of("close"), actions());
    subscriber.received(now, entries(5, 7));
    assertEquals(List.of(), actions(), "of the connection that it has left");
    advance(200);
    subscriber.connected(now);
    assertEquals(List.of("connect", "Hello[group=birds, name=n1, index=5]"), actions());
  }

  @Test
  void detectsMissingEntriesByHeartbeat() {
    subscribeFrom(5);
    subscriber.received(now, new PublisherMessage.Heartbeat(6));
    assertEquals(List.of("close"), actions());
  }

  @Test
  void ignoresUnreadableSnapshot() {
    subscribeFrom(5);
    subscriber.received(now, new PublisherMessage.Snapshot(9, new byte[0]));
    assertEquals(List.of("load 9", "close"), actions());
    assertEquals(5, subscriber.lastIndex());
  }

  @Test
  void switchesMemberAfterSilenceAndReportsLostContact() {
    subscribeFrom(5);
    final int first = subscriber.member();
    advance(TIMEOUTS.silenceTimeoutNanos() / MILLI + 1);
    assertTrue(actions().contains("close"));
    assertTrue(subscriber.member() != first);
    advance(TIMEOUTS.contactTimeoutNanos() / MILLI);
    assertTrue(actions().contains("out of contact"));
    assertFalse(subscriber.isInContact());
    subscriber.connected(now);
    subscriber.received(now, new PublisherMessage.Heartbeat(5));
    assertTrue(subscriber.isInContact());
  }

  @Test
  void reportsRejectionAndSwitchesMember() {
    advance(200);
    subscriber.connected(now);
    actions();
    subscriber.received(
        now, new PublisherMessage.Rejected("it follows group 'fish', and this is 'birds'"));
    assertEquals(
        List.of("rejected: it follows group 'fish', and this is 'birds'", "close"), actions());
    assertEquals(0, subscriber.lastIndex());
  }

  /** Messages that are read after a stall may be as old as the stall. */
  @Test
  void ignoresMessagesReceivedDuringStall() {
    subscribeFrom(5);
    now += 3000 * MILLI;
    subscriber.received(now, entries(5, 7));
    assertEquals(List.of("out of contact", "close"), actions());
    assertEquals(5, subscriber.lastIndex());
  }

  @Test
  void backsOffWhileNobodyAnswers() {
    int attempts = 0;
    for (int i = 0; i < 100; i++) {
      advance(100);
      if (actions().contains("connect")) {
        attempts++;
        subscriber.disconnected(now);
        actions();
      }
    }
    // A backoff of one second at most, of half a second on average.
    assertTrue(attempts > 8 && attempts < 40, "tries within 10 s: " + attempts);
  }

  @Test
  void truncatesReasonOfRejectedEntry() {
    subscribeFrom(5);
    subscriber.rejectEntry(5, "x".repeat(1000));
    assertEquals(
        List.of(
            "EntryRejected[index=5, reason=" + "x".repeat(SubscriberMessage.MAX_TEXT_LENGTH) + "]"),
        actions());
  }
}
