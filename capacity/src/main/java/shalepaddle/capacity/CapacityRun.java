package shalepaddle.capacity;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToDoubleFunction;
import shalepaddle.changefeed.ChangeFeedPublisher;
import shalepaddle.settings.FormatException;

/** Measures each role in steps of its size, and fits slopes. */
public final class CapacityRun {
  /** What can be measured. */
  public enum Role {
    /** The decisions of one node, as servers grow in number. */
    DECISIONS,
    /** The list of servers on its way to a node. */
    LIST,
    /** All nodes before all servers, as nodes grow in number and traffic stays. */
    FLEET,
    /** Discovery that is asked, as nodes grow in number. */
    DISCOVERY,
    /** The feed from a group of three members, as nodes grow in number. */
    FEED
  }

  /** What may befall the feed. */
  private enum Weather {
    WELL("all well", 0, -1),
    LEADER("the leader's machine gone", 0, 0),
    MEMBER("another member's machine gone", 0, 1),
    LOSSY("1% lost", 0.01, -1);

    private final String text;
    private final double loss;

    /** Which member vanishes. */
    private final int vanishes;

    Weather(String text, double loss, int vanishes) {
      this.text = text;
      this.loss = loss;
      this.vanishes = vanishes;
    }
  }

  /**
   * Entries a second: the purges that the size that is coming asks for. Their bytes are assumed.
   */
  private static final double ENTRIES = 6;

  private static final int BODY_BYTES = 120;

  /** One way between two regions. */
  private static final long BETWEEN_NANOS = 80_000_000;

  private static final int FEED_SECONDS = 20;

  /** Calls a second that a discovery works through, by the sites known. */
  private static final double[] CALLS = {2.5, 6};

  private static final int READS = 20_000;

  private final FleetSize size;
  private final HollowFleet.Parts parts;
  private final long seed;
  private final Consumer<String> progress;
  private final List<Slope> slopes = new ArrayList<>();

  private CapacityRun(
      FleetSize size, HollowFleet.Parts parts, long seed, Consumer<String> progress) {
    this.size = size;
    this.parts = parts;
    this.seed = seed;
    this.progress = progress;
  }

  /**
   * Measures these roles up to this size and one step beyond.
   *
   * @param seconds of virtual time that count in each fleet, half as many more before and after
   * @param progress gets a line for each step
   */
  public static List<Slope> measure(
      FleetSize size, Set<Role> roles, double seconds, long seed, Consumer<String> progress)
      throws FormatException {
    HollowFleet.Parts parts = new HollowFleet.Parts(1.5 * seconds, seconds, 2 * seconds);
    CapacityRun scale = new CapacityRun(size, parts, seed, progress);
    for (Role role : EnumSet.copyOf(roles)) {
      switch (role) {
        case DECISIONS -> scale.decisions();
        case LIST -> scale.lists();
        case FLEET -> scale.fleets();
        case DISCOVERY -> scale.discoveries();
        case FEED -> scale.feeds();
      }
    }
    return List.copyOf(scale.slopes);
  }

  private FleetSize withServers(int servers) {
    return new FleetSize(size.nodes(), servers, size.perSecond(), size.zones());
  }

  private void decisions() {
    List<Integer> steps = size.serverSteps();
    // Twice over: the first compiles.
    for (int servers : steps) {
      FleetSize step = withServers(servers);
      DecisionCost.measure(step, READS, actions -> DecisionCost.real(step, actions));
    }
    List<DecisionCost.Measured> measured = new ArrayList<>();
    for (int servers : steps) {
      FleetSize step = withServers(servers);
      DecisionCost.Measured one =
          DecisionCost.measure(step, READS, actions -> DecisionCost.real(step, actions));
      measured.add(one);
      progress.accept(
          "decisions  %4d servers  held %.2f us  missing %.2f us  list %.2f ms"
              .formatted(servers, one.heldMicros(), one.missingMicros(), one.listMillis()));
    }
    fit("node", "decisions, held", "us/read", "servers", steps, measured, m -> m.heldMicros());
    fit(
        "node",
        "decisions, missing",
        "us/read",
        "servers",
        steps,
        measured,
        m -> m.missingMicros());
    fit("node", "a new list taken in", "ms", "servers", steps, measured, m -> m.listMillis());
  }

  private void lists() throws FormatException {
    List<Integer> steps = size.serverSteps();
    for (int servers : steps) {
      ServerListPayload.measure(withServers(servers));
    }
    List<ServerListPayload.Measured> measured = new ArrayList<>();
    for (int servers : steps) {
      ServerListPayload.Measured one = ServerListPayload.measure(withServers(servers));
      measured.add(one);
      progress.accept(
          "list       %4d servers  %.0f bytes  read in %.0f us"
              .formatted(servers, one.bytes(), one.readMicros()));
    }
    fit("node", "whole list", "bytes", "servers", steps, measured, m -> m.bytes());
    fit("node", "whole list read", "us", "servers", steps, measured, m -> m.readMicros());
  }

