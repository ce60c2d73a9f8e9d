package shalepaddle.policy.health;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Health figures of all ready servers together: the panic state, the usual load score and the fetch
 * loss ratio. Servers are compared with these, so that a common cause such as a slow origin neither
 * moves keys nor ejects a server.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router.
 */
public final class FleetHealth {
  /** Weight of a new fetch in the fleet's moving average of fetch losses. */
  private static final double FETCH_LOSS_GAIN_RATIO = 0.1;

  /** The fraction of its fetches that a server may lose before its fetches are limited. */
  private static final double MAX_FETCH_LOSS_RATIO = 0.3;

  private static final double MIN_GREATEST_KEY_FRACTION = 0.02;

  /** A server's score is fair up to this multiple of the median. */
  private static final double FAIR_SCORE_MULTIPLE = 1.5;

  private static final double MEDIAN_RANK_RATIO = 0.5;

  /**
   * Rank of the greatest key fraction: the maximum of up to about 10,000 servers; of more servers,
   * the highest outliers are left out.
   */
  private static final double GREATEST_RANK_RATIO = 0.9999;

  /**
   * Rank of the fetch loss ratio that is attributed to the origin: three quarters of the servers
   * lose at least as many fetches.
   */
  private static final double SHARED_LOSS_RANK_RATIO = 0.25;

  private List<ServerHealth> servers = List.of();
  private boolean isPanicking;
  private boolean areMostServersHealthy;
  private double greatestKeyFraction = 1;
  private double fairScore = 1;
  private double fetchLossRatio;

  /** Sets the ready servers. */
  public void setServers(List<ServerHealth> readyServers) {
    servers = readyServers;
  }

  /**
   * Enters or leaves panic mode: while more than half of the servers would be ejected, none is
   * (like Envoy's panic threshold). The cause is then likely common to the servers or lies in this
   * load balancer, and ejections would overload the few remaining servers. Cost: if most servers
   * are really down, some requests are first sent to servers that are down.
   */
  public void updatePanicState() {
    isPanicking = 2 * servers.stream().filter(ServerHealth::isEjected).count() > servers.size();
  }

  /** Whether the server gets trial requests only: it is ejected, and panic mode is off. */
  public boolean isAvoided(ServerHealth server) {
    return !isPanicking && server.isEjected();
  }

  /** Recomputes the fleet's figures; must be called once per second. */
  public void update(double nowSeconds) {
    greatestKeyFraction =
        Math.max(
            MIN_GREATEST_KEY_FRACTION,
            quantile(GREATEST_RANK_RATIO, server -> server.keyFraction(nowSeconds)));
    long failingServers =
        servers.stream().filter(server -> server.isFailingRecently(nowSeconds)).count();
    areMostServersHealthy = 3 * failingServers <= servers.size();
    fairScore =
        Math.max(
            1,
            FAIR_SCORE_MULTIPLE
                * quantile(MEDIAN_RANK_RATIO, server -> server.loadScore(nowSeconds)));
  }

  /** Whether at most a third of the servers failed repeatedly in the last second. */
  public boolean areMostServersHealthy() {
    return areMostServersHealthy;
  }

  /** The greatest key fraction of any server. */
  public double greatestKeyFraction() {
    return greatestKeyFraction;
  }

  /** The load score up to which a server counts as loaded like the others. */
  public double fairScore() {
    return fairScore;
  }

  /** Whether a server is loaded more than the others, or fails while most of them do not. */
  public boolean isOutlier(double nowSeconds, ServerHealth server) {
    return server.loadScore(nowSeconds) > fairScore
        || (areMostServersHealthy && server.isNearEjection());
  }

  /**
   * Records the end of a fetch at a server.
   *
   * @param isLost whether the fetch failed, was late or was rejected
   */
  public void recordFetch(double nowSeconds, ServerHealth server, boolean isLost) {
    server.recordFetch(nowSeconds, isLost, fetchLossRatio);
    fetchLossRatio += FETCH_LOSS_GAIN_RATIO * ((isLost ? 1 : 0) - fetchLossRatio);
  }

  /** The fetch loss ratio that most servers reach, which is attributed to the origin. */
  public double sharedFetchLossRatio(double nowSeconds) {
    return quantile(
        SHARED_LOSS_RANK_RATIO, server -> server.fetchLossRatio(nowSeconds, fetchLossRatio));
  }

  /** Whether a server loses too many fetches, so that it gets only occasional fetches as trials. */
  public boolean isFetchLimited(double nowSeconds, ServerHealth server) {
    return server.fetchLossRatio(nowSeconds, fetchLossRatio) > MAX_FETCH_LOSS_RATIO;
  }

  /** The quantile of a value over the servers, by a rank in [0, 1); 0 if there are no servers. */
  private double quantile(double rankRatio, ToDoubleFunction<ServerHealth> value) {
    double[] values = servers.stream().mapToDouble(value).sorted().toArray();
    return values.length == 0 ? 0 : values[(int) (rankRatio * values.length)];
  }
}
