package shalepaddle.engine;

import java.util.ArrayDeque;
import java.util.List;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Observation;
import shalepaddle.policy.RequestRouter;

/**
 * The queue of events towards the policy. An event that is posted while the policy handles another
 * one waits until that is done, so that the policy is never called from within one of its calls.
 *
 * <p>Owned by the event loop's thread, on which every event is handled before the outermost {@link
 * #post} returns.
 */
final class PolicyEventLoop {
  /** One event, applied to the policy. */
  @FunctionalInterface
  interface PolicyEvent {
    /**
     * Notifies the policy.
     *
     * @param nowSeconds the node's time, in seconds since 1970
     */
    void apply(RequestRouter router, double nowSeconds);
  }

  private final RequestRouter router;
  private final Clock clock;
  private final Log log;
  private final ArrayDeque<PolicyEvent> events = new ArrayDeque<>();
  private boolean handling;
  private Runnable failureHandler = () -> {};

  PolicyEventLoop(RequestRouter router, Clock clock, Log log) {
    this.router = router;
    this.clock = clock;
    this.log = log;
  }

  /** Sets what is run after an event that the policy has failed on. */
  void onFailure(Runnable handler) {
    failureHandler = handler;
  }

  /** Handles an event, and then those that the policy's own actions cause. */
  void post(PolicyEvent event) {
    events.add(event);
    if (handling) {
      return;
    }
    handling = true;
    try {
      for (PolicyEvent next = events.poll(); next != null; next = events.poll()) {
        handle(next);
      }
    } finally {
      handling = false;
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
    log.failure("decision module", cause);
  }

  /**
   * Replays what another process of this node has observed, before the first event.
   *
   * @param known the server list as it is known
   * @param past observations in the order in which they ended
   */
  void replay(MembershipUpdate known, List<Observation> past) {
    try {
      WarmStartLog.replay(router, known, WarmStartLog.inTime(clock.now(), past));
    } catch (RuntimeException e) {
      // The node starts with what was replayed before the failure.
      log.failure("decision module, replaying", e);
    }
  }

  /** Servers in the list; only those that get no requests now where {@code avoidedOnly}. */
  int serverCount(boolean avoidedOnly) {
    return router.serverCount(avoidedOnly);
  }
}
