package shalepaddle.policy.health;

/**
 * Closes connections that are not in use while running servers refuse new ones: their connections
 * are a limited resource that other load balancers need too.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router.
 */
public final class IdleConnectionPolicy {
  /** How long connections are closed after use: about as long as a fleet keeps its size. */
  private static final double CLOSING_SECONDS = 300;

  private double closingUntilSeconds = Double.NEGATIVE_INFINITY;

  /** A running server has refused a connection. */
  public void onConnectionRefused(double nowSeconds) {
    closingUntilSeconds = nowSeconds + CLOSING_SECONDS;
  }

  /**
   * An attempt at a server has ended. If this returns true, it has also marked the server as
   * unconnected, and the caller must close the connections.
   *
   * @return whether its idle connections must be closed now
   */
  public boolean closesIdle(double nowSeconds, ServerHealth server) {
    boolean closes = nowSeconds < closingUntilSeconds && server.inFlight() == 0;
    if (closes) {
      server.onConnectionsClosed();
    }
    return closes;
  }
}
