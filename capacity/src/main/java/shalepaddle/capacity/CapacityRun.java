package shalepaddle.capacity;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import shalepaddle.changefeed.ChangeFeedPublisher;
import shalepaddle.settings.FormatException;

/** Measures parts of the system at several fleet sizes, and fits a slope to each figure. */
public final class CapacityRun {
  /** The parts of the system that can be measured. */
  public enum Role {
    /** Routing decisions of one node, by the number of servers. */
    DECISIONS,
    /** Size and parsing of the endpoint list, by the number of servers. */
    LIST,
    /** The whole fleet at a constant total request rate, by the number of nodes. */
    FLEET,
    /** Polling of discovery after an outage, by the number of nodes. */
    DISCOVERY,
    /** The change feed from a group of three members, by the number of nodes. */
    FEED
  }

  /**
   * The conditions under which the change feed is measured. Their names in figures are stored in
   * the JSON report, as parts of the figures' names, and so they don't change.
   */
  private enum FeedCondition {
    NORMAL("all well", "no faults", 0, -1),
    LEADER_LOST("the leader's machine gone", "leader's machine lost", 0, 0),
    MEMBER_LOST("another member's machine gone", "machine of a non-leader lost", 0, 1),
    PACKET_LOSS("1% lost", "1% of packets lost", 0.01, -1);

    private final String nameInFigures;
    private final String description;
    private final double packetLossRate;

    /** Number of the member whose machine is lost, -1 for none. */
    private final int lostMember;

    FeedCondition(String nameInFigures, String description, double packetLossRate, int lostMember) {
      this.nameInFigures = nameInFigures;
      this.description = description;
      this.packetLossRate = packetLossRate;
      this.lostMember = lostMember;
    }
  }

  /** Committed entries per second: the purges of the planned fleet. */
  private static final double ENTRIES_PER_SECOND = 6;

  /** The size of an entry's body (assumed). */
  private static final int ENTRY_BODY_BYTES = 120;

  /** The longest one-way delay between two regions. */
  private static final long MAX_REGION_DELAY_NANOS = 80_000_000;

  /** How long entries are committed, in seconds of virtual time. */
  private static final int FEED_SECONDS = 20;

  /** Calls per second that discovery can answer, for each of two known deployments. */
  private static final double[] DISCOVERY_CALLS_PER_SECOND = {2.5, 6};

  private static final int READS_PER_ROUND = 20_000;

  private final FleetSize size;
  private final HollowFleet.Phases simulationPhases;
  private final long seed;
  private final Consumer<String> progress;
  private final List<Slope> slopes = new ArrayList<>();

  private CapacityRun(
      FleetSize size, HollowFleet.Phases simulationPhases, long seed, Consumer<String> progress) {
    this.size = size;
    this.simulationPhases = simulationPhases;
    this.seed = seed;
    this.progress = progress;
  }

  /**
   * Measures these roles in steps up to twice this size.
   *
   * @param seconds virtual time for which each fleet is measured. Before, caches fill for 1.5 times
   *     this time; after, a restart of servers is simulated for twice this time.
   * @param progress receives a line of text for each measurement
   */
  public static List<Slope> measure(
      FleetSize size, Set<Role> roles, double seconds, long seed, Consumer<String> progress)
      throws FormatException {
    HollowFleet.Phases simulationPhases =
        new HollowFleet.Phases(1.5 * seconds, seconds, 2 * seconds);
    CapacityRun run = new CapacityRun(size, simulationPhases, seed, progress);
    for (Role role : EnumSet.copyOf(roles)) {
      switch (role) {
        case DECISIONS -> run.measureDecisions();
        case LIST -> run.measureLists();
        case FLEET -> run.measureFleets();
        case DISCOVERY -> run.measureDiscovery();
        case FEED -> run.measureFeeds();
      }
    }
    return List.copyOf(run.slopes);
  }

  private FleetSize withServers(int servers) {
    return new FleetSize(size.nodes(), servers, size.perSecond(), size.zones());
  }

