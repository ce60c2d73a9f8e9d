package shalepaddle.policy.health;

import shalepaddle.model.Outcome;

/**
 * Ejects one server after consecutive failures and lets single trial requests through until one
 * succeeds (outlier detection as in Envoy and gRPC, with a half-open circuit breaker).
 *
 * <p>Consecutive refused connections eject a server in any case. Other failures eject it only while
 * few servers fail; if many fail, the cause is likely not in the servers. Times are in seconds. Not
 * thread-safe: owned by one router.
 */
final class OutlierDetector {
  /** What the end of an attempt shows about the server's process. */
  enum Finding {
    /** The attempt shows neither a restart nor a refused connection. */
    NONE,
    /** The server refused connections and responds again: likely restarted, with an empty cache. */
    RESTARTED,
    /** The server refused a connection but may be running: it may be at its connection limit. */
    REFUSED_CONNECTION
  }

  /** Consecutive refused connections that eject; a single one may be due to a connection limit. */
  private static final int MAX_REFUSED_CONNECTIONS = 2;

  /** Consecutive failures that eject while most servers respond. */
  static final int MAX_CONSECUTIVE_FAILURES = 3;

  /**
   * What a reset or a busy response adds to the count of consecutive failures. Network faults and
   * idle timeouts also reset connections to running servers, and a server without capacity for a
   * fetch may serve all other requests. Cost: with few requests, an ejection takes longer.
   */
  private static final double PARTIAL_FAILURE_WEIGHT_RATIO = 0.5;

  private static final double INITIAL_BACKOFF_SECONDS = 0.5;

  private static final double MAX_BACKOFF_SECONDS = 4;

  private static final double BACKOFF_MULTIPLIER = 1.5;

  /** Maximum age of the last attempt for the server to count as failing recently. */
  private static final double RECENT_SECONDS = 1;

  private boolean isFailing;
  private double consecutiveFailures;
  private int refusedConnections;
  private double firstRefusedAtSeconds;
  private double connectionFailedAtSeconds = Double.NEGATIVE_INFINITY;
  private double lastAttemptEndedAtSeconds;
  private double connectionUsedAtSeconds = Double.NEGATIVE_INFINITY;
  private double backoffSeconds;
  private double trialAtSeconds;
  private boolean isTrialInFlight;

  /** Whether the server gets trial requests only. */
  boolean isEjected() {
    return isFailing || refusedConnections >= MAX_REFUSED_CONNECTIONS;
  }

  /** Whether an ejected server may get a trial request now: one at a time, after a backoff. */
  boolean isTrialDue(double nowSeconds) {
    return !isTrialInFlight && nowSeconds >= trialAtSeconds;
  }

  /** The number of consecutive failures; some count only in part. */
  double consecutiveFailures() {
    return consecutiveFailures;
  }

  /** Whether the server has more than one consecutive failure, the last of them within a second. */
  boolean isFailingRecently(double nowSeconds) {
    return consecutiveFailures > 1 && nowSeconds - lastAttemptEndedAtSeconds < RECENT_SECONDS;
  }

  /** Clears the ejection after a restart of the server. */
  void reset() {
    refusedConnections = 0;
    isFailing = false;
    isTrialInFlight = false;
  }

  /** Records that a request is sent to the server. */
  void onSent() {
    if (isEjected()) {
      isTrialInFlight = true;
    }
  }

  /** Records that the idle connections to the server are closed. */
  void onConnectionsClosed() {
    connectionUsedAtSeconds = Double.NEGATIVE_INFINITY;
  }

