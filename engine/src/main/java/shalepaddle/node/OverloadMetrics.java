package shalepaddle.node;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import shalepaddle.overload.OverloadReading;

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
 * LoadBalancer#overload}.
 */
public final class OverloadMetrics implements MeterBinder {
  private static final String PREFIX = "shalepaddle.overload.";

  private final Supplier<OverloadReading> reading;
  private final Tags tags;

  /**
   * Meters of one load balancer.
   *
   * @param reading the newest reading, from any thread
   * @param tags tell this load balancer's meters from another's in the same registry
   */
  public OverloadMetrics(Supplier<OverloadReading> reading, Tags tags) {
    this.reading = reading;
    this.tags = tags;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    level(registry, "processor", r -> r.processorLevel().ordinal());
    level(registry, "memory", r -> r.memoryLevel().ordinal());
    level(registry, "descriptors", r -> r.descriptorLevel().ordinal());
    use(registry, "processor", OverloadReading::processor);
    use(registry, "memory", OverloadReading::memory);
    use(registry, "descriptors", OverloadReading::descriptors);
    Gauge.builder(PREFIX + "delay", reading, r -> r.get().stood())
        .baseUnit("seconds")
        .tags(tags)
        .register(registry);
    Gauge.builder(PREFIX + "limit", reading, r -> finite(r.get().limit()))
        .baseUnit("requests/second")
        .tags(tags)
        .register(registry);
    counter(registry, "repeats.refused", tags, OverloadReading::repeatsRefused);
    for (int i = 0; i < reading.get().tiers().size(); i++) {
      int tier = i;
      Tags tagged = tags.and("tier", Integer.toString(tier));
      Gauge.builder(PREFIX + "passing", reading, r -> r.get().tiers().get(tier).passing())
          .tags(tagged)
          .register(registry);
      counter(registry, "offered", tagged, r -> r.tiers().get(tier).offered());
      counter(registry, "refused", tagged, r -> r.tiers().get(tier).refused());
    }
  }

  private static double finite(double limit) {
    return Double.isInfinite(limit) ? Double.NaN : limit;
  }

  private void level(
      MeterRegistry registry, String resource, ToDoubleFunction<OverloadReading> figure) {
    Gauge.builder(PREFIX + "level", reading, r -> figure.applyAsDouble(r.get()))
        .tags(tags.and("resource", resource))
        .register(registry);
  }

  private void use(
      MeterRegistry registry, String resource, ToDoubleFunction<OverloadReading> figure) {
    Gauge.builder(PREFIX + "use", reading, r -> figure.applyAsDouble(r.get()))
        .tags(tags.and("resource", resource))
        .register(registry);
  }

  private void counter(
      MeterRegistry registry, String name, Tags tagged, ToDoubleFunction<OverloadReading> figure) {
    FunctionCounter.builder(PREFIX + name, reading, r -> figure.applyAsDouble(r.get()))
        .baseUnit("requests")
        .tags(tagged)
        .register(registry);
  }
}