  private void measureDecisions() {
    List<Integer> steps = size.serverSteps();
    // The first pass warms up the JIT compiler.
    for (int servers : steps) {
      FleetSize fleetSize = withServers(servers);
      DecisionCost.measure(
          fleetSize, READS_PER_ROUND, actions -> DecisionCost.createRouter(fleetSize, actions));
    }
    List<DecisionCost.Measurement> measurements = new ArrayList<>();
    for (int servers : steps) {
      FleetSize fleetSize = withServers(servers);
      DecisionCost.Measurement result =
          DecisionCost.measure(
              fleetSize, READS_PER_ROUND, actions -> DecisionCost.createRouter(fleetSize, actions));
      measurements.add(result);
      progress.accept(
          "decisions  %4d servers  cached key %.2f us  new key %.2f us  new list %.2f ms"
              .formatted(
                  servers,
                  result.cachedReadMicros(),
                  result.uncachedReadMicros(),
                  result.listUpdateMillis()));
    }
    addSlope(
        "node",
        "decisions, held",
        "us/read",
        "servers",
        steps,
        measurements,
        m -> m.cachedReadMicros());
    addSlope(
        "node",
        "decisions, missing",
        "us/read",
        "servers",
        steps,
        measurements,
        m -> m.uncachedReadMicros());
    addSlope(
        "node",
        "a new list taken in",
        "ms",
        "servers",
        steps,
        measurements,
        m -> m.listUpdateMillis());
  }

  private void measureLists() throws FormatException {
    List<Integer> steps = size.serverSteps();
    for (int servers : steps) {
      ServerListPayload.measure(withServers(servers));
    }
    List<ServerListPayload.Measurement> measurements = new ArrayList<>();
    for (int servers : steps) {
      ServerListPayload.Measurement result = ServerListPayload.measure(withServers(servers));
      measurements.add(result);
      progress.accept(
          "list       %4d servers  %.0f bytes  parsed in %.0f us"
              .formatted(servers, result.bytes(), result.parseMicros()));
    }
    addSlope("node", "whole list", "bytes", "servers", steps, measurements, m -> m.bytes());
    addSlope("node", "whole list read", "us", "servers", steps, measurements, m -> m.parseMicros());
  }

  private void measureFleets() {
    List<Integer> steps = size.nodeSteps();
    HollowFleet.simulate(size.withNodes(steps.get(0)), new HollowFleet.Phases(0.5, 0.5, 0.5), seed);
    List<HollowFleet.Result> results = new ArrayList<>();
    for (int nodes : steps) {
      HollowFleet.Result result =
          HollowFleet.simulate(size.withNodes(nodes), simulationPhases, seed);
      results.add(result);
      progress.accept(
          ("fleet      %4d nodes  reads not at first choice %.2f%%  rejected %.2f%%  missed %.1f%%"
                  + "  copies per key %.3f  %.2f us per read  %.0f nodes per server"
                  + "  restarted server: %.2f of its overload limit, %.0f new callers per second"
                  + "  %.0f kB per node")
              .formatted(
                  nodes,
                  100 * result.otherServerRatio(),
                  100 * result.rejectedRatio(),
                  100 * result.missRatio(),
                  result.copiesPerKey(),
                  result.microsPerRead(),
                  result.nodesPerServer(),
                  result.restartLoadRatio(),
                  result.maxNewCallersPerSecond(),
                  result.bytesPerNode() / 1000));
    }
    String sizeName = "nodes";
    addSlope(
        "node",
        "reads sent away from home",
        "part",
        sizeName,
        steps,
        results,
        c -> c.otherServerRatio());
    addSlope("node", "reads refused", "part", sizeName, steps, results, c -> c.rejectedRatio());
    addSlope(
        "node",
        "decisions within a fleet",
        "us/read",
        sizeName,
        steps,
        results,
        c -> c.microsPerRead());
    addSlope("node", "heap", "bytes", sizeName, steps, results, c -> c.bytesPerNode());
    addSlope(
        "cache server",
        "copies of a key",
        "servers",
        sizeName,
        steps,
        results,
        c -> c.copiesPerKey());
    addSlope("cache server", "reads missed", "part", sizeName, steps, results, c -> c.missRatio());
    addSlope(
        "cache server",
        "nodes that ask it",
        "nodes",
        sizeName,
        steps,
        results,
        c -> c.nodesPerServer());
    addSlope(
        "cache server",
        "cold, of its fall",
        "part",
        sizeName,
        steps,
        results,
        c -> c.restartLoadRatio());
    addSlope(
        "cache server",
        "new callers, cold",
        "nodes/s",
        sizeName,
        steps,
        results,
        c -> c.maxNewCallersPerSecond());
  }

