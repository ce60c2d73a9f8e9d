package shalepaddle.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import shalepaddle.changefeed.ChangeFeedPublisher;
import shalepaddle.changefeed.ChangeFeedSubscriber;

/**
 * Days of nodes that follow a group, in virtual time, by seeds: members vanish, are killed, restart
 * one after the other and lose sight of each other; regions are cut off one way or both; nodes
 * stand still and start anew; what is kept is short, so that those who come back need a snapshot.
 * Never an older state after a newer one, never a hole, and each that is in contact has an entry in
 * time.
 */
class ChangeFeedSimulationTest {
  private static final long SECOND = 1_000_000_000L;
  private static final int DAYS = Integer.getInteger("feed.days", 300);
  private static final long CALM = 12 * SECOND;

  private static HollowFeed.Plan plan(
      int nodes, double loss, long keptBytes, long seed, HollowFeed.Followers followers) {
    ChangeFeedPublisher.Limits usual = ChangeFeedPublisher.Limits.DEFAULT;
    ChangeFeedPublisher.Limits limits =
        new ChangeFeedPublisher.Limits(
            usual.maxSubscribers(),
            keptBytes,
            4000,
            usual.heartbeatNanos(),
            usual.ackTimeoutNanos(),
            usual.leaderLossTimeoutNanos());
    return new HollowFeed.Plan(nodes, 3, 5, 80_000_000L, loss, 6, 120, 25, limits, followers, seed);
  }

  private static HollowFeed day(long seed, HollowFeed.Followers followers) {
    SplittableRandom random = new SplittableRandom(seed);
    int nodes = 4 + random.nextInt(12);
    double loss = random.nextBoolean() ? 0 : random.nextDouble() * 0.05;
    long kept = random.nextBoolean() ? 1 << 20 : 2000;
    HollowFeed feed = new HollowFeed(plan(nodes, loss, kept, seed, followers));
    int troubles = 1 + random.nextInt(6);
    for (int i = 0; i < troubles; i++) {
      long at = SECOND + random.nextLong(20 * SECOND);
      long nanos = SECOND / 10 + random.nextLong(6 * SECOND);
      int member = random.nextInt(3);
      int node = random.nextInt(nodes);
      switch (random.nextInt(8)) {
        case 0 -> feed.vanish(at, member, nanos);
        case 1 -> feed.kill(at, member, nanos);
        case 2 -> {
          for (int each = 0; each < 3; each++) {
            feed.kill(at + 2L * each * SECOND, each, SECOND);
          }
        }
        case 3 -> feed.alone(at, member, 2 * nanos);
        case 4 -> feed.cut(at, random.nextInt(5), -1, true, true, nanos);
        case 5 -> feed.cut(at, random.nextInt(5), member, random.nextBoolean(), true, nanos);
        case 6 -> feed.stop(at, node, nanos);
        default -> feed.restart(at, node);
      }
    }
    return feed;
  }

  private static List<String> play(int days, HollowFeed.Followers followers) {
    List<String> breaches = new ArrayList<>();
    for (long seed = 1; seed <= days && breaches.size() < 5; seed++) {
      long of = seed;
      HollowFeed.Counted counted = day(seed, followers).play(CALM);
      counted.breaches().forEach(breach -> breaches.add("seed " + of + ", " + breach));
    }
    return breaches;
  }

  @Test
  void nothingIsLostDoubledOrTakenBack() {
    assertEquals(List.of(), play(DAYS, HollowFeed.real(3)));
  }

  /** Changes what a follower is made with, and nothing else. */
  private static HollowFeed.Followers broken(ChangeFeedSubscriber.Timeouts pace) {
    return (node, seed, now, carrier) ->
        new ChangeFeedSubscriber("g", "n" + node, 3, seed, now, pace, carrier);
  }

  @Test
  void aNodeThatWaitsForeverOnASilentMemberIsFound() {
    ChangeFeedSubscriber.Timeouts usual = ChangeFeedSubscriber.Timeouts.DEFAULT;
    ChangeFeedSubscriber.Timeouts patient =
        new ChangeFeedSubscriber.Timeouts(
            60 * SECOND,
            usual.connectTimeoutNanos(),
            usual.initialBackoffNanos(),
            usual.maxBackoffNanos(),
            usual.ackIntervalNanos(),
            60 * SECOND);
    List<String> found = play(DAYS, broken(patient));
    assertTrue(found.stream().anyMatch(breach -> breach.contains("lacks entry")), found.toString());
  }

  @Test
  void aMemberThatPublishesWhatItLostSightOfIsFound() {
    ChangeFeedPublisher.Limits usual = ChangeFeedPublisher.Limits.DEFAULT;
    ChangeFeedPublisher.Limits never =
        new ChangeFeedPublisher.Limits(
            usual.maxSubscribers(),
            usual.maxRetainedBytes(),
            usual.windowBytes(),
            usual.heartbeatNanos(),
            usual.ackTimeoutNanos(),
            1000 * SECOND);
    HollowFeed.Plan plan =
        new HollowFeed.Plan(9, 3, 3, 80_000_000L, 0, 6, 120, 25, never, HollowFeed.real(3), 1);
    HollowFeed feed = new HollowFeed(plan);
    feed.alone(3 * SECOND, 1, 15 * SECOND);
    List<String> found = feed.play(CALM).breaches();
    assertTrue(found.stream().anyMatch(breach -> breach.contains("lacks entry")), found.toString());
  }

  @Test
  void aSlowNodeHoldsUpNeitherTheOthersNorMemory() {
    HollowFeed feed = new HollowFeed(plan(12, 0, 2000, 5, HollowFeed.real(3)));
    for (int node = 0; node < 4; node++) {
      feed.stop(2 * SECOND, node, 18 * SECOND);
    }
    HollowFeed.Counted counted = feed.play(CALM);
    assertEquals(List.of(), counted.breaches());
    assertTrue(counted.snapshots() >= 4, "snapshots: " + counted.snapshots());
    // A window, and one message that went over it.
    assertTrue(counted.mostOutBytes() <= 12 * (4000 + 2000), "out: " + counted.mostOutBytes());
  }

  @Test
  void allNodesStartWithinTheSameSecond() {
    HollowFeed feed = new HollowFeed(plan(430, 0, 1 << 20, 6, HollowFeed.real(3)));
    for (int node = 0; node < 430; node++) {
      feed.restart(10 * SECOND + node * 1_000_000L, node);
    }
    HollowFeed.Counted counted = feed.play(CALM);
    assertEquals(List.of(), counted.breaches());
    assertTrue(counted.lastSeconds() < 1.1, "last: " + counted.lastSeconds());
  }

  @Test
  void purgesAreEverywhereInTimeWhileAMemberIsGone() {
    for (long seed = 1; seed <= 5; seed++) {
      HollowFeed feed =
          new HollowFeed(
              new HollowFeed.Plan(
                  215,
                  3,
                  12,
                  80_000_000L,
                  0,
                  6,
                  120,
                  15,
                  ChangeFeedPublisher.Limits.DEFAULT,
                  HollowFeed.real(3),
                  seed));
      feed.vanish(6 * SECOND, 1, 6 * SECOND);
      HollowFeed.Counted counted = feed.play(CALM);
      assertEquals(List.of(), counted.breaches());
      assertTrue(counted.lastSeconds() < 1.1, "last: " + counted.lastSeconds());
      assertTrue(counted.bytesPerSecond() < 2000, "bytes/s: " + counted.bytesPerSecond());
      assertTrue(counted.mostFollowers() < 0.6 * 215, "on one: " + counted.mostFollowers());
    }
  }
}
