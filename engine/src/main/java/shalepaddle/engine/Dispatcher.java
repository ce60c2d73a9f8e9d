package shalepaddle.engine;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.function.Supplier;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.coalescing.CoalescingSnapshot;
import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.FlightRecorder;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;
import shalepaddle.membership.MemberSource;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Observation;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings;
import shalepaddle.overload.OverloadControl;
import shalepaddle.policy.RequestRouter;

/**
 * Stands between clients' connections, the policy and servers' connections, and joins the classes
 * that do the work: {@link RequestIntake} accepts requests, {@link ExchangeLifecycle} and {@link
 * AttemptLifecycle} follow them, {@link PolicyEventLoop} notifies the policy and {@link
 * PolicyActions} carries out what it decides.
 *
 * <p>All methods are called on the event loop's thread, which owns all state behind them.
 */
public final class Dispatcher {
  private final EventLoop loop;
  private final LoopClock loopClock;
  private final Timers timers;
  private final Log log;
  private final RequestMetrics metrics = new RequestMetrics();
  private final FlightRecorder recorder;
  private final InvariantGuard guard;
  private final RequestSettings requestSettings;
  private final EngineDrain drain;
  private final PolicyActions actions;
  private final PolicyEventLoop policy;
  private final AnswerDelivery answers;
  private final AttemptLifecycle attempts;
  private final ExchangeLifecycle exchanges;
  private final RequestQueue queue;
  private final RequestIntake intake;

  /** Null where reads are not coalesced. */
  private final CoalescedReads reads;

  /** Where the server list comes from, from {@link #start} on. */
  private MemberSource members;

  /**
   * A dispatcher that has not started.
   *
   * @param settings what the policy decides by
   * @param seed of the policy's random numbers
   * @param loop the event loop that owns it
   * @param loopClock that loop's clock
   * @param clock the node's time
   * @param overload admission by the node's own load
   * @param coalescing whether and how reads share an answer
   */
  public Dispatcher(
      Settings settings,
      long seed,
      EventLoop loop,
      LoopClock loopClock,
      Clock clock,
      Log log,
      OverloadControl overload,
      CoalescingConfig coalescing) {
    this.loop = loop;
    this.loopClock = loopClock;
    this.log = log;
    long tickNanos = RequestSettings.tickNanos(settings);
    recorder = new FlightRecorder(loopClock::now);
    guard = new InvariantGuard(recorder, log, loopClock::now);
    timers = new Timers(loop, loopClock, log, tickNanos);
    requestSettings = new RequestSettings(settings);
    drain = new EngineDrain(loopClock, timers, tickNanos);
    actions = new PolicyActions(timers, drain, recorder, log);
    policy = new PolicyEventLoop(new RequestRouter(settings, seed, actions), clock, log);
    answers = new AnswerDelivery(recorder, metrics, log);
    attempts = new AttemptLifecycle(loopClock, policy, recorder, metrics);
    AttemptDeadlines deadlines =
        new AttemptDeadlines(timers, tickNanos, attempts::timeOut, attempts::returnUnwritten);
    exchanges =
        new ExchangeLifecycle(
            loopClock,
            policy,
            attempts,
            deadlines,
            guard,
            recorder,
            answers,
            overload,
            requestSettings);
    queue = new RequestQueue(loop, loopClock, overload, exchanges::route, exchanges::rejectQueued);
    reads = coalescing.enabled() ? newCoalescedReads(settings, coalescing) : null;
    intake =
        new RequestIntake(loop, loopClock, drain, exchanges, reads, overload, recorder, metrics);
    connect(deadlines);
    metrics.registerServices(requestSettings.serviceNames());
  }

  private CoalescedReads newCoalescedReads(Settings settings, CoalescingConfig coalescing) {
    return new CoalescedReads(exchanges, answers, drain, loopClock, timers, settings, coalescing);
  }

  /** Joins those parts that call each other in both directions. */
  private void connect(AttemptDeadlines deadlines) {
    attempts.connect(deadlines, exchanges);
    exchanges.connect(queue, reads);
    actions.connect(policy, exchanges, attempts);
    policy.onFailure(new FailedDecisionRecovery(loop, loopClock, exchanges)::start);
  }

  /**
   * Starts: decisions are carried out by the upstream, and changes of the server list come from the
   * source. The list as it was known last is given next, by {@link #membership}.
   */
  public void start(Upstream upstream, MemberSource memberSource) {
    members = memberSource;
    attempts.connect(upstream);
    actions.connect(upstream, memberSource);
  }

  /** From now on observed outcomes are also recorded in this log. */
  public void recordObservationsIn(WarmStartLog warmStartLog) {
    attempts.recordObservationsIn(warmStartLog);
  }

  /**
   * Lets the policy learn from what another process of this node has observed, before {@link
   * #start}.
   *
   * @param known the server list as it is known
   * @param past observations in the order in which they ended
   */
  public void replay(MembershipUpdate known, List<Observation> past) {
    actions.replay(() -> policy.replay(known, past));
  }

  /**
   * Replaces the settings for new requests. Open and queued requests keep the settings under which
   * they were accepted; queued ones are routed first, since the queue is ordered by the old tiers.
   */
  public void retune(Settings next) {
    queue.retune(next);
    requestSettings.replace(next);
    metrics.registerServices(requestSettings.serviceNames());
    if (reads != null) {
      reads.retune(next);
    }
    policy.post((router, now) -> router.updateSettings(next));
  }

  /**
   * Limits the deadlines of new requests to this time, and answers open requests shortly before it,
   * so that none is left without an answer when the process is killed.
   *
   * @param nanos the time, by the loop's clock
   */
  public void drainBy(long nanos) {
    drain.drainBy(nanos, exchanges::answerAll);
  }

