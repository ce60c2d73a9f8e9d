package shalepaddle.policy;

/** What a {@link RequestRouter} can do; the shell around it carries these out, in order. */
public interface RoutingActions {
  /** Sends the next attempt; its last byte must go out within so many seconds, or never. */
  void send(String requestId, long server, double within);

  /** Stops waiting for one attempt. */
  void cancel(String requestId, int attempt);

  /** Final answer: not done, trying again does no harm; {@code retryAfter} of 0 is no advice. */
  void reject(String requestId, double retryAfter);

  /** Final answer: failed, perhaps with effect. */
  void fail(String requestId);

  /** Asks for a timer event with this token. */
  void scheduleTimer(long token, double delay);

  /** Subscribes to changes of the server list, or stops. */
  void subscribe(boolean on);

  /** Closes the idle connections to a server. */
  void closeIdleConnections(long server);
}
