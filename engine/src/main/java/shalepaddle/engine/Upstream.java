package shalepaddle.engine;

/** The connections to cache servers. All methods are called on the event loop's thread. */
public interface Upstream {
  /**
   * Writes an attempt to its server as soon as there is a connection for it. The {@link Dispatcher}
   * is notified of its end once, possibly before this returns.
   */
  void send(Attempt attempt);

  /**
   * Stops waiting for an attempt, of which the dispatcher is not notified any more. One that is not
   * written yet is never written.
   *
   * @param overdue whether the server has not answered it in time
   */
  void withdraw(Attempt attempt, boolean overdue);

  /** Closes the idle connections to a server. */
  void closeIdle(long server);
}
