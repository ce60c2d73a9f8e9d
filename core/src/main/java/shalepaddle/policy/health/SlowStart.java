package shalepaddle.policy.health;

import shalepaddle.model.Settings;

/**
 * Slow start of one server (as Envoy's slow-start mode): a server that has just started gets fewer
 * keys and a limited rate of requests until it is warm, since its cache is empty.
 *
 * <p>Inputs are the time of the start and the contract's slow-start figures; times are in seconds.
 * Not thread-safe: owned by one router.
 */
final class SlowStart {
  /**
   * What a warming server is offered, as a multiple of what it can do by the contract: with less,
   * the keys of many that start at once overload the others. Cost: where usual load is near
   * capacity it comes near the overload that the contract permits, three times.
   */
  private static final double OFFERED_LOAD_RATIO = 2;

  /** How long unused budget of a warming server accumulates. */
  private static final double MAX_BURST_SECONDS = 0.5;

  private static final double MIN_CAPACITY_RATIO = 0.01;

  private final Settings.Contract contract;

  /**
   * Tokens with which a server begins here; spread, so that not all load balancers send at once.
   */
  private final double initialTokens;

  private double startedAtSeconds;
  private double tokens;
  private double refilledAtSeconds;

  /** A warm server. */
  SlowStart(Settings.Contract contract, double initialTokens, double nowSeconds) {
    this.contract = contract;
    this.initialTokens = initialTokens;
    begin(nowSeconds, ServerStartTimes.LONG_AGO);
  }

  /** The server started then, unless a later start is known. */
  void restart(double nowSeconds, double startedAtSeconds) {
    begin(nowSeconds, Math.max(this.startedAtSeconds, startedAtSeconds));
  }

  private void begin(double nowSeconds, double startedAtSeconds) {
    this.startedAtSeconds = startedAtSeconds;
    tokens = initialTokens;
    refilledAtSeconds = nowSeconds;
  }

  /** The part of its capacity that the server has by the contract: 1 once it is warm. */
  double capacityRatio(double nowSeconds) {
    double age = nowSeconds - startedAtSeconds;
    if (!(age < contract.slowStartSeconds())) {
      return 1;
    }
    double initial = Math.max(MIN_CAPACITY_RATIO, Math.min(1, contract.slowStartMinRatio()));
    return initial + (1 - initial) * Math.max(0, age) / contract.slowStartSeconds();
  }

  /** The part of its keys that the server is offered: 1 once it is warm, or earlier. */
  double keyFraction(double nowSeconds) {
    return Math.min(1, OFFERED_LOAD_RATIO * capacityRatio(nowSeconds));
  }

  /**
   * Whether the server's budget has a token for one more request, for where few keys draw much.
   *
   * @param warmRequestsPerSecond the rate at which warm servers of like weight answer this load
   *     balancer
   */
  boolean hasCapacity(double nowSeconds, double warmRequestsPerSecond) {
    double rate = OFFERED_LOAD_RATIO * warmRequestsPerSecond * capacityRatio(nowSeconds);
    tokens =
        Math.min(
            Math.max(1, rate * MAX_BURST_SECONDS),
            tokens + (nowSeconds - refilledAtSeconds) * rate);
    refilledAtSeconds = nowSeconds;
    return tokens >= 1;
  }

  /** A request goes to the server. */
  void onSent() {
    tokens -= 1; // Not read while it is warm: a start sets them anew.
  }
}
