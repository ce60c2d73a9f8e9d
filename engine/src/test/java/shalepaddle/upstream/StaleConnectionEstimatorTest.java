package shalepaddle.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What is learned from connections that break after a pause. */
class StaleConnectionEstimatorTest {
  private static final long MILLIS = 1_000_000L;

  private final StaleConnectionEstimator risk = new StaleConnectionEstimator();

  @Test
  void leavesOutPausesAfterWhichManyBreakAndTriesThemAgain() {
    for (int i = 0; i < 100; i++) {
      risk.seen(100 * MILLIS, i % 2 == 0, i * MILLIS);
      risk.seen(30 * MILLIS, i % 10 == 0, i * MILLIS);
    }
    long now = 100 * MILLIS;
    assertTrue(risk.tooLong(100 * MILLIS, now));
    assertTrue(risk.tooLong(60_000 * MILLIS, now), "nor longer ones");
    assertFalse(risk.tooLong(50 * MILLIS, now));
    assertFalse(risk.tooLong(0, now));
    assertFalse(risk.tooLong(100 * MILLIS, now + 11_000 * MILLIS), "what was seen long ago");
    risk.seen(100 * MILLIS, true, now + 11_000 * MILLIS);
    assertTrue(risk.tooLong(100 * MILLIS, now + 11_000 * MILLIS), "and is still so");
  }

  @Test
  void judgesNoShortPause() {
    for (int i = 0; i < 100; i++) {
      risk.seen(15 * MILLIS, true, i);
    }
    assertFalse(risk.tooLong(15 * MILLIS, 100));
    assertFalse(risk.tooLong(Long.MAX_VALUE, 100));
    assertFalse(risk.tooLong(-1, 100));
  }
}