  private void measureDiscovery() {
    List<Integer> steps = size.nodeSteps();
    for (double callsPerSecond : DISCOVERY_CALLS_PER_SECOND) {
      List<DiscoveryPolling.Result> results = new ArrayList<>();
      for (int nodes : steps) {
        FleetSize fleetSize = size.withNodes(nodes);
        DiscoveryPolling.Result result =
            DiscoveryPolling.simulate(
                fleetSize, callsPerSecond, seed, DiscoveryPolling.routerClients(fleetSize));
        results.add(result);
        progress.accept(
            ("discovery  %4d nodes  %.1f calls/s  half of the nodes have the list after %.1f s,"
                    + " all after %.1f s  %.1f calls per node")
                .formatted(
                    nodes,
                    callsPerSecond,
                    result.medianRecoverySeconds(),
                    result.maxRecoverySeconds(),
                    result.callsPerNode()));
      }
      String figureSuffix = " at %.1f calls/s".formatted(callsPerSecond);
      addSlope(
          "discovery",
          "last list after its return" + figureSuffix,
          "s",
          "nodes",
          steps,
          results,
          c -> c.maxRecoverySeconds());
      addSlope(
          "discovery",
          "calls a node" + figureSuffix,
          "calls",
          "nodes",
          steps,
          results,
          c -> c.callsPerNode());
    }
  }

  private HollowFeed.Result simulateFeed(int nodes, FeedCondition condition) {
    HollowFeed feed =
        new HollowFeed(
            new HollowFeed.Plan(
                nodes,
                3,
                12,
                MAX_REGION_DELAY_NANOS,
                condition.packetLossRate,
                ENTRIES_PER_SECOND,
                ENTRY_BODY_BYTES,
                FEED_SECONDS,
                ChangeFeedPublisher.Limits.DEFAULT,
                HollowFeed.subscriberFactory(3),
                seed));
    if (condition.lostMember >= 0) {
      feed.loseMember(8_000_000_000L, condition.lostMember, 6_000_000_000L);
    }
    return feed.simulate(10_000_000_000L);
  }

  private void measureFeeds() {
    List<Integer> steps = size.nodeSteps();
    simulateFeed(steps.get(steps.size() - 1), FeedCondition.NORMAL);
    for (FeedCondition condition : FeedCondition.values()) {
      List<HollowFeed.Result> results = new ArrayList<>();
      for (int nodes : steps) {
        HollowFeed.Result result = simulateFeed(nodes, condition);
        results.add(result);
        progress.accept(
            ("feed       %4d nodes  %s: entries applied after %.3f s (median), %.3f s (p99),"
                    + " %.3f s (maximum)  %.0f bytes/s per node"
                    + "  %.0f us/s per node, %.0f us/s per member"
                    + "  most subscribers of one member %d  violations %s")
                .formatted(
                    nodes,
                    condition.description,
                    result.medianSeconds(),
                    result.p99Seconds(),
                    result.maxSeconds(),
                    result.bytesPerSecond(),
                    result.nodeMicrosPerSecond(),
                    result.memberMicrosPerSecond(),
                    result.maxSubscribers(),
                    result.violations()));
      }
      String sizeName = "nodes";
      String figureSuffix = ", " + condition.nameInFigures;
      addSlope(
          "feed",
          "half have it" + figureSuffix,
          "s",
          sizeName,
          steps,
          results,
          c -> c.medianSeconds());
      addSlope(
          "feed", "99% have it" + figureSuffix, "s", sizeName, steps, results, c -> c.p99Seconds());
      addSlope(
          "feed", "last has it" + figureSuffix, "s", sizeName, steps, results, c -> c.maxSeconds());
      addSlope(
          "node",
          "feed, both ways" + figureSuffix,
          "bytes/s",
          sizeName,
          steps,
          results,
          c -> c.bytesPerSecond());
      addSlope(
          "node",
          "feed" + figureSuffix,
          "us/s",
          sizeName,
          steps,
          results,
          c -> c.nodeMicrosPerSecond());
      addSlope(
          "member",
          "feed" + figureSuffix,
          "us/s",
          sizeName,
          steps,
          results,
          c -> c.memberMicrosPerSecond());
      addSlope(
          "member",
          "followers" + figureSuffix,
          "nodes",
          sizeName,
          steps,
          results,
          c -> c.maxSubscribers());
    }
  }

  /**
   * Adds the slope of one figure to the result.
   *
   * @param figure the name of the figure, which is stored in the JSON report and so doesn't change
   * @param steps the sizes at which the figure was measured
   * @param measurements the measurement at each of these sizes
   * @param toValue returns the value of the figure in a measurement
   */
  private <T> void addSlope(
      String role,
      String figure,
      String unit,
      String sizeName,
      List<Integer> steps,
      List<T> measurements,
      ToDoubleFunction<T> toValue) {
    List<Slope.Point> points = new ArrayList<>();
    for (int i = 0; i < steps.size(); i++) {
      points.add(new Slope.Point(steps.get(i), toValue.applyAsDouble(measurements.get(i))));
    }
    slopes.add(Slope.fit(role, figure, unit, sizeName, points));
  }
}
