package shalepaddle.overload;

import java.util.List;
import shalepaddle.model.Settings;

/**
 * Which tenants are over their quota: a token bucket for each, filled by its quota divided by the
 * number of instances, and holding one second of it. A tenant without a quota is never over it.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 */
public final class TenantQuotas {
  /** Tolerates an uneven distribution of requests over instances. */
  private static final double BURST_SECONDS = 1;

  private final double[] quotasPerSecond;
  private final double[] tokens;
  private final long[] refilledAtNanos;

  /** Full buckets, of the tenants in the order in which the settings name them. */
  public TenantQuotas(List<Settings.Tenant> tenants, int instances) {
    quotasPerSecond =
        tenants.stream()
            .mapToDouble(t -> Math.max(0, t.quotaPerSecond()) / Math.max(1, instances))
            .toArray();
    tokens = new double[quotasPerSecond.length];
    refilledAtNanos = new long[quotasPerSecond.length];
    for (int i = 0; i < quotasPerSecond.length; i++) {
      tokens[i] = burst(i);
    }
  }

  private double burst(int tenant) {
    return Math.max(1, quotasPerSecond[tenant] * BURST_SECONDS);
  }

  /** Counts a request of this tenant, -1 if unknown; returns whether it is over the quota. */
  public boolean isOverQuota(int tenant, long now) {
    if (tenant < 0 || quotasPerSecond[tenant] == 0) {
      return false;
    }
    if (refilledAtNanos[tenant] != 0) {
      tokens[tenant] =
          Math.min(
              burst(tenant),
              tokens[tenant]
                  + Math.max(0, now - refilledAtNanos[tenant]) / 1e9 * quotasPerSecond[tenant]);
    }
    refilledAtNanos[tenant] = now;
    if (tokens[tenant] < 1) {
      return true;
    }
    tokens[tenant]--;
    return false;
  }
}
