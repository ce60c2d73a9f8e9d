package shalepaddle.policy;

import shalepaddle.model.Outcome;
import shalepaddle.model.Outcome.Result;
import shalepaddle.policy.admission.OriginFetchLimiter;
import shalepaddle.policy.health.FleetHealth;
import shalepaddle.policy.health.ServerHealth;

/**
 * What the outcome of an attempt shows of its server's load, for the server's load score. Fetches
 * are left out, as a slow origin makes them, and the hits behind them, late everywhere.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router, whose state of health and fetches
 * it reads.
 */
final class LoadSampler {
  /** The part of a latency objective that a response from the cache may take for a score of 1. */
  private static final double FAIR_LATENCY_RATIO = 0.4;

  /** Use of its cores at which a server's queue grows long, for a score of 1. */
  private static final double FAIR_UTILIZATION_RATIO = 0.85;

  /** The score of an attempt that was not served. */
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
      // One that rejects single reads lacks capacity for fetches, and serves what it has cached.
      server.recordLoad(nowSeconds, NOT_SERVED_SCORE, fleet.fairScore());
    }
  }

  /** Whether the outcome is that of a fetch, and so the origin's rather than the server's. */
  private boolean isFetchOfOrigin(
      double nowSeconds, PendingRequest request, ServerHealth server, Outcome outcome) {
    boolean fetch = request.isFetch(outcome.attempt()) || outcome.cacheStatus().isMiss();
    // A server that hangs has no hits to show it: while fetches succeed elsewhere, it is blamed.
    boolean hangs =
        outcome.result() == Result.TIMEOUT
            && (!fetchLimiter.isOriginDegraded() || fleet.isOutlier(nowSeconds, server));
    return fetch && !hangs && outcome.cacheStatus() != Outcome.CacheStatus.HIT;
  }
}
