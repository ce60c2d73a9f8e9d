package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessorUseTest {
  @Test
  void isRatioOfCoresAndReadRarely() {
    ProcessorUse half = new ProcessorUse(0.5);
    ProcessorUse eight = new ProcessorUse(8);
    long now = System.nanoTime();
    assertTrue(Double.isNaN(half.usedRatio(now)), "not known at first");
    assertTrue(Double.isNaN(eight.usedRatio(now)));
    double sum = 0;
    while (System.nanoTime() - now < TimeUnit.MILLISECONDS.toNanos(120)) {
      sum += Math.sqrt(sum + 1);
    }
    assertTrue(Double.isNaN(half.usedRatio(now + 1)), "no sooner than in half a second");
    // As if a second had passed: the work done is the same for both, and more than nothing.
    long later = now + TimeUnit.SECONDS.toNanos(1);
    double share = half.usedRatio(later);
    assertTrue(share > 0.05, "share of half a core: " + share + ", " + sum);
    assertTrue(eight.usedRatio(later) < share, "share of eight cores");
    assertEquals(share, half.usedRatio(later + 1), "as it was read last");
  }

  /** The value lies between the platform's own, read before and after. */
  @Test
  void agreesWithPlatform() {
    long before = platform();
    long used = new ProcessorUse(1).usedNanos();
    long after = platform();
    assertTrue(before <= used && used <= after, before + " " + used + " " + after);
  }

  private static long platform() {
    return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos();
  }
}
