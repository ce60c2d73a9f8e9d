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
 * Runs simulations of nodes that subscribe to a group, with random faults by seed: members become
 * unreachable, are killed, restart one after the other or are isolated; links of a region are cut
 * in one or both directions; nodes are paused and restarted; members retain few entries, so that
 * nodes that reconnect need a snapshot. A node must never go back to an older state or skip an
 * entry, and while it is in contact it must apply each entry in time.
 */
class ChangeFeedSimulationTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final int SEED_COUNT = Integer.getInteger("feed.days", 300);
  private static final long SETTLE_NANOS = 12 * SECOND_NANOS;

  private static HollowFeed.Plan createPlan(
      int nodes,
      double packetLossRate,
      long retainedBytes,
      long seed,
      HollowFeed.SubscriberFactory subscriberFactory) {
    ChangeFeedPublisher.Limits defaultLimits = ChangeFeedPublisher.Limits.DEFAULT;
    ChangeFeedPublisher.Limits limits =
        new ChangeFeedPublisher.Limits(
            defaultLimits.maxSubscribers(),
            retainedBytes,
            4000,
            defaultLimits.heartbeatNanos(),
            defaultLimits.ackTimeoutNanos(),
            defaultLimits.leaderLossTimeoutNanos());
    return new HollowFeed.Plan(
        nodes, 3, 5, 80_000_000L, packetLossRate, 6, 120, 25, limits, subscriberFactory, seed);
  }

  /** Creates a simulation with a random fleet and up to six random faults. */
  private static HollowFeed createFeedWithFaults(
      long seed, HollowFeed.SubscriberFactory subscriberFactory) {
    SplittableRandom random = new SplittableRandom(seed);
    int nodes = 4 + random.nextInt(12);
    double packetLossRate = random.nextBoolean() ? 0 : random.nextDouble() * 0.05;
    long retainedBytes = random.nextBoolean() ? 1 << 20 : 2000;
    HollowFeed simulation =
        new HollowFeed(createPlan(nodes, packetLossRate, retainedBytes, seed, subscriberFactory));
    int faultCount = 1 + random.nextInt(6);
    for (int i = 0; i < faultCount; i++) {
      long atNanos = SECOND_NANOS + random.nextLong(20 * SECOND_NANOS);
      long durationNanos = SECOND_NANOS / 10 + random.nextLong(6 * SECOND_NANOS);
      int member = random.nextInt(3);
      int node = random.nextInt(nodes);
      switch (random.nextInt(8)) {
        case 0 -> simulation.loseMember(atNanos, member, durationNanos);
        case 1 -> simulation.killMember(atNanos, member, durationNanos);
        case 2 -> {
          for (int restartedMember = 0; restartedMember < 3; restartedMember++) {
            simulation.killMember(
                atNanos + 2L * restartedMember * SECOND_NANOS, restartedMember, SECOND_NANOS);
          }
        }
        case 3 -> simulation.isolateMember(atNanos, member, 2 * durationNanos);
        case 4 -> simulation.cutRegion(atNanos, random.nextInt(5), -1, true, true, durationNanos);
        case 5 ->
            simulation.cutRegion(
                atNanos, random.nextInt(5), member, random.nextBoolean(), true, durationNanos);
        case 6 -> simulation.pauseNode(atNanos, node, durationNanos);
        default -> simulation.restartNode(atNanos, node);
      }
    }
    return simulation;
  }

  /** Runs a simulation with random faults for each seed, and returns their violations. */
  private static List<String> findViolations(
      int seedCount, HollowFeed.SubscriberFactory subscriberFactory) {
    List<String> violations = new ArrayList<>();
    for (long seed = 1; seed <= seedCount && violations.size() < 5; seed++) {
      long currentSeed = seed;
      HollowFeed.Result result =
          createFeedWithFaults(seed, subscriberFactory).simulate(SETTLE_NANOS);
      result
          .violations()
          .forEach(violation -> violations.add("seed " + currentSeed + ", " + violation));
    }
    return violations;
  }

  @Test
  void appliesEachEntryOnceInOrderAndInTimeDespiteFaults() {
    assertEquals(List.of(), findViolations(SEED_COUNT, HollowFeed.subscriberFactory(3)));
  }

  /** Creates production subscribers with these timeouts. */
  private static HollowFeed.SubscriberFactory subscribersWith(
      ChangeFeedSubscriber.Timeouts timeouts) {
    return (node, seed, now, output) ->
        new ChangeFeedSubscriber("g", "n" + node, 3, seed, now, timeouts, output);
  }

  @Test
  void detectsSubscriberThatWaitsTooLongForSilentMember() {
    ChangeFeedSubscriber.Timeouts defaultTimeouts = ChangeFeedSubscriber.Timeouts.DEFAULT;
    ChangeFeedSubscriber.Timeouts longTimeouts =
        new ChangeFeedSubscriber.Timeouts(
            60 * SECOND_NANOS,
            defaultTimeouts.connectTimeoutNanos(),
            defaultTimeouts.initialBackoffNanos(),
            defaultTimeouts.maxBackoffNanos(),
            defaultTimeouts.ackIntervalNanos(),
            60 * SECOND_NANOS);
    List<String> violations = findViolations(SEED_COUNT, subscribersWith(longTimeouts));
    assertTrue(
        violations.stream().anyMatch(violation -> violation.contains("lacks entry")),
        violations.toString());
  }

  @Test
  void detectsIsolatedPublisherThatDoesNotRejectSubscribers() {
    ChangeFeedPublisher.Limits defaultLimits = ChangeFeedPublisher.Limits.DEFAULT;
    ChangeFeedPublisher.Limits limitsWithLongTimeout =
        new ChangeFeedPublisher.Limits(
            defaultLimits.maxSubscribers(),
            defaultLimits.maxRetainedBytes(),
            defaultLimits.windowBytes(),
            defaultLimits.heartbeatNanos(),
            defaultLimits.ackTimeoutNanos(),
            1000 * SECOND_NANOS);
    HollowFeed.Plan plan =
        new HollowFeed.Plan(
            9,
            3,
            3,
            80_000_000L,
            0,
            6,
            120,
            25,
            limitsWithLongTimeout,
            HollowFeed.subscriberFactory(3),
            1);
    HollowFeed simulation = new HollowFeed(plan);
    simulation.isolateMember(3 * SECOND_NANOS, 1, 15 * SECOND_NANOS);
    List<String> violations = simulation.simulate(SETTLE_NANOS).violations();
    assertTrue(
        violations.stream().anyMatch(violation -> violation.contains("lacks entry")),
        violations.toString());
  }

  @Test
  void pausedNodesNeitherDelayOtherNodesNorFillMemory() {
    HollowFeed simulation =
        new HollowFeed(createPlan(12, 0, 2000, 5, HollowFeed.subscriberFactory(3)));
    for (int node = 0; node < 4; node++) {
      simulation.pauseNode(2 * SECOND_NANOS, node, 18 * SECOND_NANOS);
    }
    HollowFeed.Result result = simulation.simulate(SETTLE_NANOS);
    assertEquals(List.of(), result.violations());
    assertTrue(result.snapshotCount() >= 4, "snapshots sent by members: " + result.snapshotCount());
    // Each of the 12 nodes has at most a window of 4,000 bytes and one further message in flight.
    assertTrue(
        result.maxInFlightBytes() <= 12 * (4000 + 2000),
        "most bytes in flight of one member: " + result.maxInFlightBytes());
  }

  @Test
  void deliversInTimeWhenAllNodesRestartWithinOneSecond() {
    HollowFeed simulation =
        new HollowFeed(createPlan(430, 0, 1 << 20, 6, HollowFeed.subscriberFactory(3)));
    for (int node = 0; node < 430; node++) {
      simulation.restartNode(10 * SECOND_NANOS + node * 1_000_000L, node);
    }
    HollowFeed.Result result = simulation.simulate(SETTLE_NANOS);
    assertEquals(List.of(), result.violations());
    assertTrue(
        result.maxSeconds() < 1.1,
        "greatest delay until a node applied an entry, in seconds: " + result.maxSeconds());
  }

  @Test
  void deliversInTimeWhileMemberIsUnreachable() {
    for (long seed = 1; seed <= 5; seed++) {
      HollowFeed simulation =
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
                  HollowFeed.subscriberFactory(3),
                  seed));
      simulation.loseMember(6 * SECOND_NANOS, 1, 6 * SECOND_NANOS);
      HollowFeed.Result result = simulation.simulate(SETTLE_NANOS);
      assertEquals(List.of(), result.violations());
      assertTrue(
          result.maxSeconds() < 1.1,
          "greatest delay until a node applied an entry, in seconds: " + result.maxSeconds());
      assertTrue(
          result.bytesPerSecond() < 2000,
          "bytes per second of one node: " + result.bytesPerSecond());
      assertTrue(
          result.maxSubscribers() < 0.6 * 215,
          "most subscribers of one member: " + result.maxSubscribers());
    }
  }
}
