package shalepaddle.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import shalepaddle.overload.OverloadSnapshot;

/**
 * Meters of a load balancer's own overload, for a registry of whoever runs it. The deployed daemon
 * has none, and its jar does not hold Micrometer: its levels are told in its log.
 *
 * <table>
 * <caption>What is bound</caption>
 * <tr><th>name</th><th>meaning</th></tr>
 * <tr><td>{@code shalepaddle.overload.level}</td><td>0 calm, 1 busy, 2 full; tag {@code resource}</td></tr>
 * <tr><td>{@code shalepaddle.overload.delay}</td><td>seconds that stand in the event loop</td></tr>
 * <tr><td>{@code shalepaddle.overload.use}</td><td>part of the limit in use; tag {@code resource}</td></tr>
 * <tr><td>{@code shalepaddle.overload.limit}</td><td>requests a second admitted, NaN for no limit</td></tr>
 * <tr><td>{@code shalepaddle.overload.passing}</td><td>part admitted; tag {@code tier}, 0 worth most</td></tr>
 * <tr><td>{@code shalepaddle.overload.offered}, {@code .refused}</td><td>requests; tag {@code tier}</td></tr>
 * <tr><td>{@code shalepaddle.overload.repeats.refused}</td><td>repeats refused for want of first tries</td></tr>
 * </table>
 *
 * <p>The reading is taken on the registry's thread: it must be a published one, see {@link
 * LoadBalancer#overloadSnapshot}.
 */
public final class OverloadMetrics implements MeterBinder {
  private static final String PREFIX = "shalepaddle.overload.";

  private final Supplier<OverloadSnapshot> reading;
  private final Tags tags;

  /**
   * Meters of one load balancer.
   *
   * @param reading the newest reading, from any thread
   * @param tags tell this load balancer's meters from another's in the same registry
   */
  public OverloadMetrics(Supplier<OverloadSnapshot> reading, Tags tags) {
    this.reading = reading;
    this.tags = tags;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    SnapshotMeters<OverloadSnapshot> meters = new SnapshotMeters<>(registry, PREFIX, reading);
    level(meters, "processor", r -> r.processorLevel().severity());
    level(meters, "memory", r -> r.memoryLevel().severity());
    level(meters, "descriptors", r -> r.descriptorLevel().severity());
    use(meters, "processor", OverloadSnapshot::processorRatio);
    use(meters, "memory", OverloadSnapshot::memoryRatio);
    use(meters, "descriptors", OverloadSnapshot::descriptorRatio);
    meters.gauge("delay", "seconds", tags, OverloadSnapshot::delaySeconds);
    meters.gauge("limit", "requests/second", tags, r -> finite(r.limitPerSecond()));
    meters.counter("repeats.refused", "requests", tags, OverloadSnapshot::rejectedRetryCount);
    for (int i = 0; i < reading.get().tiers().size(); i++) {
      int tier = i;
      Tags tagged = tags.and("tier", Integer.toString(tier));
      meters.gauge("passing", null, tagged, r -> r.tiers().get(tier).admittedRatio());
      meters.counter("offered", "requests", tagged, r -> r.tiers().get(tier).offeredCount());
      meters.counter("refused", "requests", tagged, r -> r.tiers().get(tier).rejectedCount());
    }
  }

  private static double finite(double limit) {
    return Double.isInfinite(limit) ? Double.NaN : limit;
  }

  private void level(
      SnapshotMeters<OverloadSnapshot> meters,
      String resource,
      ToDoubleFunction<OverloadSnapshot> figure) {
    meters.gauge("level", null, tags.and("resource", resource), figure);
  }

  private void use(
      SnapshotMeters<OverloadSnapshot> meters,
      String resource,
      ToDoubleFunction<OverloadSnapshot> figure) {
    meters.gauge("use", null, tags.and("resource", resource), figure);
  }
}
