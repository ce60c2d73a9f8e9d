package shalepaddle.policy;

/** How fast requests come to this balancer and are answered by its servers, taken once a second. */
final class ThroughputEstimator {
  private static final double PERIOD = 1;

  /** How much the newest figure counts in each average. */
  private static final double WARM_GAIN = 0.3;

  private static final double ANSWER_GAIN = 0.5;

  /** Slowly averaged, lest a storm of clients' tries raise it. */
  private static final double REQUEST_GAIN = 0.05;

  private double takenAt = Double.NaN;
  private int requests;
  private double answers;
  private double warmAnswers;
  private double requestRate;
  private double answerRate = Double.POSITIVE_INFINITY;
  private double warmRate;

  /** A request has come. */
  void requested() {
    requests++;
  }

  /** A server has answered. */
  void answered(boolean warm) {
    answers++;
    warmAnswers += warm ? 1 : 0;
  }

  /** This balancer has not run for so many seconds. */
  void paused(double seconds) {
    takenAt += seconds;
  }

  /** Whether a period is over. */
  boolean due(double now) {
    takenAt = Double.isNaN(takenAt) ? now : takenAt;
    return now - takenAt >= PERIOD;
  }

  /**
   * Takes the rates of the period that is over.
   *
   * @param warmWeight the weights of the warm servers together
   */
  void take(double now, double warmWeight) {
    double seconds = now - takenAt;
    if (warmWeight > 0) {
      double rate = warmAnswers / seconds / warmWeight;
      warmRate = warmRate == 0 ? rate : warmRate + WARM_GAIN * (rate - warmRate);
    }
    double answered = answers / seconds;
    answerRate = Double.isInfinite(answerRate) ? answered : ANSWER_GAIN * (answerRate + answered);
    requestRate += (requestRate == 0 ? 1 : REQUEST_GAIN) * (requests / seconds - requestRate);
    warmAnswers = 0;
    answers = 0;
    requests = 0;
    takenAt = now;
  }

  /** Requests a second. */
  double requestRate() {
    return requestRate;
  }

  /** Answers a second; infinite before the first period is over. */
  double answerRate() {
    return answerRate;
  }

  /**
   * Answers a second of a warm server of weight 1. It counts answers: in a storm of retries sends
   * say nothing of what a server can do.
   */
  double warmRate() {
    return warmRate;
  }
}
