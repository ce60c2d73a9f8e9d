package shalepaddle.policy.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the window of fetches in flight and the guaranteed fetches. */
class OriginFetchLimiterTest {
  private static final double OBJECTIVE_SECONDS = 0.5;

  /** A request that is never answered. */
  private static final class Candidate extends FetchCandidate {
    @Override
    public boolean isAnswered() {
      return false;
    }
  }

  /** Ends a fetch and updates the limiter's loss ratio by its result. */
  private static void endFetch(
      OriginFetchLimiter<Candidate> limiter,
      double now,
      Candidate request,
      boolean isInTime,
      boolean isLost) {
    limiter.setLossRatio(limiter.lossRatio() + 0.1 * ((isLost ? 1 : 0) - limiter.lossRatio()));
    limiter.onFetchEnded(now, request, OBJECTIVE_SECONDS, isInTime, isLost);
  }

  /** Runs 40 fetches, one after another, that all fail; returns the time at the end. */
  private static double failFetches(OriginFetchLimiter<Candidate> limiter) {
    double now = 100;
    for (int i = 0; i < 40; i++) {
      Candidate request = new Candidate();
      limiter.onFetchStarted(i, request, 0, false);
      now += 0.3;
      endFetch(limiter, now, request, false, true);
    }
    return now;
  }

  @Test
  void shrinksWindowWhenFetchesFail() {
    OriginFetchLimiter<Candidate> limiter = new OriginFetchLimiter<>();
    double now = failFetches(limiter);
    assertTrue(limiter.isOriginDegraded());
    assertFalse(limiter.isFull(now));
    Candidate request = new Candidate();
    limiter.onFetchStarted(99, request, 0, false);
    assertTrue(limiter.isFull(now + 0.1));
    endFetch(limiter, now + 0.1, request, true, false);
    assertFalse(limiter.isFull(now + 0.1));
  }

  @Test
  void guaranteesFewerFetchesWhileFetchesFail() {
    double[] startedFetches = new double[2];
    for (int i = 0; i < 2; i++) {
      OriginFetchLimiter<Candidate> limiter = new OriginFetchLimiter<>();
      double now = failFetches(limiter);
      for (int successes = 0; successes < 10 * i; successes++) {
        Candidate request = new Candidate();
        limiter.onFetchStarted(200 + successes, request, 0, true);
        endFetch(limiter, now, request, true, false);
      }
      limiter.setGuaranteedPerSecond(20);
      while (!limiter.isFull(now)) {
        limiter.onFetchStarted(1000 + (long) startedFetches[i], new Candidate(), 0, false);
        startedFetches[i]++;
      }
      startedFetches[i] = 0;
      for (int elapsedMillis = 0; elapsedMillis < 1000; elapsedMillis++) {
        if (!limiter.isFull(now + elapsedMillis / 1000.0)) {
          limiter.onFetchStarted(5000 + elapsedMillis, new Candidate(), 0, false);
          startedFetches[i]++;
        }
      }
    }
    assertTrue(
        startedFetches[0] * 3 < startedFetches[1],
        "fetches started in 1 s: "
            + startedFetches[0]
            + " with a failing origin, "
            + startedFetches[1]
            + " with a recovered origin");
  }

  @Test
  void guaranteesSomeFetchesWhenWindowIsFull() {
    OriginFetchLimiter<Candidate> limiter = new OriginFetchLimiter<>();
    double now = failFetches(limiter);
    limiter.onFetchStarted(99, new Candidate(), 0, false);
    assertTrue(limiter.isFull(now + 0.01));
    limiter.setGuaranteedPerSecond(20);
    for (int i = 0; i < 10; i++) {
      Candidate request = new Candidate();
      limiter.onFetchStarted(200 + i, request, 0, true);
      endFetch(limiter, now, request, true, false);
    }
    assertFalse(limiter.isFull(now + 0.2));
  }
}
