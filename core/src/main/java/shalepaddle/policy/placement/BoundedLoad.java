package shalepaddle.policy.placement;

/**
 * The cap on a server's requests in flight, as this load balancer counts them (consistent hashing
 * with bounded loads: Mirrokni, Thorup, Zadimoghaddam, 2018; with random jumps: Chen, Coleman,
 * Shrivastava, "Revisiting Consistent Hashing with Bounded Loads", 2021). Stateless.
 */
public final class BoundedLoad {
  /** ε of the paper: by what ratio a server's load may exceed its weighted mean. */
  private static final double MAX_EXCESS_RATIO = 0.5;

  /**
   * The minimum cap of a server over all load balancers together: a few requests for each core of a
   * usual machine, so that random fluctuations alone send no key to a server that lacks it.
   */
  private static final int MIN_FLEET_CAP = 12;

  /**
   * Mean number of requests in flight at a server above which two of them often coincide by chance.
   */
  private static final double MIN_MEAN_FOR_CAP_OF_TWO = 0.1;

  private static final double ROUNDING_TOLERANCE = 1e-9;

  private static final double MAX_WEIGHT = 1e12;

  private BoundedLoad() {}

  /**
   * The cap ⌈(1+ε)·n·w/Σw⌉, but at least this load balancer's portion of {@code MIN_FLEET_CAP}.
   *
   * @param inFlight n, this load balancer's requests in flight, including the new one
   * @param weight w, the server's weight
   * @param totalWeight Σw, the sum of weights of ready servers
   * @param instances how many load balancers there are
   */
  public static int cap(int inFlight, double weight, double totalWeight, int instances) {
    double meanInFlight = totalWeight > 0 ? inFlight * usableWeight(weight) / totalWeight : 0;
    int minCap =
        Math.max(
            meanInFlight > MIN_MEAN_FOR_CAP_OF_TWO ? 2 : 1,
            (MIN_FLEET_CAP + instances - 1) / instances);
    return (int)
        Math.max(minCap, Math.ceil((1 + MAX_EXCESS_RATIO) * meanInFlight - ROUNDING_TOLERANCE));
  }

  /** The weight, or 0 if it is not positive, too large or NaN. */
  public static double usableWeight(double weight) {
    return weight > 0 && weight < MAX_WEIGHT ? weight : 0;
  }
}
