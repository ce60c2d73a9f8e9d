package shalepaddle.policy;

/** The cap on a server's requests in flight, as this balancer counts them. */
final class BoundedLoad {
  /** ε of the paper. */
  static final double EPSILON = 0.5;

  /**
   * The floor of the cap, over all balancers together: a few requests for each core of a usual
   * machine, so that chance alone sends no key to caches lacking it.
   */
  static final int TIER_FLOOR = 12;

  /** The mean of requests in flight at a server from which two often meet there by chance. */
  static final double OFTEN = 0.1;

  private BoundedLoad() {}

  /**
   * ⌈(1+ε)·n·w/Σw⌉, at least this balancer's part of the floor, and two where two often meet.
   *
   * @param inFlight n, the balancer's requests in flight with the new one
   * @param weight the server's weight
   * @param totalWeight the sum of weights of ready servers
   * @param instances how many balancers there are
   */
  static int cap(int inFlight, double weight, double totalWeight, int instances) {
    double mean = totalWeight > 0 ? inFlight * usable(weight) / totalWeight : 0;
    int floor = Math.max(mean > OFTEN ? 2 : 1, (TIER_FLOOR + instances - 1) / instances);
    return (int) Math.max(floor, Math.ceil((1 + EPSILON) * mean - 1e-9));
  }

  /** A weight that can be counted with: nonsense in a list counts as nothing. */
  static double usable(double weight) {
    return weight > 0 && weight < 1e12 ? weight : 0;
  }
}
