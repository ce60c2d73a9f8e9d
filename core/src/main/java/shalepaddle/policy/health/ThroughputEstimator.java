package shalepaddle.policy.health;

/**
 * How fast requests come to this load balancer and are answered by its servers: exponentially
 * weighted averages of rates that are taken once a second. Times are in seconds. Not thread-safe:
 * owned by one router.
 */
public final class ThroughputEstimator {
  private static final double PERIOD_SECONDS = 1;

  /** Weights of the newest period in each average. */
  private static final double WARM_GAIN_RATIO = 0.3;

  private static final double ANSWER_GAIN_RATIO = 0.5;

  /** Small, so that a retry storm raises the average slowly. */
  private static final double REQUEST_GAIN_RATIO = 0.05;

  private double periodBeganAtSeconds = Double.NaN;
  private int requests;
  private double answers;
  private double warmAnswers;
  private double requestsPerSecond;
  private double answersPerSecond = Double.POSITIVE_INFINITY;
  private double warmAnswersPerSecond;

  /** A request has come. */
  public void onRequest() {
    requests++;
  }

  /** A server has answered. */
  public void onAnswer(boolean isWarm) {
    answers++;
    warmAnswers += isWarm ? 1 : 0;
  }

  /** Leaves a stall of this load balancer, in seconds, out of the period. */
  public void onEventLoopStall(double seconds) {
    periodBeganAtSeconds += seconds;
  }

  /** Whether a period is over; the first call begins the first one. */
  public boolean isPeriodOver(double nowSeconds) {
    periodBeganAtSeconds = Double.isNaN(periodBeganAtSeconds) ? nowSeconds : periodBeganAtSeconds;
    return nowSeconds - periodBeganAtSeconds >= PERIOD_SECONDS;
  }

  /**
   * Takes the rates of the period that is over, and begins the next one.
   *
   * @param warmWeight the sum of the weights of warm servers
   */
  public void endPeriod(double nowSeconds, double warmWeight) {
    double seconds = nowSeconds - periodBeganAtSeconds;
    if (warmWeight > 0) {
      double rate = warmAnswers / seconds / warmWeight;
      warmAnswersPerSecond =
          warmAnswersPerSecond == 0
              ? rate
              : warmAnswersPerSecond + WARM_GAIN_RATIO * (rate - warmAnswersPerSecond);
    }
    double rate = answers / seconds;
    answersPerSecond =
        Double.isInfinite(answersPerSecond) ? rate : ANSWER_GAIN_RATIO * (answersPerSecond + rate);
    requestsPerSecond +=
        (requestsPerSecond == 0 ? 1 : REQUEST_GAIN_RATIO)
            * (requests / seconds - requestsPerSecond);
    warmAnswers = 0;
    answers = 0;
    requests = 0;
    periodBeganAtSeconds = nowSeconds;
  }

  /** Requests a second that come. */
  public double requestsPerSecond() {
    return requestsPerSecond;
  }

  /** Answers a second; infinite before the first period is over. */
  public double answersPerSecond() {
    return answersPerSecond;
  }

  /**
   * Answers a second of a warm server of weight 1. Counts answers, as attempts in a retry storm do
   * not show what a server can do.
   */
  public double warmAnswersPerSecond() {
    return warmAnswersPerSecond;
  }
}
