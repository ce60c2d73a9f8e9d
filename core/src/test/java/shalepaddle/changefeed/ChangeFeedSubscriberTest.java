package shalepaddle.changefeed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** What a node takes, and when it goes on to another member. */
class ChangeFeedSubscriberTest {
  private static final long MILLI = 1_000_000L;
  private static final ChangeFeedSubscriber.Timeouts PACE = ChangeFeedSubscriber.Timeouts.DEFAULT;

  private final List<String> acts = new ArrayList<>();
  private long now = 1_000_000 * MILLI;
  private final ChangeFeedSubscriber follower =
      new ChangeFeedSubscriber(
          "birds",
          "n1",
          3,
          1,
          now,
          PACE,
          new ChangeFeedSubscriber.Output() {
            @Override
            public void connect(int member) {
              acts.add("connect");
            }

            @Override
            public void close() {
              acts.add("close");
            }

            @Override
            public void send(SubscriberMessage said) {
              acts.add(said.toString());
            }

            @Override
            public void apply(ChangeEntry entry) {
              acts.add("apply " + entry.index());
            }

            @Override
            public boolean installSnapshot(long index, byte[] image) {
              acts.add("load " + index);
              return image.length > 0;
            }

            @Override
            public void contactChanged(boolean in) {
              acts.add(in ? "in contact" : "out of contact");
            }

            @Override
            public void rejected(int member, String why) {
              acts.add("turned down: " + why);
            }
          });

  private static PublisherMessage entries(long after, long... indexes) {
    return new PublisherMessage.Entries(
        after,
        LongStream.of(indexes).mapToObj(index -> new ChangeEntry(index, new byte[1])).toList());
  }

  /** What it has done since the last call of this. */
  private List<String> acts() {
    List<String> done = List.copyOf(acts);
    acts.clear();
    return done;
  }

  /** Lets so much time pass, in which it is called when it asks to be. */
  private void pass(long millis) {
    for (long end = now + millis * MILLI; now < end; now += MILLI) {
      if (follower.nextTickNanos() <= now) {
        follower.tick(now);
      }
    }
  }

  private void followFrom(long index) {
    pass(200);
    follower.connected(now);
    follower.received(now, new PublisherMessage.Snapshot(index, new byte[1]));
    acts();
  }

  @Test
  void saysHelloFromItsOwnPlace() {
    pass(200);
    follower.connected(now);
    assertEquals(List.of("connect", "Hello[group=birds, name=n1, index=0]"), acts());
    follower.received(now, entries(0, 3, 5));
    assertEquals(List.of("apply 3", "apply 5", "in contact"), acts());
    pass(600);
    assertEquals("Acknowledgement[index=5]", acts().get(0));
  }

  @Test
  void takesAnEntryOnceAndNeverGoesBack() {
    followFrom(5);
    follower.received(now, entries(3, 4, 5, 7));
    follower.received(now, entries(3, 4, 5, 7));
    follower.received(now, new PublisherMessage.Snapshot(6, new byte[1]));
    assertEquals(List.of("apply 7"), acts());
    assertEquals(7, follower.lastIndex());
  }

  @Test
  void aHoleIsNotTakenAndAskedForAnew() {
    followFrom(5);
    follower.received(now, entries(7, 9));
    assertEquals(List.of("close"), acts());
    follower.received(now, entries(5, 7));
    assertEquals(List.of(), acts(), "of the connection that it has left");
    pass(200);
    follower.connected(now);
    assertEquals(List.of("connect", "Hello[group=birds, name=n1, index=5]"), acts());
  }

  @Test
  void aWordThatAllIsToldWhileSomethingLacksIsAHole() {
    followFrom(5);
    follower.received(now, new PublisherMessage.Heartbeat(6));
    assertEquals(List.of("close"), acts());
  }

  @Test
  void aStateThatCanNotBeReadChangesNothing() {
    followFrom(5);
    follower.received(now, new PublisherMessage.Snapshot(9, new byte[0]));
    assertEquals(List.of("load 9", "close"), acts());
    assertEquals(5, follower.lastIndex());
  }

  @Test
  void goesToAnotherMemberAfterSilenceAndSaysWhenItIsOutOfContact() {
    followFrom(5);
    final int first = follower.member();
    pass(PACE.silenceTimeoutNanos() / MILLI + 1);
    assertTrue(acts().contains("close"));
    assertTrue(follower.member() != first);
    pass(PACE.contactTimeoutNanos() / MILLI);
    assertTrue(acts().contains("out of contact"));
    assertFalse(follower.isInContact());
    follower.connected(now);
    follower.received(now, new PublisherMessage.Heartbeat(5));
    assertTrue(follower.isInContact());
  }

  @Test
  void oneThatIsTurnedDownSaysWhyAndGoesOn() {
    pass(200);
    follower.connected(now);
    acts();
    follower.received(
        now, new PublisherMessage.Rejected("it follows group 'fish', and this is 'birds'"));
    assertEquals(
        List.of("turned down: it follows group 'fish', and this is 'birds'", "close"), acts());
    assertEquals(0, follower.lastIndex());
  }

  /** What is read after the node stood still may be as old as that. */
  @Test
  void oneThatStoodStillBelievesNothingThatWaited() {
    followFrom(5);
    now += 3000 * MILLI;
    follower.received(now, entries(5, 7));
    assertEquals(List.of("out of contact", "close"), acts());
    assertEquals(5, follower.lastIndex());
  }

  @Test
  void triesFarApartWhereNobodyAnswers() {
    int tries = 0;
    for (int i = 0; i < 100; i++) {
      pass(100);
      if (acts().contains("connect")) {
        tries++;
        follower.disconnected(now);
        acts();
      }
    }
    // A second at the most between two, half of it in the mean.
    assertTrue(tries > 8 && tries < 40, "tries within 10 s: " + tries);
  }

  @Test
  void tellsWhatIsWrongShortly() {
    followFrom(5);
    follower.rejectEntry(5, "x".repeat(1000));
    assertEquals(
        List.of(
            "EntryRejected[index=5, reason=" + "x".repeat(SubscriberMessage.MAX_TEXT_LENGTH) + "]"),
        acts());
  }
}
