package shalepaddle.policy.admission;

/**
 * Admits a request only while it can be answered within its latency objective, by Little's law:
 * requests in flight are at most the response rate times the objective. Prevents a backlog in which
 * every response comes late. Stateless.
 */
public final class LatencyAdmission {
  private LatencyAdmission() {}

  /**
   * Whether one more request may go out; one for each server always may.
   *
   * @param inFlight requests in flight, less fetches, which have a window of their own
   * @param servers ready servers
   * @param responsesPerSecond the rate at which servers respond, infinite while unknown
   */
  public static boolean admits(
      int inFlight, int servers, double responsesPerSecond, double latencyObjectiveSeconds) {
    return inFlight <= servers || inFlight <= responsesPerSecond * latencyObjectiveSeconds;
  }
}
