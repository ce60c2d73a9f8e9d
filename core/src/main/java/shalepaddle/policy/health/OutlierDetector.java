package shalepaddle.policy.health;

import shalepaddle.model.Outcome;

/**
 * Ejects one server after consecutive failures and lets single trial requests through until one
 * succeeds (outlier detection as in Envoy and gRPC, with a half-open circuit breaker).
 *
 * <p>Refused connections eject by themselves. Attempts that were not served eject only while few
 * servers fail, as what many share is likely not theirs. Times are in seconds. Not thread-safe:
 * owned by one router.
 */
final class OutlierDetector {
  /** What the end of an attempt shows of the server's process. */
  enum Finding {
    /** Nothing special. */
    NONE,
    /** It refused connections and serves again: likely a new process with an empty cache. */
    RESTARTED,
    /** It refused a connection, though it may well run: it may be at its limit of connections. */
    REFUSED_CONNECTION
  }

  /** Consecutive refused connections that eject; one may be due to a limit of connections. */
  private static final int MAX_REFUSED_CONNECTIONS = 2;

  /** Consecutive attempts not served that eject while most servers serve. */
  static final int MAX_CONSECUTIVE_FAILURES = 3;

  /**
   * What a reset or a busy response adds to the count of consecutive failures. Networks and idle
   * limits reset connections to servers that run, and a server without capacity for a fetch may
   * serve all else. Cost: where requests are few, an ejection takes longer.
   */
  private static final double PARTIAL_FAILURE_WEIGHT_RATIO = 0.5;

  private static final double INITIAL_BACKOFF_SECONDS = 0.5;

  private static final double MAX_BACKOFF_SECONDS = 4;

  private static final double BACKOFF_MULTIPLIER = 1.5;

  /** How recent the last failure must be for the server to count as failing. */
  private static final double RECENT_SECONDS = 1;

  private boolean isFailing;
  private double consecutiveFailures;
  private int refusedConnections;
  private double firstRefusedAtSeconds;
  private double connectionFailedAtSeconds = Double.NEGATIVE_INFINITY;
  private double endedAtSeconds;
  private double connectionUsedAtSeconds = Double.NEGATIVE_INFINITY;
  private double backoffSeconds;
  private double trialAtSeconds;
  private boolean isTrialInFlight;

  /** Whether the server gets no requests but trials. */
  boolean isEjected() {
    return isFailing || refusedConnections >= MAX_REFUSED_CONNECTIONS;
  }

  /** Whether an ejected server may get a trial request now: one at a time, after a backoff. */
  boolean isTrialDue(double nowSeconds) {
    return !isTrialInFlight && nowSeconds >= trialAtSeconds;
  }

  /** Consecutive attempts that were not served; some count in part. */
  double consecutiveFailures() {
    return consecutiveFailures;
  }

  /** Whether it fails again and again, as of the last second. */
  boolean isFailingRecently(double nowSeconds) {
    return consecutiveFailures > 1 && nowSeconds - endedAtSeconds < RECENT_SECONDS;
  }

  /** The server has started anew. */
  void reset() {
    refusedConnections = 0;
    isFailing = false;
    isTrialInFlight = false;
  }

  /** A request goes to the server. */
  void onSent() {
    if (isEjected()) {
      isTrialInFlight = true;
    }
  }

  /** The idle connections to the server are closed. */
  void onConnectionsClosed() {
    connectionUsedAtSeconds = Double.NEGATIVE_INFINITY;
  }

  /**
   * An attempt has ended.
   *
   * @param idleTimeoutSeconds after which an idle connection is closed
   * @param failuresAreFew whether most servers serve what they get
   */
  Finding onAttemptEnded(
      double nowSeconds, Outcome outcome, double idleTimeoutSeconds, boolean failuresAreFew) {
    Outcome.Result result = outcome.result();
    boolean served = result == Outcome.Result.OK || result == Outcome.Result.CACHE_MISS;
    double sentAtSeconds = nowSeconds - outcome.elapsedSeconds();
    // Attempts sent before a connection failure was observed may fail for the same cause.
    boolean isNewEvidence = sentAtSeconds > connectionFailedAtSeconds;
    boolean failed = isFailure(outcome);
    boolean wasReset = result == Outcome.Result.RESET && isNewEvidence;
    countFailure(outcome, served, failed, wasReset);
    endedAtSeconds = nowSeconds;
    isTrialInFlight = false;
    final boolean wasEjected = isEjected();
    double connectionNeededAt = refusedConnections > 0 ? firstRefusedAtSeconds : nowSeconds;
    boolean wasConnected = connectionNeededAt - connectionUsedAtSeconds < idleTimeoutSeconds;
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
    // Includes servers that hang, as their lost fetches would be attributed to the origin, and
    // servers that reject at once, as their few requests in flight would attract more.
    if ((failed || wasReset) && failuresAreFew && consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
      isFailing = true;
    }
    if (isEjected() && !served && (!wasEjected || sentAtSeconds >= trialAtSeconds)) {
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

  /** Whether the server failed the attempt; an error that names a cache miss is the origin's. */
  private static boolean isFailure(Outcome outcome) {
    return switch (outcome.result()) {
      case TIMEOUT, SERVER_BUSY -> true;
      case ERROR -> outcome.cacheStatus() == Outcome.CacheStatus.NONE;
      default -> false;
    };
  }

  private void countFailure(Outcome outcome, boolean served, boolean failed, boolean wasReset) {
    if (served) {
      consecutiveFailures = 0;
    } else if (wasReset || outcome.result() == Outcome.Result.SERVER_BUSY) {
      consecutiveFailures += PARTIAL_FAILURE_WEIGHT_RATIO;
    } else if (failed) {
      // A server is not blamed for time in which this load balancer was stalled.
      consecutiveFailures += outcome.activeRatio();
    }
  }

  private void scheduleTrial(double nowSeconds, boolean trialFailed) {
    backoffSeconds =
        trialFailed
            ? Math.min(MAX_BACKOFF_SECONDS, backoffSeconds * BACKOFF_MULTIPLIER)
            : INITIAL_BACKOFF_SECONDS;
    trialAtSeconds = nowSeconds + backoffSeconds;
  }
}
