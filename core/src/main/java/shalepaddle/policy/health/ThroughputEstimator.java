package shalepaddle.policy.health;

/**
 * The rates at which this load balancer receives requests and its servers answer them:
 * exponentially weighted moving averages, updated once a second. Times are in seconds. Not
 * thread-safe: owned by one router.
 */
public final class ThroughputEstimator {
  private static final double PERIOD_SECONDS = 1;

  /** Weight of the newest period in the average of a warm server's answers. */
  private static final double WARM_GAIN_RATIO = 0.3;

  /** Weight of the newest period in the average of all answers. */
  private static final double ANSWER_GAIN_RATIO = 0.5;

  /**
   * Weight of the newest period in the average of requests; small, so that a retry storm raises the
   * average slowly.
   */
  private static final double REQUEST_GAIN_RATIO = 0.05;

  private double periodBeganAtSeconds = Double.NaN;
  private int requests;
  private double answers;
  private double warmAnswers;
  private double requestsPerSecond;
  private double answersPerSecond = Double.POSITIVE_INFINITY;
  private double warmAnswersPerSecond;

  /** Records the arrival of a request. */
  public void onRequest() {
    requests++;
  }

  /** Records an answer of a server. */
  public void onAnswer(boolean isWarm) {
    answers++;
    warmAnswers += isWarm ? 1 : 0;
  }

  /** Excludes a stall of this load balancer's event loop from the current period. */
  public void onEventLoopStall(double stallSeconds) {
    periodBeganAtSeconds += stallSeconds;
  }

  /** Whether the current period is over; the first call begins the first period. */
  public boolean isPeriodOver(double nowSeconds) {
    periodBeganAtSeconds = Double.isNaN(periodBeganAtSeconds) ? nowSeconds : periodBeganAtSeconds;
    return nowSeconds - periodBeganAtSeconds >= PERIOD_SECONDS;
  }

  /**
   * Updates the averages from the period that is over and begins the next one.
   *
   * @param warmWeight the sum of the weights of warm servers
   */
  public void endPeriod(double nowSeconds, double warmWeight) {
    double periodSeconds = nowSeconds - periodBeganAtSeconds;
    if (warmWeight > 0) {
      double warmRatePerSecond = warmAnswers / periodSeconds / warmWeight;
      warmAnswersPerSecond =
          warmAnswersPerSecond == 0
              ? warmRatePerSecond
              : warmAnswersPerSecond + WARM_GAIN_RATIO * (warmRatePerSecond - warmAnswersPerSecond);
    }
    double answerRatePerSecond = answers / periodSeconds;
    answersPerSecond =
        Double.isInfinite(answersPerSecond)
            ? answerRatePerSecond
            : ANSWER_GAIN_RATIO * (answersPerSecond + answerRatePerSecond);
    requestsPerSecond +=
        (requestsPerSecond == 0 ? 1 : REQUEST_GAIN_RATIO)
            * (requests / periodSeconds - requestsPerSecond);
    warmAnswers = 0;
    answers = 0;
    requests = 0;
    periodBeganAtSeconds = nowSeconds;
  }

  /** Requests received per second. */
  public double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Answers per second; infinite until the first period is over. */
  public double answersPerSecond() {
    return answersPerSecond;
  }

  /**
   * The answers per second of a warm server of weight 1. Based on answers rather than attempts,
   * since attempts in a retry storm do not show a server's capacity.
   */
  public double warmAnswersPerSecond() {
    return warmAnswersPerSecond;
  }
}
