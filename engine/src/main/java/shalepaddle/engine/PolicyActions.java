package shalepaddle.engine;

import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Log;
import shalepaddle.loop.Timers;
import shalepaddle.membership.MemberSource;
import shalepaddle.model.Outcome;
import shalepaddle.policy.RoutingActions;

/**
 * Carries out what the policy decides. While observations of another process are replayed, nothing
 * goes to servers. Owned by the event loop's thread.
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
  private MemberSource members;
  private boolean replaying;

  PolicyActions(Timers timers, EngineDrain drain, FlightRecorder recorder, Log log) {
    this.timers = timers;
    this.drain = drain;
    this.recorder = recorder;
    this.log = log;
  }

  /** Joins it with what decisions are carried out by; once, before the first event. */
  void connect(
      PolicyEventLoop policyEvents,
      ExchangeLifecycle exchangeLifecycle,
      AttemptLifecycle attemptLifecycle) {
    policy = policyEvents;
    exchanges = exchangeLifecycle;
    attempts = attemptLifecycle;
  }

  /** From now on there are servers and a source of their list. */
  void connect(Upstream servers, MemberSource memberSource) {
    upstream = servers;
    members = memberSource;
  }

  /** Runs a replay, during which nothing is sent to servers. */
  void replay(Runnable replay) {
    replaying = true;
    try {
      replay.run();
    } finally {
      replaying = false;
    }
  }

  @Override
  public void send(String requestId, long server, double within) {
    if (replaying) {
      return;
    }
    Exchange exchange = exchanges.find(requestId);
    if (exchange == null) {
      log.line("send for unknown request " + requestId);
      return;
    }
    attempts.send(exchange, server, within);
  }

  @Override
  public void cancel(String requestId, int number) {
    Exchange exchange = exchanges.find(requestId);
    if (exchange != null && number < exchange.attempts().size()) {
      attempts.withdraw(exchange.attempts().get(number), Outcome.Result.CANCELLED);
    }
  }

  @Override
  public void reject(String requestId, double retryAfter) {
    long retryAfterMillis = Math.round(retryAfter * 1e3);
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
  public void scheduleTimer(long token, double delay) {
    if (drain.isClosed()) {
      return;
    }
    timers.runNoEarlierThan(
        (long) (delay * 1e9), () -> policy.post((router, now) -> router.onTimer(now, token)));
  }

  @Override
  public void subscribe(boolean on) {
    if (on) {
      members.follow();
    } else {
      members.stop();
    }
  }

  @Override
  public void closeIdleConnections(long server) {
    if (!replaying) {
      upstream.closeIdle(server);
    }
  }
}
