package shalepaddle.capacity;

import java.util.List;
import java.util.stream.IntStream;
import shalepaddle.membership.MemberList;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** The settings and the list of a fleet of hollow nodes, alike but for a node's number and zone. */
final class HollowSettings {
  /** By the contract a cold server falls at so many times what it can do, for so many seconds. */
  static final double OVERLOAD_FACTOR = 3;

  static final double OVERLOAD_FOR = 2;

  /** What a server can do right after its start, and the seconds until it can do all. */
  private static final double COLD_FROM = 0.1;

  private static final double WARM_WITHIN = 20;

  /** The part of what warm servers can do that is usually asked of them (assumed). */
  private static final double USUAL = 0.6;

  private HollowSettings() {}

  /** Those of one node, which is told the list or has to ask for it. */
  static Settings of(int node, FleetSize size, boolean asks) {
    Settings.ServiceClass read =
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
        zone(node, size),
        IntStream.range(0, size.zones()).mapToObj(zone -> "z" + zone).toList(),
        List.of("m"),
        node,
        size.nodes(),
        asks,
        false,
        Settings.Weights.NONE,
        new Settings.CacheMode(false, null, 0, 0),
        new Settings.Limits(3, true, true, false, false, false, 1, 0.15, 60, 32),
        new Settings.Contract(0.05, 10, 2, COLD_FROM, WARM_WITHIN, OVERLOAD_FACTOR, OVERLOAD_FOR),
        new Settings.Prices(0, 0, 0, 0, 0, 0, 0, 0, 0),
        List.of(read),
        List.of(),
        1,
        0.005);
  }

  private static String zone(int number, FleetSize size) {
    return "z" + number % size.zones();
  }

  /** The number by which the decisions know a server. */
  static long id(int server) {
    return MemberList.serverNumber("s-" + server);
  }

  static ServerEntry entry(int server, FleetSize size, double startedAt) {
    return new ServerEntry(
        id(server), zone(server, size), "m", 0, ServerEntry.State.READY, 1, startedAt);
  }

  /** Requests a second that a warm server can do. */
  static double capacity(FleetSize size) {
    return size.perSecond() / size.servers() / USUAL;
  }

  /** The part of it that a server can do so long after its start, by the contract's least. */
  static double warmth(double age) {
    return Math.min(1, COLD_FROM + (1 - COLD_FROM) * age / WARM_WITHIN);
  }
}
