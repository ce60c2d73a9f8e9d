package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.ref.WeakReference;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import shalepaddle.coalescing.CoalescingSnapshot;

class MetersTest {
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();

  @Test
  void showsNewestSnapshot() {
    AtomicReference<CoalescingSnapshot> reading = new AtomicReference<>();
    new CoalescingMetrics(reading::get, Tags.of("node", "n0")).bindTo(registry);
    assertEquals(0, registry.get("shalepaddle.joining.waiting").gauge().value(), "not joined");
    reading.set(new CoalescingSnapshot(3, 40, 1, 38, 2, 1, 5, 2, 20));
    assertEquals(20, registry.get("shalepaddle.joining.waiting").gauge().value());
    assertEquals(38, registry.get("shalepaddle.joining.shared").functionCounter().count());
    assertEquals(
        40,
        registry.get("shalepaddle.joining.reads").tag("as", "joined").functionCounter().count());
  }

  @Test
  void metersLiveAsLongAsTheirRegistry() throws Exception {
    bind();
    WeakReference<Object> collected = new WeakReference<>(new Object());
    for (int i = 0; i < 1000 && collected.get() != null; i++) {
      System.gc();
      Thread.sleep(1);
    }
    assertEquals(7, registry.get("shalepaddle.joining.open").gauge().value());
    assertEquals(1, registry.get("shalepaddle.joining.left").functionCounter().count());
  }

  /** References neither the binder nor its source after it returns. */
  private void bind() {
    AtomicReference<CoalescingSnapshot> reading =
        new AtomicReference<>(new CoalescingSnapshot(0, 0, 0, 0, 0, 0, 1, 7, 0));
    new CoalescingMetrics(reading::get, Tags.empty()).bindTo(registry);
  }
}
