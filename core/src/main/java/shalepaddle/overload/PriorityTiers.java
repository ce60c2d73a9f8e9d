package shalepaddle.overload;

import java.util.List;
import java.util.TreeSet;
import shalepaddle.model.Settings;

/**
 * The priority tiers of requests: tier 0 is the highest, and all requests of one tier have the same
 * priority weight.
 *
 * <p>All requests cost the event loop about the same, so their order depends on the weight only. A
 * retry has half the weight of a first attempt, since the first attempt has already been paid for
 * and less time is left. The weight of a request above its tenant's quota is reduced by a ratio
 * from the settings. The scheme follows DAGOR's priority levels (Zhou et al., "Overload Control for
 * Scaling WeChat Microservices", 2018).
 *
 * <p>Immutable.
 */
public final class PriorityTiers {
  private static final double RETRY_WEIGHT_RATIO = 0.5;

  private final int[] tiers;
  private final int tierCount;

  /** Creates the tiers of service classes, given in the order of the settings. */
  public PriorityTiers(List<Settings.ServiceClass> serviceClasses, double overQuotaWeightRatio) {
    double[] weights = new double[serviceClasses.size() * 4];
    TreeSet<Double> distinctWeights = new TreeSet<>();
    for (int i = 0; i < weights.length; i++) {
      double weight = Math.max(0, serviceClasses.get(i / 4).priorityWeight());
      weights[i] =
          weight
              * ((i & 1) != 0 ? RETRY_WEIGHT_RATIO : 1)
              * ((i & 2) != 0 ? overQuotaWeightRatio : 1);
      distinctWeights.add(weights[i]);
    }
    tierCount = Math.max(1, distinctWeights.size());
    tiers = new int[weights.length];
    for (int i = 0; i < weights.length; i++) {
      tiers[i] = distinctWeights.tailSet(weights[i], false).size();
    }
  }

  /**
   * The tier of a request.
   *
   * @param serviceClass the index of its class in the settings
   * @param isRetry whether it is a retry
   * @param isOverQuota whether its tenant is over its quota
   */
  public int tierOf(int serviceClass, boolean isRetry, boolean isOverQuota) {
    return tiers[4 * serviceClass + (isRetry ? 1 : 0) + (isOverQuota ? 2 : 0)];
  }

  /** The number of tiers. */
  public int tierCount() {
    return tierCount;
  }
}
