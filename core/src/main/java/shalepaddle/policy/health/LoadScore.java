package shalepaddle.policy.health;

/**
 * The load of one server, from samples of its latency and utilization, and the fraction of its keys
 * that it is offered at that load. Protects servers that are slower than their weight in the
 * endpoint list, or own too many keys, where a load balancer has too few requests in flight for a
 * cap to take effect.
 *
 * <p>Scores are relative to a fair load: above 1, responses are late or the cores are saturated.
 * Times are in seconds. Not thread-safe: owned by one router.
 */
final class LoadScore {
  private static final double INITIAL_SCORE = 0.5;

  private static final double MAX_SCORE = 4;

  /** Weight of a new sample in the moving average. */
  private static final double SCORE_GAIN_RATIO = 0.2;

  /** Time constant of the exponential decay of a score without new samples. */
  static final double DECAY_SECONDS = 3;

  private static final double MIN_KEY_FRACTION = 0.02;

  /** The recovery of the key fraction per second without samples. */
  private static final double RECOVERY_PER_SECOND = 0.02;

  private static final double MAX_RECOVERY_SECONDS = 5;

  private static final double MIN_DECREASE_GAIN_RATIO = 0.1;

  private static final double MAX_DECREASE_GAIN_RATIO = 0.25;

  private static final double DECREASE_GAIN_PER_SECOND = 0.2;

  private static final double INCREASE_GAIN_RATIO = 0.05;

  private static final double MIN_INCREASE_BASE = 0.2;

  private double score = INITIAL_SCORE;
  private double keyFraction = 1;
  private double sampledAtSeconds;

  LoadScore(double nowSeconds) {
    sampledAtSeconds = nowSeconds;
  }

  /**
   * Adds a sample.
   *
   * @param sample the observed load; 1 is the highest fair load of one server
   * @param fairScore the fleet's usual score; a load that all servers have moves no keys
   */
  void record(double nowSeconds, double sample, double fairScore) {
    score =
        score(nowSeconds)
            + SCORE_GAIN_RATIO * (Math.min(MAX_SCORE, Math.max(0, sample)) - score(nowSeconds));
    double relativeLoad = Math.min(MAX_SCORE, Math.max(0, sample / fairScore));
    double secondsSinceLastSample = nowSeconds - sampledAtSeconds;
    if (relativeLoad > 1) {
      // A sample after a long pause weighs more, since it represents the time since the last one.
      double gainRatio =
          Math.max(
              MIN_DECREASE_GAIN_RATIO,
              Math.min(MAX_DECREASE_GAIN_RATIO, DECREASE_GAIN_PER_SECOND * secondsSinceLastSample));
      keyFraction *= 1 - gainRatio * (relativeLoad - 1);
    } else {
      keyFraction +=
          INCREASE_GAIN_RATIO * (1 - relativeLoad) * Math.max(keyFraction, MIN_INCREASE_BASE);
    }
    // The key fraction recovers slowly even without samples, since a server with few keys has few
    // samples.
    keyFraction +=
        RECOVERY_PER_SECOND * Math.min(MAX_RECOVERY_SECONDS, Math.max(0, secondsSinceLastSample));
    keyFraction = Math.min(1, Math.max(MIN_KEY_FRACTION, keyFraction));
    sampledAtSeconds = nowSeconds;
  }

  /** The score with its decay, by which a server without requests does not stay overloaded. */
  double score(double nowSeconds) {
    return score * Math.exp(Math.min(0, sampledAtSeconds - nowSeconds) / DECAY_SECONDS);
  }

  /** The fraction of its keys that the server is offered, greater than 0 and at most 1. */
  double keyFraction(double nowSeconds) {
    return Math.min(
        1, keyFraction + RECOVERY_PER_SECOND * Math.max(0, nowSeconds - sampledAtSeconds));
  }
}
