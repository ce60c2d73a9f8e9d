package shalepaddle.overload;

import java.util.List;
import java.util.TreeSet;
import shalepaddle.model.Settings;

/**
 * Which requests are worth more than which, for the processor time that they cost: those of one
 * tier are worth the same. Tier 0 is worth most.
 *
 * <p>All requests cost the event loop about the same, so worth alone makes the order. A client's
 * repeat counts half of a first try: it has cost a request already, and its client has less time
 * left. What a tenant sends past its share counts what the settings say. The order is that of
 * DAGOR's priority levels (Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018),
 * with the worth told by the operators in the place of a list of business priorities.
 *
 * <p>Immutable.
 */
public final class PriorityTiers {
  private static final double REPEAT_PART = 0.5;

  private final int[] tiers;
  private final int count;

  /** The tiers of the classes, in the order in which the settings name them. */
  public PriorityTiers(List<Settings.ServiceClass> classes, double overShareWorth) {
    double[] worths = new double[classes.size() * 4];
    TreeSet<Double> distinct = new TreeSet<>();
    for (int i = 0; i < worths.length; i++) {
      double worth = Math.max(0, classes.get(i / 4).priorityWeight());
      worths[i] = worth * ((i & 1) != 0 ? REPEAT_PART : 1) * ((i & 2) != 0 ? overShareWorth : 1);
      distinct.add(worths[i]);
    }
    count = Math.max(1, distinct.size());
    tiers = new int[worths.length];
    for (int i = 0; i < worths.length; i++) {
      tiers[i] = distinct.tailSet(worths[i], false).size();
    }
  }

  /**
   * The tier of a request.
   *
   * @param serviceClass the place of its class in the settings
   * @param repeat whether its client has tried before
   * @param pastShare whether its tenant has had its share
   */
  public int of(int serviceClass, boolean repeat, boolean pastShare) {
    return tiers[4 * serviceClass + (repeat ? 1 : 0) + (pastShare ? 2 : 0)];
  }

  /** How many there are. */
  public int count() {
    return count;
  }
}
