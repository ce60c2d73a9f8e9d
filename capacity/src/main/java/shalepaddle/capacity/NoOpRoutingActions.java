package shalepaddle.capacity;

import shalepaddle.policy.RoutingActions;

/** Ignores all actions of a hollow node; subclasses override those that a simulation observes. */
abstract class NoOpRoutingActions implements RoutingActions {
  @Override
  public void send(String requestId, long server, double withinSeconds) {}

  @Override
  public void cancel(String requestId, int attempt) {}

  @Override
  public void reject(String requestId, double retryAfterSeconds) {}

  @Override
  public void fail(String requestId) {}

  @Override
  public void scheduleTimer(long token, double delaySeconds) {}

  @Override
  public void subscribe(boolean isSubscribed) {}

  @Override
  public void closeIdleConnections(long server) {}
}
