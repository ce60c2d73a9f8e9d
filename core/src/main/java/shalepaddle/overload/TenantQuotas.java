package shalepaddle.overload;

import java.util.List;
import shalepaddle.model.Settings;

/**
 * Determines which tenants exceed their quota. Each tenant has a token bucket, which is refilled at
 * its quota divided by the number of instances and holds one second of that rate. A tenant without
 * a quota never exceeds it.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 */
public final class TenantQuotas {
  /**
   * The size of a tenant's token bucket, in seconds of its refill rate; tolerates an uneven
   * distribution of requests over instances.
   */
  private static final double BURST_SECONDS = 1;

  private final double[] quotasPerSecond;
  private final double[] tokens;
  private final long[] refilledAtNanos;

  /** Creates full buckets for the tenants, given in the order of the settings. */
  public TenantQuotas(List<Settings.Tenant> tenants, int instances) {
    quotasPerSecond =
        tenants.stream()
            .mapToDouble(t -> Math.max(0, t.quotaPerSecond()) / Math.max(1, instances))
            .toArray();
    tokens = new double[quotasPerSecond.length];
    refilledAtNanos = new long[quotasPerSecond.length];
    for (int i = 0; i < quotasPerSecond.length; i++) {
      tokens[i] = burstTokens(i);
    }
  }

  private double burstTokens(int tenant) {
    return Math.max(1, quotasPerSecond[tenant] * BURST_SECONDS);
  }

  /**
   * Counts a request of a tenant, -1 if unknown; returns whether the request exceeds the tenant's
   * quota.
   */
  public boolean isOverQuota(int tenant, long now) {
    if (tenant < 0 || quotasPerSecond[tenant] == 0) {
      return false;
    }
    if (refilledAtNanos[tenant] != 0) {
      tokens[tenant] =
          Math.min(
              burstTokens(tenant),
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
