package shalepaddle.node;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * Registers meters whose values come from a published snapshot. A registry references what its
 * meters observe weakly; here the functions reference it, so that a meter lives as long as its
 * registry.
 *
 * @param prefix begins each meter's name
 * @param latest the newest snapshot, from any thread
 * @param <S> the snapshot
 */
record SnapshotMeters<S>(MeterRegistry registry, String prefix, Supplier<S> latest) {
  /** A value that only grows. */
  void counter(String name, String unit, Tags tags, ToDoubleFunction<S> value) {
    FunctionCounter.builder(prefix + name, latest, ignored -> read(value))
        .baseUnit(unit)
        .tags(tags)
        .register(registry);
  }

  /** A value that may fall; without a unit where that is null. */
  void gauge(String name, String unit, Tags tags, ToDoubleFunction<S> value) {
    Gauge.builder(prefix + name, latest, ignored -> read(value))
        .baseUnit(unit)
        .tags(tags)
        .register(registry);
  }

  private double read(ToDoubleFunction<S> value) {
    return value.applyAsDouble(latest.get());
  }
}
