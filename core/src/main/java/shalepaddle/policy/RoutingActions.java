package shalepaddle.policy;

/**
 * The actions that a {@link RequestRouter} decides on. Its owner carries the calls out in their
 * order, on the router's own thread; it must not call the router from within.
 */
public interface RoutingActions {
  /**
   * Sends the next attempt of a request.
   *
   * @param withinSeconds the attempt must not be written unless its last byte is handed to the
   *     socket within this time, as it could take effect twice; may be infinite
   */
  void send(String requestId, long server, double withinSeconds);

  /** Stops waiting for one attempt, by its number. */
  void cancel(String requestId, int attempt);

  /**
   * Gives the final answer: not run, and a retry does not take effect twice.
   *
   * @param retryAfterSeconds how long the client should stay away, 0 for no advice
   */
  void reject(String requestId, double retryAfterSeconds);

  /** Gives the final answer: failed, perhaps with effect. */
  void fail(String requestId);

  /** Schedules a call of {@link RequestRouter#onTimer} with this token. */
  void scheduleTimer(long token, double delaySeconds);

  /** Subscribes to watch events of the endpoint list, or ends the subscription. */
  void subscribe(boolean on);

  /** Closes the idle connections to a server. */
  void closeIdleConnections(long server);
}
