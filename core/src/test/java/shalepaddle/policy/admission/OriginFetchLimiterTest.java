package shalepaddle.policy.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The window of fetches in flight. */
class OriginFetchLimiterTest {
  private static final double OBJECTIVE_SECONDS = 0.5;

  /** A request that is never answered. */
  private static final class Candidate extends FetchCandidate {
    @Override
    public boolean isAnswered() {
      return false;
    }
  }

  /** Ends a fetch; the limiter is given what is lost of all. */
  private static void endFetch(
      OriginFetchLimiter<Candidate> limiter,
      double now,
      Candidate request,
      boolean good,
      boolean bad) {
    limiter.setLossRatio(limiter.lossRatio() + 0.1 * ((bad ? 1 : 0) - limiter.lossRatio()));
    limiter.onFetchEnded(now, request, OBJECTIVE_SECONDS, good, bad);
  }

  /** Lets forty fetches fail one after another; returns the time at the end. */
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
    Candidate only = new Candidate();
    limiter.onFetchStarted(99, only, 0, false);
    assertTrue(limiter.isFull(now + 0.1));
    endFetch(limiter, now + 0.1, only, true, false);
    assertFalse(limiter.isFull(now + 0.1));
  }

  @Test
  void guaranteesFewerFetchesWhileTheyFail() {
    double[] passed = new double[2];
    for (int i = 0; i < 2; i++) {
      OriginFetchLimiter<Candidate> limiter = new OriginFetchLimiter<>();
      double now = failFetches(limiter);
      for (int good = 0; good < 10 * i; good++) {
        Candidate request = new Candidate();
        limiter.onFetchStarted(200 + good, request, 0, true);
        endFetch(limiter, now, request, true, false);
      }
      limiter.setGuaranteedPerSecond(20);
      while (!limiter.isFull(now)) {
        limiter.onFetchStarted(1000 + (long) passed[i], new Candidate(), 0, false);
        passed[i]++;
      }
      passed[i] = 0;
      for (int ms = 0; ms < 1000; ms++) {
        if (!limiter.isFull(now + ms / 1000.0)) {
          limiter.onFetchStarted(5000 + ms, new Candidate(), 0, false);
          passed[i]++;
        }
      }
    }
    assertTrue(
        passed[0] * 3 < passed[1], passed[0] + " of failing, " + passed[1] + " of recovered");
  }

  @Test
  void guaranteesSomeFetches() {
    OriginFetchLimiter<Candidate> limiter = new OriginFetchLimiter<>();
    double now = failFetches(limiter);
    limiter.onFetchStarted(99, new Candidate(), 0, false);
    assertTrue(limiter.isFull(now + 0.01));
    limiter.setGuaranteedPerSecond(20);
    for (int i = 0; i < 10; i++) {
      Candidate good = new Candidate();
      limiter.onFetchStarted(200 + i, good, 0, true);
      endFetch(limiter, now, good, true, false);
    }
    assertFalse(limiter.isFull(now + 0.2));
  }
}
