package shalepaddle.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import shalepaddle.overload.OverloadSnapshot;

/**
 * Meters of a load balancer's own overload, for the registry of a program that embeds it. The
 * deployed daemon has no registry and its jar contains no Micrometer: it logs its overload levels.
 *
 * <table>
 * <caption>Meters</caption>
 * <tr><th>name</th><th>meaning</th></tr>
 * <tr><td>{@code shalepaddle.overload.level}</td><td>0 calm, 1 busy, 2 full;
 *     tag {@code resource}</td></tr>
 * <tr><td>{@code shalepaddle.overload.delay}</td><td>queueing delay in the event loop,
 *     in seconds</td></tr>
 * <tr><td>{@code shalepaddle.overload.use}</td><td>fraction of the limit in use;
 *     tag {@code resource}</td></tr>
 * <tr><td>{@code shalepaddle.overload.limit}</td><td>requests admitted per second,
 *     NaN for no limit</td></tr>
 * <tr><td>{@code shalepaddle.overload.passing}</td><td>fraction admitted; tag {@code tier},
 *     0 has the highest priority</td></tr>
 * <tr><td>{@code shalepaddle.overload.offered}, {@code .refused}</td><td>requests offered,
 *     requests rejected; tag {@code tier}</td></tr>
 * <tr><td>{@code shalepaddle.overload.repeats.refused}</td><td>retries rejected for their ratio
 *     to first attempts</td></tr>
 * </table>
 *
 * <p>Snapshots are read on the registry's thread, so they must come from a thread-safe source, such
 * as {@link LoadBalancer#overloadSnapshot}.
 */
public final class OverloadMetrics implements MeterBinder {
  private static final String PREFIX = "shalepaddle.overload.";

  private final Supplier<OverloadSnapshot> latestSnapshot;
  private final Tags tags;

  /**
   * Creates the meters of one load balancer.
   *
   * @param latestSnapshot returns the newest snapshot; called from any thread
   * @param tags distinguish this load balancer's meters from another's in the same registry
   */
  public OverloadMetrics(Supplier<OverloadSnapshot> latestSnapshot, Tags tags) {
    this.latestSnapshot = latestSnapshot;
    this.tags = tags;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    SnapshotMeters<OverloadSnapshot> meters =
        new SnapshotMeters<>(registry, PREFIX, latestSnapshot);
    registerLevel(meters, "processor", snapshot -> snapshot.processorLevel().severity());
    registerLevel(meters, "memory", snapshot -> snapshot.memoryLevel().severity());
    registerLevel(meters, "descriptors", snapshot -> snapshot.descriptorLevel().severity());
    registerUsedRatio(meters, "processor", OverloadSnapshot::processorRatio);
    registerUsedRatio(meters, "memory", OverloadSnapshot::memoryRatio);
    registerUsedRatio(meters, "descriptors", OverloadSnapshot::descriptorRatio);
    meters.registerGauge("delay", "seconds", tags, OverloadSnapshot::delaySeconds);
    meters.registerGauge(
        "limit", "requests/second", tags, snapshot -> nanIfInfinite(snapshot.limitPerSecond()));
    meters.registerCounter(
        "repeats.refused", "requests", tags, OverloadSnapshot::rejectedRetryCount);
    for (int i = 0; i < latestSnapshot.get().tiers().size(); i++) {
      int tier = i;
      Tags tierTags = tags.and("tier", Integer.toString(tier));
      meters.registerGauge(
          "passing", null, tierTags, snapshot -> snapshot.tiers().get(tier).admittedRatio());
      meters.registerCounter(
          "offered", "requests", tierTags, snapshot -> snapshot.tiers().get(tier).offeredCount());
      meters.registerCounter(
          "refused", "requests", tierTags, snapshot -> snapshot.tiers().get(tier).rejectedCount());
    }
  }

  private static double nanIfInfinite(double limit) {
    return Double.isInfinite(limit) ? Double.NaN : limit;
  }

  private void registerLevel(
      SnapshotMeters<OverloadSnapshot> meters,
      String resource,
      ToDoubleFunction<OverloadSnapshot> value) {
    meters.registerGauge("level", null, tags.and("resource", resource), value);
  }

  private void registerUsedRatio(
      SnapshotMeters<OverloadSnapshot> meters,
      String resource,
      ToDoubleFunction<OverloadSnapshot> value) {
    meters.registerGauge("use", null, tags.and("resource", resource), value);
  }
}
