package shalepaddle.policy;

import shalepaddle.model.Outcome;
import shalepaddle.model.Outcome.Result;
import shalepaddle.policy.admission.OriginFetchLimiter;
import shalepaddle.policy.health.FleetHealth;
import shalepaddle.policy.health.ServerHealth;

/**
 * Derives samples for a server's load score from the outcomes of its attempts. Fetches are left
 * out: a slow origin delays them, and the hits queued behind them, at every server alike.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router, whose state of health and fetches
 * it reads.
 */
final class LoadSampler {
  /** Latency of a cache hit that gives a score of 1, as a fraction of the latency objective. */
  private static final double FAIR_LATENCY_RATIO = 0.4;

  /** CPU utilization that gives a score of 1; a server's queue grows long above it. */
  private static final double FAIR_UTILIZATION_RATIO = 0.85;

  /** Load score of an attempt that was not served; 1 is the highest fair load of a server. */
  private static final double NOT_SERVED_SCORE = 2;

  private final FleetHealth fleet;
  private final OriginFetchLimiter<PendingRequest> fetchLimiter;

  LoadSampler(FleetHealth fleet, OriginFetchLimiter<PendingRequest> fetchLimiter) {
    this.fleet = fleet;
    this.fetchLimiter = fetchLimiter;
  }

  /** Updates the server's load score from an outcome. */
  void updateLoadScore(
      double nowSeconds, PendingRequest request, ServerHealth server, Outcome outcome) {
    if (outcome.load() != null && outcome.load().utilization() >= 0) {
      server.recordLoad(
          nowSeconds, outcome.load().utilization() / FAIR_UTILIZATION_RATIO, fleet.fairScore());
    }
    if (request.isWrite() || isFetchOfOrigin(nowSeconds, request, server, outcome)) {
      return;
    }
    if (outcome.result() == Result.OK) {
      double fairSeconds = FAIR_LATENCY_RATIO * request.serviceClass().latencyObjectiveSeconds();
      server.recordLoad(nowSeconds, outcome.activeSeconds() / fairSeconds, fleet.fairScore());
    } else if (outcome.isObservedTimeout()
        || (outcome.result() == Result.SERVER_BUSY && server.isFailingRepeatedly())) {
      // A single busy reply does not count: the server may lack capacity for fetches only, and
      // still serve what it has cached.
      server.recordLoad(nowSeconds, NOT_SERVED_SCORE, fleet.fairScore());
    }
  }

  /** Whether the attempt was a fetch whose outcome is due to the origin, not to the server. */
  private boolean isFetchOfOrigin(
      double nowSeconds, PendingRequest request, ServerHealth server, Outcome outcome) {
    boolean isFetch = request.isFetch(outcome.attempt()) || outcome.cacheStatus().isMiss();
    // A hanging server completes no hits that would raise its score. Its timed-out fetches count
    // against it while fetches at other servers succeed.
    boolean isHanging =
        outcome.result() == Result.TIMEOUT
            && (!fetchLimiter.isOriginDegraded() || fleet.isOutlier(nowSeconds, server));
    return isFetch && !isHanging && outcome.cacheStatus() != Outcome.CacheStatus.HIT;
  }
}
