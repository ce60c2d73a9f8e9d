package shalepaddle.daemon;

import java.util.List;
import java.util.SplittableRandom;
import shalepaddle.testkit.Traffic;

/**
 * The deployment of one {@link FaultSoak}, drawn from its seed: effects, deadlines, groups, zones,
 * limits of the settings, and the distance to the servers.
 *
 * @param writeEffect the effect of writes in the settings: {@code fragile} or {@code dedup}
 * @param group the servers that drop repeats of a keyed write: those of a {@code zone} or {@code
 *     cell}
 * @param repeatWindowSeconds how long they do
 * @param readDeadlineMillis how long clients wait for a read
 * @param writeDeadlineMillis how long clients wait for a write
 * @param maxAttempts the maximum number of attempts of a request
 * @param allowsParallelAttempts whether a request may have two attempts in flight
 * @param maxInFlightPerConnection the maximum number of requests on one connection
 * @param zoneCount the number of zones, over which servers are spread
 * @param farLatencyMillis the time that a byte takes to a server of another zone, in one direction
 * @param hasCrowd whether clients in large numbers connect and send nothing
 */
record SoakDeployment(
    String writeEffect,
    String group,
    double repeatWindowSeconds,
    int readDeadlineMillis,
    int writeDeadlineMillis,
    int maxAttempts,
    boolean allowsParallelAttempts,
    int maxInFlightPerConnection,
    int zoneCount,
    int farLatencyMillis,
    boolean hasCrowd) {
  /** Servers of one cell; all of a cell are in one zone. */
  private static final int SERVERS_PER_CELL = 3;

  private static final int[] DEADLINES_MILLIS = {300, 800, 3000};
  private static final int[] REQUESTS_PER_CONNECTION = {1, 8, 32};
  private static final double CROWD_SHARE = 0.3;
  private static final double PARALLEL_SHARE = 0.7;
  private static final double WRITE_SHARE = 0.5;
  private static final int WRITE_BYTES = 64;

  static SoakDeployment draw(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return new SoakDeployment(
        random.nextBoolean() ? "fragile" : "dedup",
        random.nextBoolean() ? "zone" : "cell",
        0.5 + 4 * random.nextDouble(),
        DEADLINES_MILLIS[random.nextInt(DEADLINES_MILLIS.length)],
        DEADLINES_MILLIS[random.nextInt(DEADLINES_MILLIS.length)],
        2 + random.nextInt(5),
        random.nextDouble() < PARALLEL_SHARE,
        REQUESTS_PER_CONNECTION[random.nextInt(REQUESTS_PER_CONNECTION.length)],
        1 + random.nextInt(2),
        1 + random.nextInt(16),
        random.nextDouble() < CROWD_SHARE);
  }

  /** The longest time that a client waits. */
  int longestDeadlineMillis() {
    return Math.max(readDeadlineMillis, writeDeadlineMillis);
  }

  int cellOf(int serverIndex) {
    return serverIndex / SERVERS_PER_CELL;
  }

  String zoneOf(int serverIndex) {
    return cellOf(serverIndex) % zoneCount == 0 ? "a" : "b";
  }

  /** The group within which a server drops repeats of keyed writes. */
  String groupOf(int serverIndex) {
    return group.equals("zone") ? zoneOf(serverIndex) : "cell" + cellOf(serverIndex);
  }

  /** The time that a byte takes between the nodes, which are in zone a, and a server. */
  int latencyMillisOf(int serverIndex) {
    return zoneOf(serverIndex).equals("a") ? 0 : farLatencyMillis;
  }

  List<Traffic.RequestClass> classes() {
    boolean isKeyed = writeEffect.equals("dedup");
    return List.of(
        new Traffic.RequestClass("read", 1 - WRITE_SHARE, false, false, readDeadlineMillis, 0),
        new Traffic.RequestClass(
            "put", WRITE_SHARE, true, isKeyed, writeDeadlineMillis, WRITE_BYTES));
  }

  /** The settings of every node, in the platform's format. */
  String settingsJson(int nodeCount) {
    return """
        {"instances":%d,"discovery":"push","zone":"a","azs":["a","b"],
          "caps":{"attempts-cap":%d,"cancel":true,"parallel-tries":%b,"multiplex":%d,
                  "connect-timeout":0.15,"conn-idle":60},
          "contract":{"ask-within":10,"drain-grace":1,"cold-from":0.3,"warm-within":1},
          "services":[{"name":"read","effect":"retryable","slo":0.2,"give-up":%s},
                      {"name":"put","effect":"%s","group":"%s","repeat-window":%s,
                       "slo":0.2,"give-up":%s}]}"""
        .formatted(
            nodeCount,
            maxAttempts,
            allowsParallelAttempts,
            maxInFlightPerConnection,
            readDeadlineMillis / 1e3,
            writeEffect,
            group,
            repeatWindowSeconds,
            writeDeadlineMillis / 1e3);
  }
}
