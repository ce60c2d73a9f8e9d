package shalepaddle.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.policy.RoutingActions;

/**
 * Runs the capacity measurements at small, fixed sizes, and fails if a figure grows with the size
 * by more than the stated factor. The checks of decisions and of discovery also run on variants
 * that are broken on purpose, which they must detect.
 */
class CapacityRunTest {
  private static final FleetSize SMALL_FLEET = new FleetSize(54, 55, 34_000, 5);
  private static final int SERVER_FACTOR = 8;

  /**
   * How many times as long the decisions of a read may take with eight times the servers: at most
   * in proportion to the servers. Measured: four times as long.
   */
  private static final double MAX_DECISION_TIME_GROWTH = SERVER_FACTOR;

  private interface RouterFactoryBySize
      extends Function<FleetSize, Function<RoutingActions, DecisionCost.MeasuredRouter>> {}

  /** The number of rounds whose median is checked; a single round is sometimes off by half. */
  private static final int ROUND_COUNT = 3;

  /** Returns how many times as long a read's decisions take with eight times the servers. */
  private static double measureDecisionTimeGrowth(
      int readsPerRound, RouterFactoryBySize routerFactoryBySize) {
    FleetSize largeFleet = new FleetSize(54, SERVER_FACTOR * 55, 34_000, 5);
    DecisionCost.measure(largeFleet, readsPerRound, routerFactoryBySize.apply(largeFleet));
    double[] growths = new double[ROUND_COUNT];
    for (int i = 0; i < ROUND_COUNT; i++) {
      DecisionCost.Measurement smallCost =
          DecisionCost.measure(SMALL_FLEET, readsPerRound, routerFactoryBySize.apply(SMALL_FLEET));
      DecisionCost.Measurement largeCost =
          DecisionCost.measure(largeFleet, readsPerRound, routerFactoryBySize.apply(largeFleet));
      growths[i] =
          Math.max(
              largeCost.cachedReadMicros() / smallCost.cachedReadMicros(),
              largeCost.uncachedReadMicros() / smallCost.uncachedReadMicros());
    }
    Arrays.sort(growths);
    return growths[ROUND_COUNT / 2];
  }

  @Test
  void decisionTimeGrowsNoFasterThanServerCount() {
    double decisionTimeGrowth =
        measureDecisionTimeGrowth(
            2000, size -> actions -> DecisionCost.createRouter(size, actions));
    assertTrue(
        decisionTimeGrowth < MAX_DECISION_TIME_GROWTH,
        "with eight times the servers, decisions take " + decisionTimeGrowth + " times as long");
  }

  /** Creates a router that iterates over all pairs of servers for each read. */
  private static DecisionCost.MeasuredRouter createQuadraticRouter(
      FleetSize size, RoutingActions actions) {
    DecisionCost.MeasuredRouter productionRouter = DecisionCost.createRouter(size, actions);
    // One value for each server, computed only to take time.
    long[] dummyValues = new long[size.servers()];
    return new DecisionCost.MeasuredRouter() {
      @Override
      public void onMembershipUpdate(double nowSeconds, MembershipUpdate update) {
        productionRouter.onMembershipUpdate(nowSeconds, update);
      }

      @Override
      public void onRequest(double nowSeconds, Request request) {
        for (int a = 0; a < dummyValues.length; a++) {
          for (int b = 0; b < dummyValues.length; b++) {
            dummyValues[a] = Long.rotateLeft(dummyValues[a] ^ dummyValues[b], 7) % 1_000_003;
          }
        }
        productionRouter.onRequest(nowSeconds, request);
      }

      @Override
      public void onOutcome(double nowSeconds, Outcome outcome) {
        productionRouter.onOutcome(nowSeconds, outcome);
      }
    };
  }

  @Test
  void detectsDecisionTimeQuadraticInServerCount() {
    double decisionTimeGrowth =
        measureDecisionTimeGrowth(200, size -> actions -> createQuadraticRouter(size, actions));
    assertTrue(
        decisionTimeGrowth > MAX_DECISION_TIME_GROWTH,
        "with eight times the servers, the quadratic router's decisions take only "
            + decisionTimeGrowth
            + " times as long");
  }

  /** Simulates the return of discovery at several sizes, and reports each exceeded limit. */
  private static List<String> findViolations(
      double callsPerSecond,
      Function<FleetSize, DiscoveryPolling.PollingClientFactory> clientFactory) {
    List<String> violations = new ArrayList<>();
    for (int nodes : new int[] {27, 54, 108}) {
      FleetSize size = SMALL_FLEET.withNodes(nodes);
      DiscoveryPolling.Result result =
          DiscoveryPolling.simulate(size, callsPerSecond, 7, clientFactory.apply(size));
      // Discovery answers one call at a time, so that the last node has the list after nodes /
      // callsPerSecond at the earliest. The limit is 1.5 times this time plus 4 s for a round of
      // polls.
      double maxSeconds = 1.5 * nodes / callsPerSecond + 4;
      if (result.maxRecoverySeconds() > maxSeconds) {
        violations.add(
            "%d nodes: the last node had the list after %s s, limit %s s"
                .formatted(nodes, result.maxRecoverySeconds(), maxSeconds));
      }
      // Measured: 6 calls per node in the outage, and one more for each 30 nodes of the fleet. The
      // limit is twice this number.
      if (result.callsPerNode() > 2 * (6 + nodes / 30.0)) {
        violations.add(nodes + " nodes: " + result.callsPerNode() + " calls per node");
      }
    }
    return violations;
  }

