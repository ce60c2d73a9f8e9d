package shalepaddle.capacity;

import shalepaddle.policy.RoutingActions;

/**
 * Carries out nothing of what a hollow node decides; for what a play looks at, see who extends it.
 */
abstract class HollowActions implements RoutingActions {
  @Override
  public void send(String requestId, long server, double within) {}

  @Override
  public void cancel(String requestId, int attempt) {}

  @Override
  public void reject(String requestId, double retryAfter) {}

  @Override
  public void fail(String requestId) {}

  @Override
  public void scheduleTimer(long token, double delay) {}

  @Override
  public void subscribe(boolean on) {}

  @Override
  public void closeIdleConnections(long server) {}
}
