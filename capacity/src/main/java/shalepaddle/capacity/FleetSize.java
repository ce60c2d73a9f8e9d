package shalepaddle.capacity;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The size of a fleet.
 *
 * @param nodes the number of load balancers
 * @param servers the number of cache servers
 * @param perSecond requests per second over all nodes
 * @param zones the number of zones, over which nodes and servers are spread evenly
 */
public record FleetSize(int nodes, int servers, double perSecond, int zones) {
  /** The planned size of the fleet. */
  public static final FleetSize PLANNED = new FleetSize(430, 110, 270_000, 27);

  /** Memory of a hollow node, for its slot table, hot-key sketch, and state per key. */
  private static final long NODE_BYTES = 2_500_000;

  /** Rejects sizes that are not positive. */
  public FleetSize {
    if (nodes < 1 || servers < 1 || zones < 1 || !(perSecond > 0)) {
      throw new IllegalArgumentException(
          ("nodes, servers, zones and requests per second must be positive,"
                  + " but are %d, %d, %d and %s")
              .formatted(nodes, servers, zones, perSecond));
    }
  }

  /** Returns the numbers of nodes to measure: 1/16, 1/8, 1/4, 1/2, 1 and 2 times {@link #nodes}. */
  public List<Integer> nodeSteps() {
    return createSteps(nodes);
  }

  /** Returns the numbers of servers to measure, in the same fractions as {@link #nodeSteps}. */
  public List<Integer> serverSteps() {
    return createSteps(servers);
  }

  private static List<Integer> createSteps(int fullSize) {
    IntStream fractionSizes =
        IntStream.of(16, 8, 4, 2)
            .map(divisor -> Math.max(1, Math.round((float) fullSize / divisor)));
    return IntStream.concat(fractionSizes, IntStream.of(fullSize, 2 * fullSize))
        .distinct()
        .boxed()
        .toList();
  }

  /** Returns a fleet with another number of nodes, and the same servers and request rate. */
  public FleetSize withNodes(int nodeCount) {
    return new FleetSize(nodeCount, servers, perSecond, zones);
  }

  /** Returns the estimated peak memory of a run up to this size, in bytes. */
  public long expectedBytes() {
    long cacheBytes = 2L * servers * HollowFleet.KEY_COUNT / 8;
    return 2L * nodes * NODE_BYTES + cacheBytes + (256L << 20);
  }
}