  /**
   * Ends: every open request gets its one answer, a rejection where none of its attempts can have
   * run. What is submitted from now on is rejected.
   */
  public void close() {
    if (drain.close()) {
      queue.close();
      exchanges.answerAll();
      members.stop();
      timers.close();
    }
  }

  // What clients' connections call.

  /** Accepts a request of this process, sent now; see {@link #submit(Call, long)}. */
  public Submission submit(Call call) {
    return submitLocal(call, loopClock.now());
  }

  /** Accepts a request of this process that another thread submitted at that time. */
  Submission submitLocal(Call call, long sentAt) {
    return intake.submitLocal(call, sentAt);
  }

  /**
   * Accepts a client's request, whose time counts from {@code sentAt}.
   *
   * @param sentAt the earliest time at which its client can have sent it, by the loop's clock
   * @return null if another open request has its id; its sink is not called then
   */
  public Submission submit(Call call, long sentAt) {
    return intake.submitRemote(call, sentAt);
  }

  /** The client has closed its connection, or does not want the answer any more. */
  public void clientDisconnected(Submission submission) {
    if (submission instanceof Exchange exchange) {
      exchanges.clientDisconnected(exchange);
    } else if (submission instanceof CoalescedRead read) {
      reads.leave(read);
    }
  }

  /** Calls a sink; an exception of it is logged. */
  void deliver(Call call, Reply reply) {
    answers.deliver(call, reply);
  }

  /**
   * By how much an answer has to be ready before it is due, in nanoseconds, since the event loop
   * has to be expected to stall; 0 where it does not.
   */
  public long stallAllowanceNanos() {
    return AnswerMargin.allowance(loopClock.expectedStallNanos());
  }

  // What servers' connections call.

  /** The last byte of an attempt was handed to the socket: from now on it may run. */
  public void attemptWritten(Attempt attempt) {
    attempts.written(attempt);
  }

  /**
   * Whether an attempt that has provably not run may be written once more to its server: it then
   * counts as one more of its request.
   */
  public boolean mayRewrite(Attempt attempt) {
    return attempts.prepareRewrite(attempt);
  }

  /** An attempt ended without a response, or with one that answers nobody. */
  public void attemptEnded(Attempt attempt, Outcome.Result result) {
    attempts.end(attempt, result);
  }

  /** A complete response has come. */
  public void responseReceived(Attempt attempt, ServerReply reply) {
    attempts.responseReceived(attempt, reply);
  }

  /**
   * The head of a large value has come for an attempt, which ends with that.
   *
   * @return false if nobody wants the value
   */
  public boolean responseReceived(Attempt attempt, LargeReply reply, ValueSource source) {
    return attempts.responseReceived(attempt, reply, source);
  }

  /** An attempt that has not been written may not be written any more; its server is not blamed. */
  public void returnUnwritten(Attempt attempt) {
    attempts.returnUnwritten(attempt);
  }

  /** How long after a server is known to be draining it may still be sent requests. */
  public long drainGraceNanos() {
    return requestSettings.drainGraceNanos();
  }

  // What the node calls.

  /** The server list or a change of it, which the upstream knows already. */
  public void membership(MembershipUpdate update) {
    policy.post((router, now) -> router.onMembershipUpdate(now, update));
  }

  /** An operator excludes a server, or includes it again. */
  public void exclude(long server, boolean excluded) {
    policy.post((router, now) -> router.setExcluded(now, server, excluded));
  }

  /** The event loop has stalled until now, for a time in nanoseconds. */
  public void onStall(long nanos) {
    recorder.record(Event.LOOP_STALLED, null, lengthOf(nanos));
    policy.post((router, now) -> router.onEventLoopStall(nanos / 1e9));
  }

  /** A coarse length: details of events are constants, so that recording allocates nothing. */
  private static String lengthOf(long nanos) {
    if (nanos < 100_000_000L) {
      return "under 0.1 s";
    }
    if (nanos < 300_000_000L) {
      return "0.1 to 0.3 s";
    }
    return nanos < 1_000_000_000L ? "0.3 to 1 s" : "over 1 s";
  }

  /** Requests that have not ended, or of which an attempt is in flight. */
  public int openRequests() {
    return exchanges.open().size() + (reads == null ? 0 : reads.size());
  }

  /** Nanoseconds for which the oldest request in the queue has waited, 0 if there is none. */
  public long oldestQueuedNanos() {
    return queue.oldestQueuedNanos();
  }

  /** Servers in the list; only those that get no requests now where {@code avoidedOnly}. */
  public int serverCount(boolean avoidedOnly) {
    return policy.serverCount(avoidedOnly);
  }

  /** Counters of request coalescing, null where reads are not coalesced. */
  public CoalescingSnapshot coalescingSnapshot() {
    return reads == null ? null : reads.snapshot();
  }

  // What its parts share with connections.

  /** Counters of requests and attempts. */
  public RequestMetrics metrics() {
    return metrics;
  }

  /** Where events of requests and of clients' connections are recorded. */
  public FlightRecorder recorder() {
    return recorder;
  }

  /** The checks that everything sent, answered or closed passes. */
  public InvariantGuard guard() {
    return guard;
  }

  /** The clock of the event loop. */
  public LoopClock clock() {
    return loopClock;
  }

  /** The event loop that owns all of this. */
  public EventLoop loop() {
    return loop;
  }

  /** The timers of the event loop. */
  public Timers timers() {
    return timers;
  }

  /** Logs an unexpected exception. */
  public void reportFailure(String where, Throwable cause) {
    log.failure(where, cause);
  }

  /** Writes a line to the node's log, which is made only if it is written. */
  public void log(Supplier<String> text) {
    log.line(text);
  }

  /** Writes a line to the node's log. */
  public void log(String text) {
    log.line(text);
  }
}
