package shalepaddle.policy.admission;

/**
 * Admits a request only while it can be answered within its latency objective, by Little's law:
 * requests in flight are at most the response rate times the objective. Prevents a backlog in which
 * every response is late. Stateless.
 */
public final class LatencyAdmission {
  private LatencyAdmission() {}

  /**
   * Whether one more request may be sent. One request in flight per server is always permitted.
   *
   * @param inFlight requests in flight without fetches, which have a window of their own
   * @param readyServers the number of ready servers
   * @param responsesPerSecond the rate at which servers respond, infinite while unknown
   */
  public static boolean admits(
      int inFlight, int readyServers, double responsesPerSecond, double latencyObjectiveSeconds) {
    return inFlight <= readyServers || inFlight <= responsesPerSecond * latencyObjectiveSeconds;
  }
}
