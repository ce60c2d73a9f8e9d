package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ProcessorUseTest {
  @Test
  void usedRatioIsRelativeToCoresAndReadEveryHalfSecond() {
    ProcessorUse halfCore = new ProcessorUse(0.5);
    ProcessorUse eightCores = new ProcessorUse(8);
    long nowNanos = System.nanoTime();
    assertTrue(
        Double.isNaN(halfCore.usedRatio(nowNanos)), "the used ratio is known at the first call");
    assertTrue(Double.isNaN(eightCores.usedRatio(nowNanos)));
    double sum = 0;
    while (System.nanoTime() - nowNanos < TimeUnit.MILLISECONDS.toNanos(120)) {
      sum += Math.sqrt(sum + 1);
    }
    assertTrue(
        Double.isNaN(halfCore.usedRatio(nowNanos + 1)),
        "the used ratio is known before half a second has passed");
    // A second after the first call, both ProcessorUse objects read the processor time of the
    // process again. It is above 0 and nearly the same for both, so that the ratio of eight cores
    // is the lower one.
    long laterNanos = nowNanos + TimeUnit.SECONDS.toNanos(1);
    double halfCoreRatio = halfCore.usedRatio(laterNanos);
    assertTrue(halfCoreRatio > 0.05, "used ratio of half a core: " + halfCoreRatio + ", " + sum);
    assertTrue(
        eightCores.usedRatio(laterNanos) < halfCoreRatio,
        "the used ratio of eight cores is not below that of half a core");
    assertEquals(
        halfCoreRatio,
        halfCore.usedRatio(laterNanos + 1),
        "the processor time is read again within half a second");
  }

  /** The processor time lies between two readings of the Java platform, before and after it. */
  @Test
  void usedNanosAgreesWithPlatform() {
    long platformNanosBefore = platformProcessorNanos();
    long usedNanos = new ProcessorUse(1).usedNanos();
    long platformNanosAfter = platformProcessorNanos();
    assertTrue(
        platformNanosBefore <= usedNanos && usedNanos <= platformNanosAfter,
        platformNanosBefore + " " + usedNanos + " " + platformNanosAfter);
  }

  private static long platformProcessorNanos() {
    return ProcessHandle.current().info().totalCpuDuration().orElseThrow().toNanos();
  }
}
