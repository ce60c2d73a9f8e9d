package shalepaddle.node;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * Registers meters that read a published reading. A registry holds what its meters look at by weak
 * references alone; here the functions hold it, so that a meter lives as long as its registry.
 *
 * @param prefix begins each name
 * @param reading the newest reading, from any thread
 * @param <R> the reading
 */
record SnapshotMeters<R>(MeterRegistry registry, String prefix, Supplier<R> reading) {
  /** Something that only grows. */
  void counter(String name, String unit, Tags tags, ToDoubleFunction<R> figure) {
    FunctionCounter.builder(prefix + name, reading, any -> read(figure))
        .baseUnit(unit)
        .tags(tags)
        .register(registry);
  }

  /** Something that comes and goes; without a unit where that is null. */
  void gauge(String name, String unit, Tags tags, ToDoubleFunction<R> figure) {
    Gauge.builder(prefix + name, reading, any -> read(figure))
        .baseUnit(unit)
        .tags(tags)
        .register(registry);
  }

  private double read(ToDoubleFunction<R> figure) {
    return figure.applyAsDouble(reading.get());
  }
}
