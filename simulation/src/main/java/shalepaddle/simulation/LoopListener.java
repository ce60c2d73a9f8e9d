package shalepaddle.simulation;

import shalepaddle.loop.LoopClock;
import shalepaddle.node.LoadBalancer;

/** Reports stalls and turns of an event loop to its load balancer, and rethrows task failures. */
final class LoopListener implements LoopClock.Listener {
  /**
   * The load balancer to report to. It is set after its creation, because its constructor needs the
   * clock, and the clock needs this listener.
   */
  LoadBalancer balancer;

  @Override
  public void onStall(long stallNanos) {
    if (balancer != null) {
      balancer.recordStall(stallNanos);
    }
  }

  @Override
  public void onTurnEnd(long startNanos, long endNanos) {
    balancer.recordLoopTurn(startNanos, endNanos);
  }

  @Override
  public void onTaskFailure(RuntimeException cause) {
    throw cause;
  }
}
