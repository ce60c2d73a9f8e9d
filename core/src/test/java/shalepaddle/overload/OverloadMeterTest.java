package shalepaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the pressure levels for simulated turns of an event loop, in virtual time. */
class OverloadMeterTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final List<String> levelChanges = new ArrayList<>();
  private final OverloadMeter meter =
      new OverloadMeter(
          (resource, previousLevel, newLevel, reading) ->
              levelChanges.add(resource + " " + newLevel));
  private long now = 1000 * NANOS_PER_MILLI;

  /** Ends a turn of the given length every 10 ms, for a duration. */
  private void runTurns(long durationMillis, double turnMillis) {
    for (long untilNanos = now + durationMillis * NANOS_PER_MILLI;
        now < untilNanos;
        now += 10 * NANOS_PER_MILLI) {
      meter.onLoopTurnEnd(now - (long) (turnMillis * NANOS_PER_MILLI), now, false);
    }
  }

  /** Reports the use of memory and descriptors every 25 ms, for a duration. */
  private void useResources(long durationMillis, double memoryRatio, double descriptorRatio) {
    for (long untilNanos = now + durationMillis * NANOS_PER_MILLI;
        now < untilNanos;
        now += 25 * NANOS_PER_MILLI) {
      meter.onResourceUsage(memoryRatio, descriptorRatio, now);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {50, 300, 1000, 3000})
  void keepsLevelCalmAfterProcessStall(int stallMillis) {
    runTurns(500, 0.3);
    for (int i = 0; i < 5; i++) {
      now += stallMillis * NANOS_PER_MILLI;
      meter.onEventLoopStall(stallMillis * NANOS_PER_MILLI, now);
      meter.onLoopTurnEnd(now - stallMillis * NANOS_PER_MILLI, now, false);
      // The requests that arrived during the stall make the next turns long too.
      runTurns(stallMillis / 3, 12);
      runTurns(400, 0.3);
    }
    assertEquals(List.of(), levelChanges);
  }

  @Test
  void ignoresRepeatedStallsWhenTurnsBetweenAreShort() {
    for (int i = 0; i < 100; i++) {
      now += 90 * NANOS_PER_MILLI;
      meter.onEventLoopStall(80 * NANOS_PER_MILLI, now);
      meter.onLoopTurnEnd(now - 90 * NANOS_PER_MILLI, now, false);
      runTurns(10, 0.1);
    }
    assertEquals(List.of(), levelChanges);
  }

  @Test
  void reportsStandingDelayWithinTwoIntervals() {
    runTurns(500, 0.3);
    runTurns(200, 15);
    assertEquals(List.of("CPU BUSY"), levelChanges);
    runTurns(200, 60);
    assertEquals(List.of("CPU BUSY", "CPU FULL"), levelChanges);
  }

  @Test
  void returnsToCalmThreeSecondsAfterLoadFalls() {
    runTurns(500, 60);
    assertEquals(PressureLevel.FULL, meter.level(Resource.CPU));
    runTurns(900, 0.3);
    assertEquals(PressureLevel.FULL, meter.level(Resource.CPU));
    runTurns(2100, 0.3);
    assertEquals(PressureLevel.CALM, meter.level(Resource.CPU));
    assertEquals(List.of("CPU FULL", "CPU BUSY", "CPU CALM"), levelChanges);
  }

  @Test
  void changesLevelOnceWhenDelayAlternatesAroundBound() {
    for (int i = 0; i < 60; i++) {
      runTurns(500, 15);
      runTurns(500, 1);
    }
    // The level rises only once in a minute, since half a second of low delay is too short to lower
    // it.
    assertEquals(List.of("CPU BUSY"), levelChanges);
  }

  @Test
  void keepsMemoryLevelCalmWhenGarbageIsCollected() {
    for (int i = 0; i < 100; i++) {
      useResources(1800, 0.95, 0.1);
      useResources(25, 0.4, 0.1);
    }
    assertEquals(List.of(), levelChanges);
  }

  @Test
  void reportsMemoryAndDescriptorsSeparatelyFromCpu() {
    useResources(2500, 0.85, 0.1);
    assertEquals(List.of("MEMORY BUSY"), levelChanges);
    useResources(500, 0.5, 0.97);
    assertTrue(levelChanges.contains("DESCRIPTORS FULL"), levelChanges.toString());
    assertEquals(PressureLevel.CALM, meter.level(Resource.CPU));
    useResources(6000, 0.5, 0.5);
    assertEquals(PressureLevel.CALM, meter.level(Resource.MEMORY));
    assertEquals(PressureLevel.CALM, meter.level(Resource.DESCRIPTORS));
  }

  @Test
  void keepsLevelWhenReadingIsUnknown() {
    useResources(2500, 0.95, 0.1);
    useResources(5000, Double.NaN, 0.1);
    assertEquals(PressureLevel.FULL, meter.level(Resource.MEMORY));
  }

  @Test
  void rejectsInvalidBoundsAndInterval() {
    assertThrows(
        IllegalArgumentException.class, () -> new HysteresisGauge.Bounds(0.5, 0.4, 0.1, 3));
    assertThrows(
        IllegalArgumentException.class, () -> new HysteresisGauge.Bounds(0.5, 0.6, 0.5, 3));
    assertThrows(IllegalArgumentException.class, () -> new MinimumOverInterval(0));
  }
}
