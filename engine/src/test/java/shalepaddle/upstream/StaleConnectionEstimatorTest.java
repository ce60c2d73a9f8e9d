package shalepaddle.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Estimates whether connections break after an idle period. */
class StaleConnectionEstimatorTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final StaleConnectionEstimator estimator = new StaleConnectionEstimator();

  @Test
  void reportsStaleAfterManyBreaksUntilObservationsExpire() {
    for (int i = 0; i < 100; i++) {
      estimator.record(100 * NANOS_PER_MILLI, i % 2 == 0, i * NANOS_PER_MILLI);
      estimator.record(30 * NANOS_PER_MILLI, i % 10 == 0, i * NANOS_PER_MILLI);
    }
    long now = 100 * NANOS_PER_MILLI;
    assertTrue(estimator.isLikelyStale(100 * NANOS_PER_MILLI, now));
    assertTrue(
        estimator.isLikelyStale(60_000 * NANOS_PER_MILLI, now),
        "connections with longer idle periods are stale too");
    assertFalse(estimator.isLikelyStale(50 * NANOS_PER_MILLI, now));
    assertFalse(estimator.isLikelyStale(0, now));
    assertFalse(
        estimator.isLikelyStale(100 * NANOS_PER_MILLI, now + 11_000 * NANOS_PER_MILLI),
        "connections are not stale once the observations have expired");
    estimator.record(100 * NANOS_PER_MILLI, true, now + 11_000 * NANOS_PER_MILLI);
    assertTrue(
        estimator.isLikelyStale(100 * NANOS_PER_MILLI, now + 11_000 * NANOS_PER_MILLI),
        "one break after the observations have expired makes the connection stale again");
  }

  @Test
  void isLikelyStaleIgnoresShortIdlePeriods() {
    for (int i = 0; i < 100; i++) {
      estimator.record(15 * NANOS_PER_MILLI, true, i);
    }
    assertFalse(estimator.isLikelyStale(15 * NANOS_PER_MILLI, 100));
    assertFalse(estimator.isLikelyStale(Long.MAX_VALUE, 100));
    assertFalse(estimator.isLikelyStale(-1, 100));
  }
}
