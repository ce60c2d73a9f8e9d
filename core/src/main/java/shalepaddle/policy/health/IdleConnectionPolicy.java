package shalepaddle.policy.health;

/**
 * Closes idle connections while running servers refuse new ones: servers accept a limited number of
 * connections, which other load balancers need too.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router.
 */
public final class IdleConnectionPolicy {
  /**
   * How long after a refused connection idle connections are closed; about the time between changes
   * of the fleet's size.
   */
  private static final double CLOSING_SECONDS = 300;

  private double closingUntilSeconds = Double.NEGATIVE_INFINITY;

  /** Records that a running server has refused a connection. */
  public void onConnectionRefused(double nowSeconds) {
    closingUntilSeconds = nowSeconds + CLOSING_SECONDS;
  }

  /**
   * Decides, after an attempt at a server has ended, whether the caller must close the idle
   * connections to it. If so, also records in the server's health that they are closed.
   *
   * @return whether the server's idle connections must be closed now
   */
  public boolean closesIdleConnections(double nowSeconds, ServerHealth server) {
    boolean mustClose = nowSeconds < closingUntilSeconds && server.inFlight() == 0;
    if (mustClose) {
      server.onConnectionsClosed();
    }
    return mustClose;
  }
}
