package shalepaddle.policy.health;

/**
 * How loaded one server is, from samples of its latency and utilization, and which part of its keys
 * it is offered because of that. Protects servers that are slower than the endpoint list says, or
 * have too many keys, where a load balancer has too little in flight for a cap to act.
 *
 * <p>Scores are relative to what is fair: above 1, responses come late or all cores are in use.
 * Times are in seconds. Not thread-safe: owned by one router.
 */
final class LoadScore {
  private static final double INITIAL_SCORE = 0.5;

  private static final double MAX_SCORE = 4;

  /** Weight of a new sample in the average. */
  private static final double SCORE_GAIN_RATIO = 0.2;

  /** Time in which a score that is not renewed fades to a third. */
  static final double FADE_SECONDS = 3;

  private static final double MIN_KEY_FRACTION = 0.02;

  /** How fast the key fraction recovers without any sample. */
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
   * Takes in a sample.
   *
   * @param sample 1 is the most that is fair for one server
   * @param fairScore the fleet's usual score: a load that all servers share moves no keys
   */
  void record(double nowSeconds, double sample, double fairScore) {
    score =
        score(nowSeconds)
            + SCORE_GAIN_RATIO * (Math.min(MAX_SCORE, Math.max(0, sample)) - score(nowSeconds));
    double relative = Math.min(MAX_SCORE, Math.max(0, sample / fairScore));
    double sinceLast = nowSeconds - sampledAtSeconds;
    if (relative > 1) {
      // After a long pause a sample weighs more, as it stands for the time before it.
      double gain =
          Math.max(
              MIN_DECREASE_GAIN_RATIO,
              Math.min(MAX_DECREASE_GAIN_RATIO, DECREASE_GAIN_PER_SECOND * sinceLast));
      keyFraction *= 1 - gain * (relative - 1);
    } else {
      keyFraction +=
          INCREASE_GAIN_RATIO * (1 - relative) * Math.max(keyFraction, MIN_INCREASE_BASE);
    }
    // Without any sample it still recovers slowly, since a server with few keys has few samples.
    keyFraction += RECOVERY_PER_SECOND * Math.min(MAX_RECOVERY_SECONDS, Math.max(0, sinceLast));
    keyFraction = Math.min(1, Math.max(MIN_KEY_FRACTION, keyFraction));
    sampledAtSeconds = nowSeconds;
  }

  /** The recent score; it fades, so that a server without requests does not stay overloaded. */
  double score(double nowSeconds) {
    return score * Math.exp(Math.min(0, sampledAtSeconds - nowSeconds) / FADE_SECONDS);
  }

  /** The part of its keys that the server is offered, above 0 to 1. */
  double keyFraction(double nowSeconds) {
    return Math.min(
        1, keyFraction + RECOVERY_PER_SECOND * Math.max(0, nowSeconds - sampledAtSeconds));
  }
}
