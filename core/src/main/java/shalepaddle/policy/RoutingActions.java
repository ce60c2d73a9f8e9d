package shalepaddle.policy;

/**
 * The actions that a {@link RequestRouter} decides on. The router's owner performs them in the
 * order of the calls, on the router's thread. Implementations must not call back into the router.
 */
public interface RoutingActions {
  /**
   * Sends the next attempt of a request.
   *
   * @param withinSeconds time limit for passing the attempt's last byte to the socket; if it cannot
   *     be met the attempt must not be written, as it could take effect twice; may be infinite
   */
  void send(String requestId, long serverId, double withinSeconds);

  /** Notes that a request waits for a fetch before its next attempt; nothing is to be done. */
  default void held(String requestId) {}

  /** Cancels one attempt of a request, by its number. */
  void cancel(String requestId, int attempt);

  /**
   * Gives the final answer that the request was rejected, and that a retry cannot make it take
   * effect twice.
   *
   * @param retryAfterSeconds how long the client should wait before a retry, 0 for no advice
   */
  void reject(String requestId, double retryAfterSeconds);

  /** Gives the final answer that the request failed; it may have taken effect. */
  void fail(String requestId);

  /** Schedules a call of {@link RequestRouter#onTimer} with this token. */
  void scheduleTimer(long token, double delaySeconds);

  /** Subscribes to watch events of the endpoint list, or ends the subscription. */
  void subscribe(boolean isSubscribed);

  /** Closes the idle connections to a server. */
  void closeIdleConnections(long serverId);
}