  private void fleets() {
    List<Integer> steps = size.nodeSteps();
    HollowFleet.play(size.withNodes(steps.get(0)), new HollowFleet.Parts(0.5, 0.5, 0.5), seed);
    List<HollowFleet.Counted> counted = new ArrayList<>();
    for (int nodes : steps) {
      HollowFleet.Counted one = HollowFleet.play(size.withNodes(nodes), parts, seed);
      counted.add(one);
      progress.accept(
          ("fleet      %4d nodes  away %.2f%%  refused %.2f%%  missed %.1f%%  copies %.3f"
                  + "  %.2f us a read  %.0f nodes a server  cold %.2f of its fall, %.0f callers"
                  + "  %.0f kB a node")
              .formatted(
                  nodes,
                  100 * one.awayPart(),
                  100 * one.refusedPart(),
                  100 * one.missPart(),
                  one.copies(),
                  one.microsPerRead(),
                  one.nodesPerServer(),
                  one.coldPart(),
                  one.coldCallers(),
                  one.bytesPerNode() / 1000));
    }
    String by = "nodes";
    fit("node", "reads sent away from home", "part", by, steps, counted, c -> c.awayPart());
    fit("node", "reads refused", "part", by, steps, counted, c -> c.refusedPart());
    fit("node", "decisions within a fleet", "us/read", by, steps, counted, c -> c.microsPerRead());
    fit("node", "heap", "bytes", by, steps, counted, c -> c.bytesPerNode());
    fit("cache server", "copies of a key", "servers", by, steps, counted, c -> c.copies());
    fit("cache server", "reads missed", "part", by, steps, counted, c -> c.missPart());
    fit("cache server", "nodes that ask it", "nodes", by, steps, counted, c -> c.nodesPerServer());
    fit("cache server", "cold, of its fall", "part", by, steps, counted, c -> c.coldPart());
    fit("cache server", "new callers, cold", "nodes/s", by, steps, counted, c -> c.coldCallers());
  }

  private void discoveries() {
    List<Integer> steps = size.nodeSteps();
    for (double calls : CALLS) {
      List<DiscoveryPolling.Counted> counted = new ArrayList<>();
      for (int nodes : steps) {
        FleetSize step = size.withNodes(nodes);
        DiscoveryPolling.Counted one =
            DiscoveryPolling.play(step, calls, seed, DiscoveryPolling.real(step));
        counted.add(one);
        progress.accept(
            "discovery  %4d nodes  %.1f calls/s  half %.1f s  last %.1f s  %.1f calls a node"
                .formatted(
                    nodes, calls, one.medianSeconds(), one.lastSeconds(), one.callsPerNode()));
      }
      String at = " at %.1f calls/s".formatted(calls);
      fit(
          "discovery",
          "last list after its return" + at,
          "s",
          "nodes",
          steps,
          counted,
          c -> c.lastSeconds());
      fit(
          "discovery",
          "calls a node" + at,
          "calls",
          "nodes",
          steps,
          counted,
          c -> c.callsPerNode());
    }
  }

  private HollowFeed.Counted feed(int nodes, Weather weather) {
    HollowFeed feed =
        new HollowFeed(
            new HollowFeed.Plan(
                nodes,
                3,
                12,
                BETWEEN_NANOS,
                weather.loss,
                ENTRIES,
                BODY_BYTES,
                FEED_SECONDS,
                ChangeFeedPublisher.Limits.DEFAULT,
                HollowFeed.real(3),
                seed));
    if (weather.vanishes >= 0) {
      feed.vanish(8_000_000_000L, weather.vanishes, 6_000_000_000L);
    }
    return feed.play(10_000_000_000L);
  }

  private void feeds() {
    List<Integer> steps = size.nodeSteps();
    feed(steps.get(steps.size() - 1), Weather.WELL);
    for (Weather weather : Weather.values()) {
      List<HollowFeed.Counted> counted = new ArrayList<>();
      for (int nodes : steps) {
        HollowFeed.Counted one = feed(nodes, weather);
        counted.add(one);
        progress.accept(
            ("feed       %4d nodes  %s: half in %.3f s, 99%% in %.3f s, last %.3f s  %.0f bytes/s"
                    + " a node  %.0f us/s a node, %.0f us/s a member  most on one %d  %s")
                .formatted(
                    nodes,
                    weather.text,
                    one.medianSeconds(),
                    one.ninetyNinthSeconds(),
                    one.lastSeconds(),
                    one.bytesPerSecond(),
                    one.nodeMicros(),
                    one.memberMicros(),
                    one.mostFollowers(),
                    one.breaches()));
      }
      String by = "nodes";
      String when = ", " + weather.text;
      fit("feed", "half have it" + when, "s", by, steps, counted, c -> c.medianSeconds());
      fit("feed", "99% have it" + when, "s", by, steps, counted, c -> c.ninetyNinthSeconds());
      fit("feed", "last has it" + when, "s", by, steps, counted, c -> c.lastSeconds());
      fit("node", "feed, both ways" + when, "bytes/s", by, steps, counted, c -> c.bytesPerSecond());
      fit("node", "feed" + when, "us/s", by, steps, counted, c -> c.nodeMicros());
      fit("member", "feed" + when, "us/s", by, steps, counted, c -> c.memberMicros());
      fit("member", "followers" + when, "nodes", by, steps, counted, c -> c.mostFollowers());
    }
  }

  private <T> void fit(
      String role,
      String figure,
      String unit,
      String by,
      List<Integer> steps,
      List<T> measured,
      ToDoubleFunction<T> value) {
    List<Slope.Point> points = new ArrayList<>();
    for (int i = 0; i < steps.size(); i++) {
      points.add(new Slope.Point(steps.get(i), value.applyAsDouble(measured.get(i))));
    }
    slopes.add(Slope.fit(role, figure, unit, by, points));
  }
}
