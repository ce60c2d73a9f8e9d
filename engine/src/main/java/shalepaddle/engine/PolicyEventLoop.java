package shalepaddle.engine;

import java.util.ArrayDeque;
import java.util.List;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Observation;
import shalepaddle.policy.RequestRouter;

/**
 * Queues events for the policy. An event that is posted while the policy handles another event
 * waits until the first is handled, so that the policy is never called reentrantly.
 *
 * <p>Owned by the event loop's thread. Every event is handled before the outermost {@link #post}
 * returns.
 */
final class PolicyEventLoop {
  /** An event for the policy. */
  @FunctionalInterface
  interface PolicyEvent {
    /**
     * Notifies the policy of the event.
     *
     * @param nowSeconds the node's time, in seconds since 1970
     */
    void apply(RequestRouter router, double nowSeconds);
  }

  private final RequestRouter router;
  private final Clock clock;
  private final Log log;
  private final ArrayDeque<PolicyEvent> events = new ArrayDeque<>();
  private boolean isHandling;
  private Runnable failureHandler = () -> {};

  PolicyEventLoop(RequestRouter router, Clock clock, Log log) {
    this.router = router;
    this.clock = clock;
    this.log = log;
  }

  /** Sets the handler that is run after the policy has thrown an exception. */
  void onFailure(Runnable handler) {
    failureHandler = handler;
  }

  /** Handles an event and all events that are posted meanwhile. */
  void post(PolicyEvent event) {
    events.add(event);
    if (isHandling) {
      return;
    }
    isHandling = true;
    try {
      for (PolicyEvent nextEvent = events.poll(); nextEvent != null; nextEvent = events.poll()) {
        handle(nextEvent);
      }
    } finally {
      isHandling = false;
    }
  }

  private void handle(PolicyEvent event) {
    try {
      event.apply(router, clock.now());
    } catch (RuntimeException | StackOverflowError e) {
      logFailure(e);
      failureHandler.run();
    }
  }

  /** Logs an exception of the policy. */
  void logFailure(Throwable cause) {
    log.writeFailure("policy", cause);
  }

  /**
   * Replays the observations of another process of this node. Called before the first event.
   *
   * @param lastUpdate the last known server list
   * @param observations the observations, in the order in which their attempts ended
   */
  void replay(MembershipUpdate lastUpdate, List<Observation> observations) {
    try {
      WarmStartLog.replay(router, lastUpdate, WarmStartLog.rebaseTimes(clock.now(), observations));
    } catch (RuntimeException e) {
      // The node starts with the observations that were replayed before the failure.
      log.writeFailure("policy, while replaying observations", e);
    }
  }

  /** The number of listed servers; if {@code avoidedOnly}, of those that get no requests now. */
  int serverCount(boolean avoidedOnly) {
    return router.serverCount(avoidedOnly);
  }
}
