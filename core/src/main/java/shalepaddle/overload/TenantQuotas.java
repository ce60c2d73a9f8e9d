package shalepaddle.overload;

import java.util.List;
import shalepaddle.model.Settings;

/**
 * Which tenants have had their share. Each has a bucket that fills by its quota, divided by the
 * number of instances that share it, and holds a second of it: a request that finds it empty is
 * past the share. A tenant without a quota is never past it.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 */
public final class TenantQuotas {
  /** The quotas hold for all instances together; a front deals requests out unevenly. */
  private static final double BURST_SECONDS = 1;

  private final double[] quotas;
  private final double[] tokens;
  private final long[] filledAt;

  /** Full buckets, of the tenants in the order in which the settings name them. */
  public TenantQuotas(List<Settings.Tenant> tenants, int instances) {
    quotas =
        tenants.stream()
            .mapToDouble(t -> Math.max(0, t.quotaPerSecond()) / Math.max(1, instances))
            .toArray();
    tokens = new double[quotas.length];
    filledAt = new long[quotas.length];
    for (int i = 0; i < quotas.length; i++) {
      tokens[i] = burst(i);
    }
  }

  private double burst(int tenant) {
    return Math.max(1, quotas[tenant] * BURST_SECONDS);
  }

  /** A request of this tenant has come, -1 for none that is known; whether it is past the share. */
  public boolean isOverQuota(int tenant, long now) {
    if (tenant < 0 || quotas[tenant] == 0) {
      return false;
    }
    if (filledAt[tenant] != 0) {
      tokens[tenant] =
          Math.min(
              burst(tenant),
              tokens[tenant] + Math.max(0, now - filledAt[tenant]) / 1e9 * quotas[tenant]);
    }
    filledAt[tenant] = now;
    if (tokens[tenant] < 1) {
      return true;
    }
    tokens[tenant]--;
    return false;
  }
}
