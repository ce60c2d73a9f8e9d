package shalepaddle.capacity;

import java.util.List;
import java.util.stream.IntStream;

/**
 * The size that is asked for.
 *
 * @param nodes balancers
 * @param servers cache servers
 * @param perSecond requests a second of all nodes together
 * @param zones in which servers stand, each alike
 */
public record FleetSize(int nodes, int servers, double perSecond, int zones) {
  /** The size that is coming. */
  public static final FleetSize COMING = new FleetSize(430, 110, 270_000, 27);

  /** Bytes of a hollow node: its table of slots, its sketch, and what it remembers of keys. */
  private static final long NODE_BYTES = 2_500_000;

  /** Refuses what makes no sense. */
  public FleetSize {
    if (nodes < 1 || servers < 1 || zones < 1 || !(perSecond > 0)) {
      throw new IllegalArgumentException("a size needs a node, a server, a zone and a request");
    }
  }

  /** The steps of nodes that make a slope: a sixteenth to the half, the whole, and one beyond. */
  public List<Integer> nodeSteps() {
    return steps(nodes);
  }

  /** The same of servers. */
  public List<Integer> serverSteps() {
    return steps(servers);
  }

  private static List<Integer> steps(int whole) {
    IntStream parts =
        IntStream.of(16, 8, 4, 2).map(part -> Math.max(1, Math.round((float) whole / part)));
    return IntStream.concat(parts, IntStream.of(whole, 2 * whole)).distinct().boxed().toList();
  }

  /** The same fleet's traffic over another number of nodes. */
  public FleetSize withNodes(int count) {
    return new FleetSize(count, servers, perSecond, zones);
  }

  /** The memory that a run up to this size is expected to take at most, in bytes. */
  public long expectedBytes() {
    long caches = 2L * servers * HollowFleet.KEYS / 8;
    return 2L * nodes * NODE_BYTES + caches + (256L << 20);
  }
}
