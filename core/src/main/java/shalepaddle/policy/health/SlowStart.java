package shalepaddle.policy.health;

import shalepaddle.model.Settings;

/**
 * Slow start of one server (like Envoy's slow start mode): a server that has just started gets
 * fewer keys and a limited rate of requests until it is warm, since its cache is empty.
 *
 * <p>Depends on the time of the start and the slow-start figures in {@link Settings.Contract}.
 * Times are in seconds. Not thread-safe: owned by one router.
 */
final class SlowStart {
  /**
   * Load offered to a warming server, as a multiple of its {@link #capacityRatio present capacity}.
   * With less, if many servers start at once, their keys overload the others. Cost: where usual
   * load is near capacity, it approaches three times the present capacity, the load at which a
   * server in slow start may fail.
   */
  private static final double OFFERED_LOAD_RATIO = 2;

  /**
   * The maximum of the accumulated tokens of a warming server, in seconds of its current refill
   * rate.
   */
  private static final double MAX_BURST_SECONDS = 0.5;

  private static final double MIN_CAPACITY_RATIO = 0.01;

  private final Settings.Contract contract;

  /**
   * Tokens at the start of a server; they differ between load balancers, so that the load balancers
   * do not all send their first requests at once.
   */
  private final double initialTokens;

  private double startedAtSeconds;
  private double tokens;
  private double refilledAtSeconds;

  /** Creates the state of a warm server. */
  SlowStart(Settings.Contract contract, double initialTokens, double nowSeconds) {
    this.contract = contract;
    this.initialTokens = initialTokens;
    begin(nowSeconds, ServerStartTimes.LONG_AGO);
  }

  /** Restarts slow start from the given start, or from a later one that is known already. */
  void restart(double nowSeconds, double startedAtSeconds) {
    begin(nowSeconds, Math.max(this.startedAtSeconds, startedAtSeconds));
  }

  private void begin(double nowSeconds, double startedAtSeconds) {
    this.startedAtSeconds = startedAtSeconds;
    tokens = initialTokens;
    refilledAtSeconds = nowSeconds;
  }

  /**
   * The fraction of its full capacity that the server has now according to {@link
   * Settings.Contract}, which rises linearly from its start: 1 once the server is warm.
   */
  double capacityRatio(double nowSeconds) {
    double ageSeconds = nowSeconds - startedAtSeconds;
    if (!(ageSeconds < contract.slowStartSeconds())) {
      return 1;
    }
    double initialCapacityRatio =
        Math.max(MIN_CAPACITY_RATIO, Math.min(1, contract.slowStartMinRatio()));
    return initialCapacityRatio
        + (1 - initialCapacityRatio) * Math.max(0, ageSeconds) / contract.slowStartSeconds();
  }

  /** The fraction of its keys that the server is offered; reaches 1 before it is warm. */
  double keyFraction(double nowSeconds) {
    return Math.min(1, OFFERED_LOAD_RATIO * capacityRatio(nowSeconds));
  }

  /**
   * Whether the server's token bucket permits one more request. Needed in addition to the key
   * fraction where few keys get most of the requests.
   *
   * @param warmRequestsPerSecond the rate at which warm servers of the same weight answer this load
   *     balancer
   */
  boolean hasCapacity(double nowSeconds, double warmRequestsPerSecond) {
    double tokensPerSecond = OFFERED_LOAD_RATIO * warmRequestsPerSecond * capacityRatio(nowSeconds);
    tokens =
        Math.min(
            Math.max(1, tokensPerSecond * MAX_BURST_SECONDS),
            tokens + (nowSeconds - refilledAtSeconds) * tokensPerSecond);
    refilledAtSeconds = nowSeconds;
    return tokens >= 1;
  }

  /** Records that a request is sent to the server. */
  void onSent() {
    // The withdrawal has no effect while the server is warm: the tokens are not read then, and a
    // start resets them.
    tokens -= 1;
  }
}
