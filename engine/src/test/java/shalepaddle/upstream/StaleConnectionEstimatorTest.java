package shalepaddle.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Estimates from connections that break after an idle period. */
class StaleConnectionEstimatorTest {
  private static final long MILLIS = 1_000_000L;

  private final StaleConnectionEstimator estimator = new StaleConnectionEstimator();

  @Test
  void rejectsIdlePeriodsAfterWhichManyBreakUntilObservationsExpire() {
    for (int i = 0; i < 100; i++) {
      estimator.record(100 * MILLIS, i % 2 == 0, i * MILLIS);
      estimator.record(30 * MILLIS, i % 10 == 0, i * MILLIS);
    }
    long now = 100 * MILLIS;
    assertTrue(estimator.isLikelyStale(100 * MILLIS, now));
    assertTrue(estimator.isLikelyStale(60_000 * MILLIS, now), "longer idle periods too");
    assertFalse(estimator.isLikelyStale(50 * MILLIS, now));
    assertFalse(estimator.isLikelyStale(0, now));
    assertFalse(
        estimator.isLikelyStale(100 * MILLIS, now + 11_000 * MILLIS),
        "the observations have expired");
    estimator.record(100 * MILLIS, true, now + 11_000 * MILLIS);
    assertTrue(estimator.isLikelyStale(100 * MILLIS, now + 11_000 * MILLIS), "one more breaks");
  }

  @Test
  void ignoresShortIdlePeriods() {
    for (int i = 0; i < 100; i++) {
      estimator.record(15 * MILLIS, true, i);
    }
    assertFalse(estimator.isLikelyStale(15 * MILLIS, 100));
    assertFalse(estimator.isLikelyStale(Long.MAX_VALUE, 100));
    assertFalse(estimator.isLikelyStale(-1, 100));
  }
}
