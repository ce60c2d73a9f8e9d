package shalepaddle.engine;

import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Log;
import shalepaddle.loop.Timers;
import shalepaddle.membership.MemberSource;
import shalepaddle.model.Outcome;
import shalepaddle.policy.RoutingActions;

/**
 * Carries out the policy's decisions. Sends nothing to servers while observations of another
 * process are replayed. Owned by the event loop's thread.
 */
final class PolicyActions implements RoutingActions {
  private final Timers timers;
  private final EngineDrain drain;
  private final FlightRecorder recorder;
  private final Log log;
  private PolicyEventLoop policy;
  private ExchangeLifecycle exchanges;
  private AttemptLifecycle attempts;
  private Upstream upstream;
  private MemberSource memberSource;
  private boolean isReplaying;

  PolicyActions(Timers timers, EngineDrain drain, FlightRecorder recorder, Log log) {
    this.timers = timers;
    this.drain = drain;
    this.recorder = recorder;
    this.log = log;
  }

  /** Sets the objects that carry out decisions. Called once, before the first event. */
  void connect(
      PolicyEventLoop policyEvents,
      ExchangeLifecycle exchangeLifecycle,
      AttemptLifecycle attemptLifecycle) {
    policy = policyEvents;
    exchanges = exchangeLifecycle;
    attempts = attemptLifecycle;
  }

  /** Sets the connections to servers and the source of the server list. */
  void connect(Upstream servers, MemberSource memberSource) {
    upstream = servers;
    this.memberSource = memberSource;
  }

  /** Runs a replay, during which nothing is sent to servers. */
  void replay(Runnable replay) {
    isReplaying = true;
    try {
      replay.run();
    } finally {
      isReplaying = false;
    }
  }

  @Override
  public void send(String requestId, long server, double writeWithinSeconds) {
    if (isReplaying) {
      return;
    }
    Exchange exchange = exchanges.find(requestId);
    if (exchange == null) {
      log.writeLine("policy decision ignored: send for unknown request " + requestId);
      return;
    }
    attempts.send(exchange, server, writeWithinSeconds);
  }

  @Override
  public void held(String requestId) {
    recorder.record(Event.REQUEST_HELD, requestId);
  }

  @Override
  public void cancel(String requestId, int attemptNumber) {
    Exchange exchange = exchanges.find(requestId);
    if (exchange != null && attemptNumber < exchange.attempts().size()) {
      attempts.withdraw(exchange.attempts().get(attemptNumber), Outcome.Result.CANCELLED);
    }
  }

  @Override
  public void reject(String requestId, double retryAfterSeconds) {
    long retryAfterMillis = Math.round(retryAfterSeconds * 1e3);
    recorder.record(Event.REJECTED_POLICY, requestId);
    Exchange exchange = exchanges.find(requestId);
    if (exchange != null) {
      exchanges.end(exchange, new Reply.Rejected(retryAfterMillis));
    }
  }

  @Override
  public void fail(String requestId) {
    Exchange exchange = exchanges.find(requestId);
    if (exchange != null) {
      exchanges.fail(exchange);
    }
  }

  @Override
  public void scheduleTimer(long token, double delaySeconds) {
    if (drain.isClosed()) {
      return;
    }
    timers.runNoEarlierThan(
        (long) (delaySeconds * 1e9),
        () -> policy.post((router, now) -> router.onTimer(now, token)));
  }

  @Override
  public void subscribe(boolean isSubscribed) {
    if (isSubscribed) {
      memberSource.follow();
    } else {
      memberSource.stop();
    }
  }

  @Override
  public void closeIdleConnections(long server) {
    if (!isReplaying) {
      upstream.closeIdle(server);
    }
  }
}