  @Test
  void nodesReceiveListWithoutStormOfCallsWhenDiscoveryReturns() {
    assertEquals(List.of(), findViolations(2.5, DiscoveryPolling::routerClients));
    assertEquals(List.of(), findViolations(6, DiscoveryPolling::routerClients));
  }

  /** Creates clients that poll again 50 ms after each failure, without backoff. */
  private static DiscoveryPolling.PollingClientFactory createClientsWithoutBackoff(FleetSize size) {
    return (node, actions) ->
        new DiscoveryPolling.PollingClient() {
          @Override
          public void onMembershipUpdate(double nowSeconds, MembershipUpdate update) {
            if (update.kind() != MembershipUpdate.Kind.FULL) {
              actions.scheduleTimer(0, 0.05);
            }
          }

          @Override
          public void onTimer(double nowSeconds, long token) {
            actions.subscribe(true);
          }
        };
  }

  @Test
  void detectsStormOfCallsFromClientsWithoutBackoff() {
    List<String> violations = findViolations(2.5, CapacityRunTest::createClientsWithoutBackoff);
    assertTrue(
        violations.stream().anyMatch(violation -> violation.endsWith("calls per node")),
        violations.toString());
  }

  private static HollowFleet.Result simulateFleet(int nodes) {
    return HollowFleet.simulate(SMALL_FLEET.withNodes(nodes), new HollowFleet.Phases(1, 0.5, 2), 3);
  }

  @Test
  void loadOnRestartedServersDoesNotGrowWithNodeCount() {
    HollowFleet.Result smallResult = simulateFleet(27);
    HollowFleet.Result largeResult = simulateFleet(216);
    assertTrue(
        smallResult.restartLoadRatio() > 0.1 && smallResult.restartLoadRatio() < 1,
        "with 27 nodes, restartLoadRatio must be between 0.1 and 1: " + smallResult);
    assertTrue(
        largeResult.restartLoadRatio() > 0.1 && largeResult.restartLoadRatio() < 1,
        "with 216 nodes, restartLoadRatio must be between 0.1 and 1: " + largeResult);
    // Measured: the greatest load of a restarted server was 0.42 of its overload limit at 27 nodes
    // and 0.43 at 108 nodes, so it does not grow with the nodes.
    assertTrue(
        largeResult.restartLoadRatio() < 1.5 * smallResult.restartLoadRatio(),
        "from 27 to 216 nodes, restartLoadRatio must grow to less than 1.5 times: "
            + smallResult
            + " and "
            + largeResult);
  }

  @Test
  void copiesAndMissesDoNotGrowWithNodeCount() {
    HollowFleet.Result smallResult = simulateFleet(27);
    HollowFleet.Result largeResult = simulateFleet(216);
    assertEquals(0, largeResult.rejectedRatio(), 0.001);
    assertTrue(
        largeResult.copiesPerKey() < 1.3 * smallResult.copiesPerKey(),
        "from 27 to 216 nodes, copiesPerKey must grow to less than 1.3 times: "
            + smallResult
            + " and "
            + largeResult);
    assertTrue(
        largeResult.missRatio() < 1.3 * smallResult.missRatio(),
        "from 27 to 216 nodes, missRatio must grow to less than 1.3 times: "
            + smallResult
            + " and "
            + largeResult);
  }

  @Test
  void fleetSimulationIsDeterministic() {
    HollowFleet.Result firstRun = simulateFleet(14);
    HollowFleet.Result secondRun = simulateFleet(14);
    assertEquals(firstRun.otherServerRatio(), secondRun.otherServerRatio());
    assertEquals(firstRun.missRatio(), secondRun.missRatio());
    assertEquals(firstRun.restartLoadRatio(), secondRun.restartLoadRatio());
  }

  @Test
  void listSizeIsProportionalToServerCount() throws Exception {
    double smallListBytes = ServerListPayload.measure(SMALL_FLEET).bytes();
    double largeListBytes =
        ServerListPayload.measure(new FleetSize(54, SERVER_FACTOR * 55, 34_000, 5)).bytes();
    assertEquals(SERVER_FACTOR, largeListBytes / smallListBytes, 0.2);
  }

  @Test
  void nodeStepsReturnsDoublingNodeCountsWithoutDuplicates() {
    assertEquals(List.of(27, 54, 108, 215, 430, 860), FleetSize.PLANNED.nodeSteps());
    assertEquals(List.of(1, 2), new FleetSize(1, 1, 1, 1).nodeSteps());
  }
}
