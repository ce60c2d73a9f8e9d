package shalepaddle.policy.health;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * What holds for the ready servers together: the panic threshold, the usual load score, and how
 * many fetches are lost. Each server is compared with these, so that a cause which all share, such
 * as a slow origin, neither moves keys nor ejects a server.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router.
 */
public final class FleetHealth {
  /** Weight of a new fetch in the fleet's average of fetch losses. */
  private static final double FETCH_LOSS_GAIN_RATIO = 0.1;

  /** The part of its fetches that a server may lose before it gets hardly any. */
  private static final double MAX_FETCH_LOSS_RATIO = 0.3;

  private static final double MIN_GREATEST_KEY_FRACTION = 0.02;

  /** A server's score is fair up to this multiple of the median. */
  private static final double FAIR_SCORE_MULTIPLE = 1.5;

  private static final double MEDIAN_RANK_RATIO = 0.5;

  /**
   * The maximum among up to about 10,000 servers; among more, the highest outliers are left out.
   */
  private static final double GREATEST_RANK_RATIO = 0.9999;

  /** The rank of the loss that all servers share: what only some have is not the origin's. */
  private static final double SHARED_LOSS_RANK_RATIO = 0.25;

  private List<ServerHealth> servers = List.of();
  private boolean isPanicking;
  private boolean areFailuresFew;
  private double greatestKeyFraction = 1;
  private double fairScore = 1;
  private double fetchLossRatio;

  /** These are the ready servers from now on. */
  public void setServers(List<ServerHealth> ready) {
    servers = ready;
  }

  /**
   * Enters or leaves panic: while more than half of the servers would be ejected, none is (the
   * panic threshold of Envoy). The cause is then likely shared, or this load balancer's own, and
   * the load of many would fall on few. Cost: where most are really down, requests try some first.
   */
  public void updatePanicState() {
    isPanicking = 2 * servers.stream().filter(ServerHealth::isEjected).count() > servers.size();
  }

  /** Whether the server gets no requests but trials: it is ejected, and there is no panic. */
  public boolean isAvoided(ServerHealth server) {
    return !isPanicking && server.isEjected();
  }

  /** Recomputes the figures of all servers together; to be called once a second. */
  public void update(double nowSeconds) {
    greatestKeyFraction =
        Math.max(
            MIN_GREATEST_KEY_FRACTION,
            ranked(GREATEST_RANK_RATIO, server -> server.keyFraction(nowSeconds)));
    long failing = servers.stream().filter(server -> server.isFailingRecently(nowSeconds)).count();
    areFailuresFew = 3 * failing <= servers.size();
    fairScore =
        Math.max(
            1,
            FAIR_SCORE_MULTIPLE
                * ranked(MEDIAN_RANK_RATIO, server -> server.loadScore(nowSeconds)));
  }

  /** Whether at most a third of the servers failed repeatedly in the last second. */
  public boolean areFailuresFew() {
    return areFailuresFew;
  }

  /** The greatest part of its keys that any server is offered. */
  public double greatestKeyFraction() {
    return greatestKeyFraction;
  }

  /** The load score up to which a server is loaded like the others. */
  public double fairScore() {
    return fairScore;
  }

  /** Whether a server is loaded, or fails, beyond the others, so that the cause is its own. */
  public boolean isOutlier(double nowSeconds, ServerHealth server) {
    return server.loadScore(nowSeconds) > fairScore || (areFailuresFew && server.isNearEjection());
  }

  /** A fetch has ended at a server. */
  public void recordFetch(double nowSeconds, ServerHealth server, boolean lost) {
    server.recordFetch(nowSeconds, lost, fetchLossRatio);
    fetchLossRatio += FETCH_LOSS_GAIN_RATIO * ((lost ? 1 : 0) - fetchLossRatio);
  }

  /** The part of fetches that nearly all servers lose, which is the origin's. */
  public double sharedFetchLossRatio(double nowSeconds) {
    return ranked(
        SHARED_LOSS_RANK_RATIO, server -> server.fetchLossRatio(nowSeconds, fetchLossRatio));
  }

  /** Whether a server loses more than its permitted fraction of fetches and gets only trials. */
  public boolean isFetchLimited(double nowSeconds, ServerHealth server) {
    return server.fetchLossRatio(nowSeconds, fetchLossRatio) > MAX_FETCH_LOSS_RATIO;
  }

  /** The quantile of a value over the servers, by a rank from 0 to below 1; 0 without servers. */
  private double ranked(double rankRatio, ToDoubleFunction<ServerHealth> value) {
    double[] values = servers.stream().mapToDouble(value).sorted().toArray();
    return values.length == 0 ? 0 : values[(int) (rankRatio * values.length)];
  }
}
