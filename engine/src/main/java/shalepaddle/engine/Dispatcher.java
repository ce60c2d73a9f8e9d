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
 * The entry point of the engine for client connections, server connections and the node. Delegates
 * to the classes that do the work: {@link RequestIntake} accepts requests, {@link
 * ExchangeLifecycle} and {@link AttemptLifecycle} track them, {@link PolicyEventLoop} notifies the
 * policy and {@link PolicyActions} carries out the policy's decisions.
 *
 * <p>All methods are called on the event loop's thread, which owns all state of the engine.
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

  /** Null if reads are not coalesced. */
  private final CoalescedReads reads;

  /** The source of the server list, null before {@link #start}. */
  private MemberSource memberSource;

  /**
   * Creates a dispatcher; {@link #start} must be called next.
   *
   * @param settings the initial settings of the policy and the engine
   * @param seed the seed of the policy's random numbers
   * @param loop the event loop that owns the dispatcher
   * @param loopClock the clock of that loop
   * @param clock the node's time
   * @param overload admits requests by the node's own load
   * @param coalescing whether and how reads are coalesced
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
    attempts = new AttemptLifecycle(loopClock, timers, policy, recorder, metrics, log);
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
    reads = coalescing.isEnabled() ? newCoalescedReads(settings, coalescing) : null;
    intake =
        new RequestIntake(loop, loopClock, drain, exchanges, reads, overload, recorder, metrics);
    connect(deadlines);
    metrics.registerServices(requestSettings.serviceNames());
  }

  private CoalescedReads newCoalescedReads(Settings settings, CoalescingConfig coalescing) {
    return new CoalescedReads(exchanges, answers, drain, loopClock, timers, settings, coalescing);
  }

  /** Connects the classes that call each other in both directions. */
  private void connect(AttemptDeadlines deadlines) {
    attempts.connect(deadlines, exchanges);
    exchanges.connect(queue, reads);
    actions.connect(policy, exchanges, attempts);
    policy.onFailure(new FailedDecisionRecovery(loop, loopClock, exchanges)::start);
  }

  /**
   * Starts the dispatcher with the connections to servers and the source of the server list. The
   * last known list must be passed to {@link #onMembershipUpdate} next.
   */
  public void start(Upstream upstream, MemberSource memberSource) {
    this.memberSource = memberSource;
    attempts.connect(upstream);
    actions.connect(upstream, memberSource);
  }

  /** Sets the log in which observed outcomes are recorded from now on. */
  public void recordObservationsIn(WarmStartLog warmStartLog) {
    attempts.recordObservationsIn(warmStartLog);
  }

  /**
   * Replays the observations of another process of this node to the policy. Called before {@link
   * #start}.
   *
   * @param lastUpdate the last known server list
   * @param observations the observations, in the order in which their attempts ended
   */
  public void replay(MembershipUpdate lastUpdate, List<Observation> observations) {
    actions.replay(() -> policy.replay(lastUpdate, observations));
  }

  /**
   * Replaces the settings for new requests. Open and queued requests keep the settings under which
   * they were accepted; queued requests are routed first, since the queue is ordered by the old
   * tiers.
   */
  public void updateSettings(Settings newSettings) {
    queue.updateSettings(newSettings);
    requestSettings.replace(newSettings);
    metrics.registerServices(requestSettings.serviceNames());
    if (reads != null) {
      reads.updateSettings(newSettings);
    }
    policy.post((router, now) -> router.updateSettings(newSettings));
  }

  /**
   * Limits the deadlines of new requests to the given time, and answers open requests shortly
   * before it, so that every request is answered before the process is killed.
   *
   * @param answerByNanos the given time, by the loop's clock
   */
  public void drainBy(long answerByNanos) {
    drain.drainBy(answerByNanos, exchanges::answerAll);
  }

  /**
   * Closes the engine: answers every open request, with a rejection if none of its attempts can
   * have run, and rejects requests that are submitted from now on.
   */
  public void close() {
    if (drain.close()) {
      queue.close();
      exchanges.answerAll();
      memberSource.stop();
      timers.close();
    }
  }

  // Methods that client connections call.

  /** Accepts a request submitted now within this process; see {@link #submit(Call, long)}. */
  public Submission submit(Call call) {
    return submitLocal(call, loopClock.now());
  }

  /** Accepts a request that another thread of this process submitted at {@code sentAtNanos}. */
  Submission submitLocal(Call call, long sentAtNanos) {
    return intake.submitLocal(call, sentAtNanos);
  }

  /**
   * Accepts a client's request, whose time budget starts at {@code sentAtNanos}.
   *
   * @param sentAtNanos the earliest time at which the client can have sent the request, by the
   *     loop's clock
   * @return null if another open request has the same id, or one that has ended and may have run
   *     and must not run twice; the sink is not called then
   */
  public Submission submit(Call call, long sentAtNanos) {
    return intake.submitRemote(call, sentAtNanos);
  }

  /**
   * When a client's request must be answered, by the loop's clock: some time before its deadline,
   * to allow for stalls of the event loop, and before this process is killed.
   *
   * @param sentAtNanos the earliest time at which the client can have sent the request
   * @param budgetNanos how long the client waits from then on
   */
  public long latestAnswerNanos(long sentAtNanos, long budgetNanos) {
    return intake.latestAnswerNanos(sentAtNanos, budgetNanos);
  }

  /** Whether a client that gets no answer to a request may send it again in any case. */
  public boolean mayBeRepeated(Submission submission) {
    return !(submission instanceof Exchange exchange)
        || exchange.idempotency() == Settings.Idempotency.IDEMPOTENT;
  }

  /** Handles a client that closed its connection or cancelled its request. */
  public void clientDisconnected(Submission submission) {
    if (submission instanceof Exchange exchange) {
      exchanges.clientDisconnected(exchange);
    } else if (submission instanceof CoalescedRead read) {
      reads.clientDisconnected(read);
    }
  }

  /** Calls a sink and logs an exception that it throws. */
  void deliver(Call call, Reply reply) {
    answers.deliver(call, reply);
  }

  /**
   * How long before its deadline an answer must be ready, in nanoseconds, to allow for expected
   * stalls of the event loop; 0 if none is expected.
   */
  public long stallAllowanceNanos() {
    return AnswerMargin.allowanceNanos(loopClock.expectedStallNanos());
  }

  // Methods that server connections call.

  /**
   * Checks right before an attempt is written that its client has not closed its connection.
   * Otherwise the attempt must not be written; it is sent again later, or ends.
   */
  public boolean confirmClient(Attempt attempt) {
    return attempts.confirmClient(attempt);
  }

  /** Records that an attempt's last byte was handed to the socket: from now on it may run. */
  public void attemptWritten(Attempt attempt) {
    attempts.onWritten(attempt);
  }

  /**
   * Prepares an attempt that has provably not run for being written again to its server, if its
   * request has an attempt left. The rewrite counts as an attempt of the request.
   *
   * @return whether the attempt may be written again
   */
  public boolean prepareRewrite(Attempt attempt) {
    return attempts.prepareRewrite(attempt);
  }

  /** Ends an attempt without a response, or with one that does not answer the request. */
  public void attemptEnded(Attempt attempt, Outcome.Result result) {
    attempts.end(attempt, result);
  }

  /** Handles a complete response. */
  public void responseReceived(Attempt attempt, ServerReply reply) {
    attempts.responseReceived(attempt, reply);
  }

  /**
   * Handles a reply without a request id that may be a copy of an earlier one.
   *
   * @return whether the attempt has ended
   */
  public boolean unconfirmedReplyReceived(Attempt attempt, ServerReply reply) {
    return attempts.unconfirmedReplyReceived(attempt, reply);
  }

  /** Counts a connection to a server that has closed. */
  public void countServerClose(ServerClose reason) {
    recorder.count(
        switch (reason) {
          case INVALID_BYTES -> Event.SERVER_CLOSE_INVALID_BYTES;
          case DRAINED -> Event.SERVER_CLOSE_DRAINED;
          case REMOTE -> Event.SERVER_CLOSE_REMOTE;
        },
        1);
  }

  /** Counts a reply that is a copy of an earlier one. */
  public void countDuplicateReply() {
    recorder.count(Event.REPLY_DUPLICATE, 1);
  }

  /** Ends an attempt whose answer is known now, though no reply was received for it alone. */
  public void replyConfirmed(Attempt attempt, Outcome.Result result) {
    attempts.replyConfirmed(attempt, result);
  }

  /**
   * Handles the head of a large value, which ends its attempt.
   *
   * @return false if the value is not needed any more
   */
  public boolean responseReceived(Attempt attempt, LargeReply reply, ValueSource source) {
    return attempts.responseReceived(attempt, reply, source);
  }

  /** Withdraws an attempt that was not written; the outcome does not count against its server. */
  public void returnUnwritten(Attempt attempt) {
    attempts.returnUnwritten(attempt);
  }

  /** How long requests may still be sent to a server after it is known to be draining. */
  public long drainGraceNanos() {
    return requestSettings.drainGraceNanos();
  }

  // Methods that the node calls.

  /** Notifies the policy of the server list or a change of it, already applied by the upstream. */
  public void onMembershipUpdate(MembershipUpdate update) {
    policy.post((router, now) -> router.onMembershipUpdate(now, update));
  }

  /** Excludes a server by an operator's command, or includes it again. */
  public void setExcluded(long server, boolean isExcluded) {
    policy.post((router, now) -> router.setExcluded(now, server, isExcluded));
  }

  /** Handles a stall of the event loop that has just ended, of the given length. */
  public void onStall(long stallNanos) {
    recorder.record(Event.LOOP_STALLED, null, stallRange(stallNanos));
    recorder.count(stallLength(stallNanos), 1);
    policy.post((router, now) -> router.onEventLoopStall(stallNanos / 1e9));
  }

  /** The range of a stall's length as a constant text: recording an event must not allocate. */
  private static String stallRange(long stallNanos) {
    if (stallNanos < 100_000_000L) {
      return "under 0.1 s";
    }
    if (stallNanos < 300_000_000L) {
      return "0.1 to 0.3 s";
    }
    return stallNanos < 1_000_000_000L ? "0.3 to 1 s" : "over 1 s";
  }

  private static Event stallLength(long stallNanos) {
    if (stallNanos < 100_000_000L) {
      return Event.STALL_UNDER_100_MS;
    }
    if (stallNanos < 300_000_000L) {
      return Event.STALL_UNDER_300_MS;
    }
    return stallNanos < 1_000_000_000L ? Event.STALL_UNDER_1_S : Event.STALL_OF_1_S_OR_MORE;
  }

  /** The number of requests that have not ended or have an attempt in flight. */
  public int openRequests() {
    return exchanges.open().size() + (reads == null ? 0 : reads.size());
  }

  /** How long the oldest queued request has waited in nanoseconds, 0 if there is none. */
  public long oldestQueuedNanos() {
    return queue.oldestQueuedNanos();
  }

  /** The number of listed servers; if {@code avoidedOnly}, of those that get no requests now. */
  public int serverCount(boolean avoidedOnly) {
    return policy.serverCount(avoidedOnly);
  }

  /** Counters of request coalescing, null if reads are not coalesced. */
  public CoalescingSnapshot coalescingSnapshot() {
    return reads == null ? null : reads.snapshot();
  }

  // Accessors and logging for client and server connections.

  /** Counters of requests and attempts. */
  public RequestMetrics metrics() {
    return metrics;
  }

  /** Records events of requests and of client connections. */
  public FlightRecorder recorder() {
    return recorder;
  }

  /** Checks the invariants before an attempt is sent, a request answered or a connection closed. */
  public InvariantGuard guard() {
    return guard;
  }

  /** The clock of the event loop. */
  public LoopClock clock() {
    return loopClock;
  }

  /** The event loop that owns the engine. */
  public EventLoop loop() {
    return loop;
  }

  /** The timers of the event loop. */
  public Timers timers() {
    return timers;
  }

  /** Logs an unexpected exception and where it occurred. */
  public void reportFailure(String location, Throwable cause) {
    log.writeFailure(location, cause);
  }

  /** Writes a line to the node's log; the text is built only if the line is written. */
  public void log(Supplier<String> text) {
    log.writeLine(text);
  }

  /** Writes a line to the node's log. */
  public void log(String text) {
    log.writeLine(text);
  }
}
