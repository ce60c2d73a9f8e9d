package shalepaddle.changefeed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What a member sends whom. */
class ChangeFeedPublisherTest {
  private static final long MILLI = 1_000_000L;

  /** Two followers, 100 bytes that are kept, 50 on their way. */
  private static final ChangeFeedPublisher.Limits LIMITS =
      new ChangeFeedPublisher.Limits(2, 100, 50, 250 * MILLI, 5000 * MILLI, 2500 * MILLI);

  private final List<String> told = new ArrayList<>();
  private long now;

  /** Up to where the member's state goes. */
  private long state;

  private final ChangeFeedPublisher publisher =
      new ChangeFeedPublisher(
          "birds",
          0,
          LIMITS,
          new ChangeFeedPublisher.Output() {
            @Override
            public void send(long connection, PublisherMessage what) {
              told.add(connection + " " + text(what));
            }

            @Override
            public void close(long connection) {
              told.add(connection + " dropped");
            }

            @Override
            public PublisherMessage.Snapshot snapshot() {
              return new PublisherMessage.Snapshot(state, new byte[10]);
            }
          });

  private static String text(PublisherMessage told) {
    if (told instanceof PublisherMessage.Entries entries) {
      return entries.previousIndex()
          + " then "
          + entries.entries().stream().map(ChangeEntry::index).toList();
    }
    if (told instanceof PublisherMessage.Snapshot snapshot) {
      return "snapshot " + snapshot.index();
    }
    return told instanceof PublisherMessage.Heartbeat alive
        ? "alive " + alive.index()
        : "turned down: " + ((PublisherMessage.Rejected) told).reason();
  }

  private List<String> told() {
    List<String> all = List.copyOf(told);
    told.clear();
    return all;
  }

  private void hello(long connection, long index) {
    publisher.setLeaderKnown(now, true);
    publisher.received(
        now, connection, new SubscriberMessage.Hello("birds", "n" + connection, index));
  }

  /** Entries of 4 bytes, which take 20 each. */
  private void applied(long... indexes) {
    for (long index : indexes) {
      state = index;
      publisher.entryApplied(now, new ChangeEntry(index, new byte[4]));
    }
  }

  @Test
  void sendsWhatIsLackingAndThenEachEntryAsItComes() {
    applied(3, 5);
    hello(1, 3);
    applied(8);
    assertEquals(List.of("1 3 then [5]", "1 5 then [8]"), told());
  }

  @Test
  void whoLacksNothingHearsThatItIsInContact() {
    applied(3);
    hello(1, 3);
    assertEquals(List.of("1 alive 3"), told());
    now += 250 * MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 alive 3"), told());
  }

  @Test
  void whoLacksWhatIsNotKeptGetsASnapshot() {
    applied(1, 2, 3, 4, 5, 6, 7);
    assertEquals(100, publisher.retainedBytes());
    hello(1, 1);
    hello(2, 5);
    assertEquals(List.of("1 snapshot 7", "2 5 then [6, 7]"), told());
  }

  @Test
  void aStateThatIsBeingMadeAnewIsNoSnapshot() {
    applied(1, 2, 3, 4, 5, 6, 7);
    state = 1;
    hello(1, 0);
    assertEquals(List.of("1 turned down: this member is catching up", "1 dropped"), told());
    state = 6;
    hello(2, 0);
    assertEquals(List.of("2 snapshot 6", "2 6 then [7]"), told());
  }

  @Test
  void aSlowFollowerHoldsUpNobodyAndNoMemory() {
    hello(1, 0);
    hello(2, 0);
    told();
    for (long index = 1; index <= 40; index++) {
      applied(index);
      publisher.received(now, 2, new SubscriberMessage.Acknowledgement(index));
    }
    List<String> all = told();
    assertEquals(40, all.stream().filter(line -> line.startsWith("2 ")).count());
    assertEquals(3, all.stream().filter(line -> line.startsWith("1 ")).count(), all.toString());
    assertTrue(publisher.inFlightBytes() <= 50 + 20, "on their way: " + publisher.inFlightBytes());
    assertEquals(100, publisher.retainedBytes());
    // It goes on with a snapshot, since what it lacks is not kept any more.
    publisher.received(now, 1, new SubscriberMessage.Acknowledgement(3));
    assertEquals(List.of("1 snapshot 40"), told());
  }

  @Test
  void oneThatTakesNothingIsDropped() {
    hello(1, 0);
    applied(1);
    told();
    now += 4999 * MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 alive 1"), told());
    now += MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 dropped"), told());
    assertEquals(0, publisher.subscriberCount());
  }

  @Test
  void turnsDownWhomItCanNotServe() {
    applied(3);
    publisher.setLeaderKnown(now, true);
    publisher.received(now, 7, new SubscriberMessage.Acknowledgement(3));
    publisher.received(now, 8, new SubscriberMessage.Hello("fish", "n8", 0));
    hello(9, 4);
    assertEquals(
        List.of(
            "7 turned down: speaks before it says who it is",
            "7 dropped",
            "8 turned down: it follows group 'fish', and this is 'birds'",
            "8 dropped",
            "9 turned down: this member knows up to 3, less than 4",
            "9 dropped"),
        told());
    hello(1, 3);
    hello(2, 3);
    told();
    hello(3, 3);
    hello(1, 3);
    assertEquals(
        List.of(
            "3 turned down: as many follow this member as may",
            "3 dropped",
            "1 turned down: a second hello",
            "1 dropped"),
        told());
  }

  @Test
  void oneThatHasJustStartedServesNobody() {
    publisher.received(now, 1, new SubscriberMessage.Hello("birds", "n1", 0));
    assertTrue(told().get(0).startsWith("1 turned down: this member knows nobody who leads"));
  }

  @Test
  void whoKnowsNobodyThatLeadsSendsFollowersOnAfterAWhile() {
    hello(1, 0);
    publisher.setLeaderKnown(now, false);
    told();
    now += 2400 * MILLI;
    publisher.tick(now);
    assertEquals(List.of("1 alive 0"), told());
    now += 200 * MILLI;
    publisher.tick(now);
    assertEquals(
        List.of("1 turned down: this member knows nobody who leads its group", "1 dropped"),
        told());
    publisher.received(now, 2, new SubscriberMessage.Hello("birds", "n2", 0));
    assertTrue(told().get(0).startsWith("2 turned down"));
    hello(2, 0);
    assertEquals(List.of("2 alive 0"), told());
  }

  @Test
  void aSnapshotOfTheGroupTakesThePlaceOfWhatWasKept() {
    applied(1, 2);
    hello(1, 2);
    told();
    state = 50;
    publisher.snapshotInstalled(now, 50);
    publisher.snapshotInstalled(now, 40);
    assertEquals(List.of("1 snapshot 50"), told());
    assertEquals(50, publisher.lastIndex());
    assertThrows(IllegalStateException.class, () -> applied(50));
  }

  @Test
  void whatFollowersFindWrongIsKnownByName() {
    applied(3);
    hello(1, 3);
    publisher.received(
        now, 1, new SubscriberMessage.EntryRejected(3, "settings: 'classes' is missing"));
    assertEquals("settings: 'classes' is missing", publisher.lastRejections().get("n1").reason());
  }
}
