package shalepaddle.upstream;

import shalepaddle.loop.LoopClock;

/**
 * The observed limit on the number of connections to one cache server. It is lowered when a
 * connection fails or the server rejects one, and raised by one after each recovery period.
 *
 * <p>The recovery prevents sporadic connection failures of the network from being taken for a limit
 * of the server: all requests would then share one connection, where they wait for one another and
 * one reset ends them all. Cost: if the limit is real, a connection is rejected after each period.
 *
 * <p>Owned by the server's pool, on the event loop.
 */
final class ConnectionLimit {
  /** Recovery period after a connection could not be established. */
  private static final long CONNECT_FAILED_RECOVERY_NANOS = 2_000_000_000L;

  /**
   * Recovery period after the server rejected a connection with a reply. It is shorter, since no
   * request is lost by a rejection, and since the capacity may be in use by a process that is about
   * to end.
   */
  private static final long REJECTED_RECOVERY_NANOS = 250_000_000L;

  private final LoopClock clock;
  private final ConnectionBudget budget;
  private final int maxConnections;

  /** The limit, which failures lower and which rises by one after each recovery period. */
  private int observedLimit;

  private long changedAtNanos;
  private long recoveryNanos = CONNECT_FAILED_RECOVERY_NANOS;

  /** Creates a limit that starts at the configured maximum. */
  ConnectionLimit(LoopClock clock, ConnectionBudget budget, int maxConnections) {
    this.clock = clock;
    this.budget = budget;
    this.maxConnections = maxConnections;
    this.observedLimit = maxConnections;
  }

  /** The number of connections that this process may have to the server now; at least one. */
  int currentLimit() {
    while (observedLimit < maxConnections && clock.refresh() - changedAtNanos > recoveryNanos) {
      observedLimit++;
      changedAtNanos += recoveryNanos;
    }
    return Math.min(observedLimit, budget.share(maxConnections));
  }

  /** This process's share of the configured maximum. */
  int share() {
    return budget.share(maxConnections);
  }

  /**
   * Lowers the limit by one after a connection could not be established, but not below the number
   * of usable connections.
   */
  void connectFailed(int usableConnections) {
    lower(
        Math.max(Math.max(1, usableConnections), currentLimit() - 1),
        CONNECT_FAILED_RECOVERY_NANOS);
  }

  /** Lowers the limit to the usable connections after the server rejected a further connection. */
  void connectionRejected(int usableConnections) {
    lower(Math.max(1, Math.min(currentLimit(), usableConnections)), REJECTED_RECOVERY_NANOS);
  }

  private void lower(int newLimit, long newRecoveryNanos) {
    observedLimit = newLimit;
    changedAtNanos = clock.refresh();
    recoveryNanos = newRecoveryNanos;
  }
}
