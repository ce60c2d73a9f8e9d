package shalepaddle.testkit;

import java.util.ArrayDeque;

/**
 * The warm-up of a {@link StandInServer} after a cold start: its reduced capacity, and its collapse
 * under overload. A server that was never started cold has its full capacity.
 */
final class WarmUp {
  /**
   * A request received during a warm-up, which counts towards the overload that makes the server
   * collapse.
   */
  private record ReceivedWork(long atNanos, double workSeconds) {}

  private final LoopbackTransport transport;
  private final ServerModel model;
  private final ArrayDeque<ReceivedWork> recentWork = new ArrayDeque<>();
  private long startedAtNanos;
  private boolean hasStartedCold;
  private boolean collapsed;

  WarmUp(LoopbackTransport transport, ServerModel model) {
    this.transport = transport;
    this.model = model;
  }

  /** Starts a warm-up now, and forgets an earlier collapse. */
  void start() {
    startedAtNanos = transport.nowNanos();
    hasStartedCold = true;
    collapsed = false;
    recentWork.clear();
  }

  /** Whether the server collapsed since its last cold start. */
  boolean collapsed() {
    return collapsed;
  }

  /** The share of the server's capacity that is available now. */
  double capacityShare() {
    if (!hasStartedCold || model.warmUpSeconds() <= 0) {
      return 1;
    }
    double secondsSinceStart = (transport.nowNanos() - startedAtNanos) / 1e9;
    return Math.min(
        1,
        model.coldCapacityShare()
            + (1 - model.coldCapacityShare()) * secondsSinceStart / model.warmUpSeconds());
  }

  /**
   * Records the work of a request just received. Collapses if the work received within the window
   * exceeds a multiple of the current capacity while the server is warming up.
   *
   * @param workSeconds processing time of the request at full capacity
   */
  void checkOverload(double workSeconds) {
    if (model.collapseCapacityMultiple() <= 0 || !hasStartedCold || capacityShare() >= 1) {
      return;
    }
    long nowNanos = transport.nowNanos();
    long windowNanos = (long) (model.collapseWindowSeconds() * 1e9);
    recentWork.add(new ReceivedWork(nowNanos, workSeconds));
    while (nowNanos - recentWork.peek().atNanos() > windowNanos) {
      recentWork.poll();
    }
    double receivedWorkSeconds = 0;
    for (ReceivedWork work : recentWork) {
      receivedWorkSeconds += work.workSeconds();
    }
    double capacitySeconds = model.workers() * capacityShare() * model.collapseWindowSeconds();
    if (nowNanos - startedAtNanos >= windowNanos
        && receivedWorkSeconds > model.collapseCapacityMultiple() * capacitySeconds) {
      collapsed = true;
    }
  }
}
