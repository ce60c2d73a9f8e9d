package shalepaddle.overload;

import java.util.List;
import java.util.TreeSet;
import shalepaddle.model.Settings;

/**
 * The priority tiers of requests: tier 0 is the highest, and all requests of one tier have the same
 * priority weight.
 *
 * <p>All requests cost the event loop about the same, so the weight alone makes the order. A retry
 * counts half of a first attempt, as it has cost a request already and has less time left; a
 * request over its tenant's quota counts what the settings say. The order is that of DAGOR's
 * priority levels (Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018).
 *
 * <p>Immutable.
 */
public final class PriorityTiers {
  private static final double RETRY_WEIGHT_RATIO = 0.5;

  private final int[] tiers;
  private final int count;

  /** The tiers of the classes, in the order in which the settings name them. */
  public PriorityTiers(List<Settings.ServiceClass> classes, double overQuotaWeightRatio) {
    double[] weights = new double[classes.size() * 4];
    TreeSet<Double> distinct = new TreeSet<>();
    for (int i = 0; i < weights.length; i++) {
      double weight = Math.max(0, classes.get(i / 4).priorityWeight());
      weights[i] =
          weight
              * ((i & 1) != 0 ? RETRY_WEIGHT_RATIO : 1)
              * ((i & 2) != 0 ? overQuotaWeightRatio : 1);
      distinct.add(weights[i]);
    }
    count = Math.max(1, distinct.size());
    tiers = new int[weights.length];
    for (int i = 0; i < weights.length; i++) {
      tiers[i] = distinct.tailSet(weights[i], false).size();
    }
  }

  /**
   * The tier of a request.
   *
   * @param serviceClass the index of its class in the settings
   * @param isRetry whether it is a retry
   * @param isOverQuota whether its tenant is over its quota
   */
  public int of(int serviceClass, boolean isRetry, boolean isOverQuota) {
    return tiers[4 * serviceClass + (isRetry ? 1 : 0) + (isOverQuota ? 2 : 0)];
  }

  /** How many tiers there are. */
  public int count() {
    return count;
  }
}
