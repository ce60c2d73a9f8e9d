package shalepaddle.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import shalepaddle.overload.OverloadSnapshot;

/**
 * Meters of a load balancer's own overload, for the registry of a program that embeds it. The
 * deployed daemon has no registry, and its jar no Micrometer: it logs its levels.
 *
 * <table>
 * <caption>What is bound</caption>
 * <tr><th>name</th><th>meaning</th></tr>
 * <tr><td>{@code shalepaddle.overload.level}</td><td>0 calm, 1 busy, 2 full; tag {@code resource}</td></tr>
 * <tr><td>{@code shalepaddle.overload.delay}</td><td>queueing delay in the event loop, in seconds</td></tr>
 * <tr><td>{@code shalepaddle.overload.use}</td><td>part of the limit in use; tag {@code resource}</td></tr>
 * <tr><td>{@code shalepaddle.overload.limit}</td><td>requests a second admitted, NaN for no limit</td></tr>
 * <tr><td>{@code shalepaddle.overload.passing}</td><td>part admitted; tag {@code tier}, 0 has the highest priority</td></tr>
 * <tr><td>{@code shalepaddle.overload.offered}, {@code .refused}</td><td>requests; tag {@code tier}</td></tr>
 * <tr><td>{@code shalepaddle.overload.repeats.refused}</td><td>retries rejected for lack of first attempts</td></tr>
 * </table>
 *
 * <p>Snapshots are read on the registry's thread: they must be published ones, see {@link
 * LoadBalancer#overloadSnapshot}.
 */
public final class OverloadMetrics implements MeterBinder {
  private static final String PREFIX = "shalepaddle.overload.";

  private final Supplier<OverloadSnapshot> latest;
  private final Tags tags;

  /**
   * Meters of one load balancer.
   *
   * @param latest the newest snapshot, from any thread
   * @param tags distinguish this load balancer's meters from another's in the same registry
   */
  public OverloadMetrics(Supplier<OverloadSnapshot> latest, Tags tags) {
    this.latest = latest;
    this.tags = tags;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    SnapshotMeters<OverloadSnapshot> meters = new SnapshotMeters<>(registry, PREFIX, latest);
    level(meters, "processor", snapshot -> snapshot.processorLevel().severity());
    level(meters, "memory", snapshot -> snapshot.memoryLevel().severity());
    level(meters, "descriptors", snapshot -> snapshot.descriptorLevel().severity());
    use(meters, "processor", OverloadSnapshot::processorRatio);
    use(meters, "memory", OverloadSnapshot::memoryRatio);
    use(meters, "descriptors", OverloadSnapshot::descriptorRatio);
    meters.gauge("delay", "seconds", tags, OverloadSnapshot::delaySeconds);
    meters.gauge("limit", "requests/second", tags, snapshot -> finite(snapshot.limitPerSecond()));
    meters.counter("repeats.refused", "requests", tags, OverloadSnapshot::rejectedRetryCount);
    for (int i = 0; i < latest.get().tiers().size(); i++) {
      int tier = i;
      Tags tagged = tags.and("tier", Integer.toString(tier));
      meters.gauge("passing", null, tagged, snapshot -> snapshot.tiers().get(tier).admittedRatio());
      meters.counter(
          "offered", "requests", tagged, snapshot -> snapshot.tiers().get(tier).offeredCount());
      meters.counter(
          "refused", "requests", tagged, snapshot -> snapshot.tiers().get(tier).rejectedCount());
    }
  }

  private static double finite(double limit) {
    return Double.isInfinite(limit) ? Double.NaN : limit;
  }

  private void level(
      SnapshotMeters<OverloadSnapshot> meters,
      String resource,
      ToDoubleFunction<OverloadSnapshot> value) {
    meters.gauge("level", null, tags.and("resource", resource), value);
  }

  private void use(
      SnapshotMeters<OverloadSnapshot> meters,
      String resource,
      ToDoubleFunction<OverloadSnapshot> value) {
    meters.gauge("use", null, tags.and("resource", resource), value);
  }
}
