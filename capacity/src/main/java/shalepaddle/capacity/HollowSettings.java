package shalepaddle.capacity;

import java.util.List;
import java.util.stream.IntStream;
import shalepaddle.membership.MemberList;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** Settings and endpoint list entries of hollow nodes, which differ only in number and zone. */
final class HollowSettings {
  /**
   * By the servers' contract ({@link Settings.Contract}), a server in slow start fails after {@link
   * #OVERLOAD_SECONDS} seconds of load at this multiple of its present capacity.
   */
  static final double OVERLOAD_RATIO = 3;

  /** How long a server in slow start must be overloaded until it fails, in seconds. */
  static final double OVERLOAD_SECONDS = 2;

  /** The fraction of its capacity that a server has at its start, by the servers' contract. */
  private static final double SLOW_START_MIN_RATIO = 0.1;

  /** Seconds from a server's start until it has its full capacity, by the servers' contract. */
  private static final double SLOW_START_SECONDS = 20;

  /** The usual load of warm servers, as a fraction of their capacity (assumed). */
  private static final double USUAL_LOAD_RATIO = 0.6;

  private HollowSettings() {}

  /**
   * Returns the settings of one node.
   *
   * @param pollsDiscovery whether the node polls discovery for the endpoint list, or has it pushed
   */
  static Settings of(int node, FleetSize size, boolean pollsDiscovery) {
    Settings.ServiceClass readClass =
        new Settings.ServiceClass(
            "read",
            0.75,
            0,
            2,
            2,
            0.3,
            Settings.Idempotency.IDEMPOTENT,
            Settings.DeduplicationScope.ALL,
            0,
            false);
    return new Settings(
        zoneName(node, size),
        IntStream.range(0, size.zones()).mapToObj(zone -> "z" + zone).toList(),
        List.of("m"),
        node,
        size.nodes(),
        pollsDiscovery,
        false,
        Settings.Weights.NONE,
        new Settings.CacheMode(false, null, 0, 0),
        new Settings.Limits(3, true, true, false, false, false, 1, 0.15, 60, 32),
        new Settings.Contract(
            0.05,
            10,
            2,
            SLOW_START_MIN_RATIO,
            SLOW_START_SECONDS,
            OVERLOAD_RATIO,
            OVERLOAD_SECONDS),
        new Settings.Prices(0, 0, 0, 0, 0, 0, 0, 0, 0),
        List.of(readClass),
        List.of(),
        1,
        0.005);
  }

  private static String zoneName(int nodeOrServer, FleetSize size) {
    return "z" + nodeOrServer % size.zones();
  }

  /** Returns the id by which the router identifies a server. */
  static long serverId(int server) {
    return MemberList.serverNumber("s-" + server);
  }

  static ServerEntry createEntry(int server, FleetSize size, double startedAtSeconds) {
    return new ServerEntry(
        serverId(server),
        zoneName(server, size),
        "m",
        0,
        ServerEntry.State.READY,
        1,
        startedAtSeconds);
  }

  /** Returns the capacity of a warm server, in requests per second. */
  static double capacityPerSecond(FleetSize size) {
    return size.perSecond() / size.servers() / USUAL_LOAD_RATIO;
  }

  /**
   * Returns the fraction of its full capacity that a server has at this age, by the servers'
   * contract. The age is in seconds since the server's start.
   */
  static double slowStartRatio(double ageSeconds) {
    return Math.min(
        1, SLOW_START_MIN_RATIO + (1 - SLOW_START_MIN_RATIO) * ageSeconds / SLOW_START_SECONDS);
  }
}