  /**
   * Records the end of an attempt.
   *
   * @param idleTimeoutSeconds time after which an idle connection is closed
   * @param areMostServersHealthy whether at most a third of the servers fail repeatedly
   */
  Finding onAttemptEnded(
      double nowSeconds,
      Outcome outcome,
      double idleTimeoutSeconds,
      boolean areMostServersHealthy) {
    Outcome.Result result = outcome.result();
    boolean wasServed = result == Outcome.Result.OK || result == Outcome.Result.CACHE_MISS;
    double sentAtSeconds = nowSeconds - outcome.elapsedSeconds();
    // Attempts sent before the last observed connection failure may fail for the same cause.
    boolean isNewEvidence = sentAtSeconds > connectionFailedAtSeconds;
    boolean hasFailed = isFailure(outcome);
    boolean wasReset = result == Outcome.Result.RESET && isNewEvidence;
    countFailure(outcome, wasServed, hasFailed, wasReset);
    lastAttemptEndedAtSeconds = nowSeconds;
    isTrialInFlight = false;
    final boolean wasEjected = isEjected();
    // Whether an earlier connection was not yet closed as idle when a new one was first refused.
    // The refusal is then not due to a connection limit.
    double firstNeededAtSeconds = refusedConnections > 0 ? firstRefusedAtSeconds : nowSeconds;
    boolean wasConnected = firstNeededAtSeconds - connectionUsedAtSeconds < idleTimeoutSeconds;
    Finding finding = Finding.NONE;
    if (result == Outcome.Result.CONNECT_FAILED) {
      finding = wasConnected ? Finding.NONE : Finding.REFUSED_CONNECTION;
      if (isNewEvidence && outcome.isMostlyActive()) {
        firstRefusedAtSeconds = refusedConnections == 0 ? nowSeconds : firstRefusedAtSeconds;
        refusedConnections++;
      }
    } else if (result.isServerResponse()) {
      finding = onResponse(nowSeconds, sentAtSeconds, wasConnected);
    }
    if (isNewEvidence && result.isConnectionFailure()) {
      connectionFailedAtSeconds = nowSeconds;
    }
    // This also ejects servers that hang, since their lost fetches would be attributed to the
    // origin, and servers that reject at once, since they would attract more requests by having few
    // in flight.
    if ((hasFailed || wasReset)
        && areMostServersHealthy
        && consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
      isFailing = true;
    }
    if (isEjected() && !wasServed && (!wasEjected || sentAtSeconds >= trialAtSeconds)) {
      scheduleTrial(nowSeconds, wasEjected && result != Outcome.Result.RESET);
    }
    return finding;
  }

  private Finding onResponse(double nowSeconds, double sentAtSeconds, boolean wasConnected) {
    boolean hasRestarted =
        refusedConnections >= MAX_REFUSED_CONNECTIONS
            && wasConnected
            && sentAtSeconds > firstRefusedAtSeconds;
    connectionUsedAtSeconds = nowSeconds;
    refusedConnections = 0;
    isFailing = false;
    return hasRestarted ? Finding.RESTARTED : Finding.NONE;
  }

  /** Whether the server failed the attempt; an error after a cache miss is due to the origin. */
  private static boolean isFailure(Outcome outcome) {
    return switch (outcome.result()) {
      case TIMEOUT, SERVER_BUSY -> true;
      case ERROR -> outcome.cacheStatus() == Outcome.CacheStatus.NONE;
      default -> false;
    };
  }

  private void countFailure(
      Outcome outcome, boolean wasServed, boolean hasFailed, boolean wasReset) {
    if (wasServed) {
      consecutiveFailures = 0;
    } else if (wasReset || outcome.result() == Outcome.Result.SERVER_BUSY) {
      consecutiveFailures += PARTIAL_FAILURE_WEIGHT_RATIO;
    } else if (hasFailed) {
      // Time in which this load balancer was stalled does not count against the server.
      consecutiveFailures += outcome.activeRatio();
    }
  }

  private void scheduleTrial(double nowSeconds, boolean hasTrialFailed) {
    backoffSeconds =
        hasTrialFailed
            ? Math.min(MAX_BACKOFF_SECONDS, backoffSeconds * BACKOFF_MULTIPLIER)
            : INITIAL_BACKOFF_SECONDS;
    trialAtSeconds = nowSeconds + backoffSeconds;
  }
}
