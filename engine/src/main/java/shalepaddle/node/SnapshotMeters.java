package shalepaddle.node;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * Registers meters whose values come from a published snapshot. A registry holds only weak
 * references to the objects that its meters observe. Here the value functions hold strong
 * references, so that a meter lives as long as its registry.
 *
 * @param registry where the meters are registered
 * @param prefix the start of each meter's name
 * @param latestSnapshot returns the newest snapshot; called from any thread
 * @param <S> the type of the snapshot
 */
record SnapshotMeters<S>(MeterRegistry registry, String prefix, Supplier<S> latestSnapshot) {
  /** Registers a value that never decreases. */
  void registerCounter(String name, String unit, Tags tags, ToDoubleFunction<S> value) {
    FunctionCounter.builder(prefix + name, latestSnapshot, ignored -> readLatest(value))
        .baseUnit(unit)
        .tags(tags)
        .register(registry);
  }

  /** Registers a value that may decrease; {@code unit} is null for a value without unit. */
  void registerGauge(String name, String unit, Tags tags, ToDoubleFunction<S> value) {
    Gauge.builder(prefix + name, latestSnapshot, ignored -> readLatest(value))
        .baseUnit(unit)
        .tags(tags)
        .register(registry);
  }

  private double readLatest(ToDoubleFunction<S> value) {
    return value.applyAsDouble(latestSnapshot.get());
  }
}
