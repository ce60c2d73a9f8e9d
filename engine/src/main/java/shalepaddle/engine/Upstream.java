package shalepaddle.engine;

/** The connections to cache servers. All methods are called on the event loop's thread. */
public interface Upstream {
  /**
   * Writes an attempt to its server as soon as a connection is available. The {@link Dispatcher} is
   * notified once when the attempt ends, possibly before this returns.
   */
  void send(Attempt attempt);

  /**
   * Stops waiting for an attempt. The dispatcher is not notified of its end, and an attempt that is
   * not written yet is never written.
   *
   * @param isOverdue whether the server has not answered in time
   */
  void withdraw(Attempt attempt, boolean isOverdue);

  /** Closes the idle connections to a server. */
  void closeIdle(long server);
}
