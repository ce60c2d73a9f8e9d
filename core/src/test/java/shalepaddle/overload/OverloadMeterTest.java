package shalepaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Levels of an event loop whose alarms come due every 10 ms, in virtual time. */
class OverloadMeterTest {
  private static final long MILLI = 1_000_000L;

  private final List<String> changes = new ArrayList<>();
  private final OverloadMeter meter =
      new OverloadMeter((resource, before, now, figure) -> changes.add(resource + " " + now));
  private long now = 1000 * MILLI;

  /** Alarms for so long, each late by that. */
  private void late(long millis, double lateMillis) {
    for (long until = now + millis * MILLI; now < until; now += 10 * MILLI) {
      meter.onLoopTurnEnd(now - (long) (lateMillis * MILLI), now, false);
    }
  }

  private void uses(long millis, double memory, double descriptors) {
    for (long until = now + millis * MILLI; now < until; now += 25 * MILLI) {
      meter.onResourceUsage(memory, descriptors, now);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {50, 300, 1000, 3000})
  void aPauseIsNoOverload(int pause) {
    late(500, 0.3);
    for (int i = 0; i < 5; i++) {
      now += pause * MILLI;
      meter.onEventLoopStall(pause * MILLI, now);
      meter.onLoopTurnEnd(now - pause * MILLI, now, false);
      // What came meanwhile makes the turns after it long as well.
      late(pause / 3, 12);
      late(400, 0.3);
    }
    assertEquals(List.of(), changes);
  }

  @Test
  void aLoopThatRunsForATenthOfTheTimeAndIsOnTimeThenIsNotOverloaded() {
    for (int i = 0; i < 100; i++) {
      now += 90 * MILLI;
      meter.onEventLoopStall(80 * MILLI, now);
      meter.onLoopTurnEnd(now - 90 * MILLI, now, false);
      late(10, 0.1);
    }
    assertEquals(List.of(), changes);
  }

  @Test
  void whatStandsIsOverloadWithinTwoIntervals() {
    late(500, 0.3);
    late(200, 15);
    assertEquals(List.of("CPU BUSY"), changes);
    late(200, 60);
    assertEquals(List.of("CPU BUSY", "CPU FULL"), changes);
  }

  @Test
  void itIsOverThreeSecondsAfterTheLoadFallsAndNotBefore() {
    late(500, 60);
    assertEquals(PressureLevel.FULL, meter.level(Resource.CPU));
    late(900, 0.3);
    assertEquals(PressureLevel.FULL, meter.level(Resource.CPU));
    late(2100, 0.3);
    assertEquals(PressureLevel.CALM, meter.level(Resource.CPU));
    assertEquals(List.of("CPU FULL", "CPU BUSY", "CPU CALM"), changes);
  }

  @Test
  void aLoadAroundItsBoundChangesTheLevelSeldom() {
    for (int i = 0; i < 60; i++) {
      late(500, 15);
      late(500, 1);
    }
    // A minute: up once, since each calm half second is too short to end it.
    assertEquals(List.of("CPU BUSY"), changes);
  }

  @Test
  void garbageThatIsCollectedIsNoShortage() {
    for (int i = 0; i < 100; i++) {
      uses(1800, 0.95, 0.1);
      uses(25, 0.4, 0.1);
    }
    assertEquals(List.of(), changes);
  }

  @Test
  void memoryAndDescriptorsAreToldApartFromTheProcessor() {
    uses(2500, 0.85, 0.1);
    assertEquals(List.of("MEMORY BUSY"), changes);
    uses(500, 0.5, 0.97);
    assertTrue(changes.contains("DESCRIPTORS FULL"), changes.toString());
    assertEquals(PressureLevel.CALM, meter.level(Resource.CPU));
    uses(6000, 0.5, 0.5);
    assertEquals(PressureLevel.CALM, meter.level(Resource.MEMORY));
    assertEquals(PressureLevel.CALM, meter.level(Resource.DESCRIPTORS));
  }

  @Test
  void aFigureThatIsUnknownChangesNothing() {
    uses(2500, 0.95, 0.1);
    uses(5000, Double.NaN, 0.1);
    assertEquals(PressureLevel.FULL, meter.level(Resource.MEMORY));
  }

  @Test
  void boundsOutOfOrderAreRefused() {
    assertThrows(
        IllegalArgumentException.class, () -> new HysteresisGauge.Bounds(0.5, 0.4, 0.1, 3));
    assertThrows(
        IllegalArgumentException.class, () -> new HysteresisGauge.Bounds(0.5, 0.6, 0.5, 3));
    assertThrows(IllegalArgumentException.class, () -> new MinimumOverInterval(0));
  }
}
