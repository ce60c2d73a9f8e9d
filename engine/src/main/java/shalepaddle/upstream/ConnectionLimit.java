package shalepaddle.upstream;

import shalepaddle.loop.LoopClock;

/**
 * How many connections one cache server accepts, as far as is known: it is lowered when the server
 * rejects a connection, and recovers by one after each recovery period.
 *
 * <p>The recovery prevents a network that breaks new connections now and then from being taken for
 * the server's limit: all requests would share one connection, where they wait for one another and
 * one reset ends them all. Cost: where the limit is real, a connection is rejected every so often.
 *
 * <p>Owned by its pool, on the event loop.
 */
final class ConnectionLimit {
  /** Recovery period after a connection did not come up. */
  private static final long CONNECT_FAILED_RECOVERY_NANOS = 2_000_000_000L;

  /**
   * The same where the server rejected the connection with a message: no request is lost by it, and
   * the capacity may be in use by a process that is about to end.
   */
  private static final long REJECTED_RECOVERY_NANOS = 250_000_000L;

  private final LoopClock clock;
  private final ConnectionBudget budget;
  private final int maxConnections;

  /** Lowered by failures, raised again by one after each recovery time. */
  private int observedLimit;

  private long changedAtNanos;
  private long recoveryNanos = CONNECT_FAILED_RECOVERY_NANOS;

  /** No limit is known but the configured maximum. */
  ConnectionLimit(LoopClock clock, ConnectionBudget budget, int maxConnections) {
    this.clock = clock;
    this.budget = budget;
    this.maxConnections = maxConnections;
    this.observedLimit = maxConnections;
  }

  /** Connections that this process may have to the server now; at least one. */
  int current() {
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

  /** A connection was not established while {@code usable} others can be used. */
  void connectFailed(int usable) {
    lower(Math.max(Math.max(1, usable), current() - 1), CONNECT_FAILED_RECOVERY_NANOS);
  }

  /** The server rejected a connection while {@code usable} others can be used. */
  void connectionRejected(int usable) {
    lower(Math.max(1, Math.min(current(), usable)), REJECTED_RECOVERY_NANOS);
  }

  private void lower(int connections, long nanos) {
    observedLimit = connections;
    changedAtNanos = clock.refresh();
    recoveryNanos = nanos;
  }
}
