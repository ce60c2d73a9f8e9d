package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.ref.WeakReference;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import shalepaddle.coalescing.CoalescingSnapshot;

class CoalescingMetricsTest {
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  @Test
  void showsNewestSnapshot() {
    AtomicReference<CoalescingSnapshot> snapshot = new AtomicReference<>();
    new CoalescingMetrics(snapshot::get, Tags.of("node", "n0")).bindTo(registry);
    assertEquals(
        0,
        registry.get("shalepaddle.joining.waiting").gauge().value(),
        "the gauge is not 0 without a snapshot");
    snapshot.set(new CoalescingSnapshot(3, 40, 1, 38, 2, 1, 5, 2, 20));
    assertEquals(20, registry.get("shalepaddle.joining.waiting").gauge().value());
    assertEquals(38, registry.get("shalepaddle.joining.shared").functionCounter().count());
    assertEquals(
        40,
        registry.get("shalepaddle.joining.reads").tag("as", "joined").functionCounter().count());
  }

  @Test
  void keepsMetersWhenBinderAndSourceAreUnreferenced() throws Exception {
    bind();
    WeakReference<Object> garbageProbe = new WeakReference<>(new Object());
    for (int i = 0; i < 1000 && garbageProbe.get() != null; i++) {
      System.gc();
      Thread.sleep(1);
    }
    assertEquals(7, registry.get("shalepaddle.joining.open").gauge().value());
    assertEquals(1, registry.get("shalepaddle.joining.left").functionCounter().count());
  }

  /** Binds metrics; neither the binder nor its source is referenced after it returns. */
  private void bind() {
    AtomicReference<CoalescingSnapshot> snapshot =
        new AtomicReference<>(new CoalescingSnapshot(0, 0, 0, 0, 0, 0, 1, 7, 0));
    new CoalescingMetrics(snapshot::get, Tags.empty()).bindTo(registry);
  }
}
