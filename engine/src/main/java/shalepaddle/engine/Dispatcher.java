package shalepaddle.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
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
import shalepaddle.model.LoadReport;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Observation;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.Settings;
import shalepaddle.overload.OverloadControl;
import shalepaddle.policy.RequestRouter;
import shalepaddle.policy.RoutingActions;

/**
 * Stands between the decision module and the sockets: tells it what happens, one event after the
 * other, and carries out what it decides. All of it runs on the event loop.
 */
public final class Dispatcher implements RoutingActions {
  /**
   * The node stops waiting for an attempt this long before the client stops waiting for the node,
   * so that the module hears of the time-out before it must answer, and the answer is in time.
   */
  private static final long ANSWER_MARGIN_NANOS = 2_000_000;

  /** How often requests are looked through for overdue ones after the module has failed. */
  private static final long RESCUE_MILLIS = 10;

  /** Something that has happened, to be told to the module. */
  private interface PolicyEvent {
    void tell(double now);
  }

  private final Clock clock;
  private final LoopClock loopClock;
  private final EventLoop loop;
  private final Timers timers;
  private Settings settings;
  private final long tickNanos;
  private final Log log;
  private final RequestRouter balancer;
  private final OverloadControl overload;
  private final RequestQueue entrance;
  private final RequestMetrics figures = new RequestMetrics();
  private final FlightRecorder recorder;
  private final InvariantGuard guard;

  /** Null where reads are not joined. */
  private final CoalescedReads reads;

  private final Map<String, Exchange> open = new HashMap<>();
  private final ArrayDeque<PolicyEvent> events = new ArrayDeque<>();

  /** When this node must have answered all, if it is about to end. */
  private long answerBy;

  private boolean ending;
  private boolean closed;

  /** Null where no other process can take this one's place. */
  private WarmStartLog seen;

  /** Whether the module lives through what another process did: nothing is carried out for it. */
  private boolean replaying;

  private boolean telling;
  private boolean rescuing;

  /** The way to the servers and the source of their list, from {@link #start} on. */
  private Upstream upstream;

  private MemberSource members;

  /**
   * A dispatcher that has not started.
   *
   * @param settings what the decisions are made by
   * @param seed for the module's random numbers
   * @param loop the thread that all of it runs on
   * @param loopClock that loop's clock
   * @param clock the node's time
   * @param overload what is decided on the node's own overload
   * @param joining whether and how like reads share an answer
   */
  public Dispatcher(
      Settings settings,
      long seed,
      EventLoop loop,
      LoopClock loopClock,
      Clock clock,
      Log log,
      OverloadControl overload,
      CoalescingConfig joining) {
    this.overload = overload;
    this.loop = loop;
    this.loopClock = loopClock;
    this.entrance = new RequestQueue(loop, loopClock, overload, this::begin, this::turnAway);
    this.recorder = new FlightRecorder(loopClock::now);
    this.guard = new InvariantGuard(recorder, log, loopClock::now);
    this.clock = clock;
    this.settings = settings;
    this.log = log;
    this.tickNanos = tickNanos(settings);
    this.timers = new Timers(loop, loopClock, log, tickNanos);
    this.balancer = new RequestRouter(settings, seed, this);
    figures.name(names(settings));
    this.reads =
        joining.enabled() ? new CoalescedReads(this, loopClock, timers, settings, joining) : null;
  }

  private static List<String> names(Settings settings) {
    return settings.services().stream().map(Settings.ServiceClass::name).toList();
  }

  /**
   * From now on new requests follow these settings; what is open, and what waits for its turn,
   * keeps those under which it was taken: it is begun first, since it lies by the old tiers.
   */
  public void retune(Settings next) {
    entrance.retune(next);
    settings = next;
    figures.name(names(next));
    if (reads != null) {
      reads.retune(next);
    }
    tell(at -> balancer.updateSettings(next));
  }

  /** An operator leaves a server out, or puts it back. */
  public void exclude(long server, boolean out) {
    tell(now -> balancer.setExcluded(now, server, out));
  }

  /** Servers in the list; only those that get nothing now where that is asked. */
  public int serverCount(boolean avoided) {
    return balancer.serverCount(avoided);
  }

  /** Where events of requests and of clients' connections are recorded. */
  public FlightRecorder recorder() {
    return recorder;
  }

  /** The checks that everything sent, answered or closed passes. */
  public InvariantGuard guard() {
    return guard;
  }

  /** How long after it is known to drain a server may still be sent what was under way to it. */
  public long drainGraceNanos() {
    return nanos(settings.contract().drainGraceSeconds());
  }

  /**
   * What running a request of this class more than once does; nothing is known of other classes.
   */
  private Settings.Idempotency effect(String serviceClass) {
    for (Settings.ServiceClass known : settings.services()) {
      if (known.name().equals(serviceClass)) {
        return known.idempotency();
      }
    }
    return Settings.Idempotency.NOT_IDEMPOTENT;
  }

  /** What has become of requests and attempts. */
  public RequestMetrics metrics() {
    return figures;
  }

  /** The simulator's tick where it is of use to a real clock. */
  private static long tickNanos(Settings settings) {
    return (long) (1e9 * Math.max(0.001, Math.min(0.01, settings.timerResolutionSeconds())));
  }

  /**
   * Begins: what is decided goes to the upstream, and changes of the list are asked of the source.
   * The list as it was last known is told next, by {@link #membership}.
   */
  public void start(Upstream upstream, MemberSource members) {
    this.upstream = upstream;
    this.members = members;
  }

  /** From now on what attempts show is kept there. */
  public void recordObservationsIn(WarmStartLog seen) {
    this.seen = seen;
  }

  /**
   * Lets the module learn from what another process of this node has seen, before {@link #start}.
   *
   * @param known the list of servers as it is known
   * @param past what was seen, in the order in which it ended
   */
  public void replay(MembershipUpdate known, List<Observation> past) {
    replaying = true;
    try {
      WarmStartLog.replay(balancer, known, WarmStartLog.inTime(clock.now(), past));
    } catch (RuntimeException e) {
      // What was lived through so far is no worse than nothing.
      reportFailure("decision module, replaying", e);
    } finally {
      replaying = false;
    }
  }

  /**
   * Tells the module of an event, and then of those that its own actions cause: the module is never
   * called from within one of its calls.
   */
  private void tell(PolicyEvent event) {
    events.add(event);
    if (telling) {
      return;
    }
    telling = true;
    try {
      for (PolicyEvent next = events.poll(); next != null; next = events.poll()) {
        try {
          next.tell(clock.now());
        } catch (RuntimeException | StackOverflowError e) {
          reportFailure("decision module", e);
          rescue();
        }
      }
    } finally {
      telling = false;
    }
  }

  /**
   * Guards against an exception in the module that makes it forget a request: until all that was
   * open then is over, what the module has not answered in time is answered here.
   */
  private void rescue() {
    if (!rescuing) {
      rescuing = true;
      List<Exchange> doubtful = new ArrayList<>(open.values());
      loop.schedule(() -> rescue(doubtful), RESCUE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void rescue(List<Exchange> doubtful) {
    long now = loopClock.now();
    for (Exchange request : doubtful) {
      if (!request.isEnded() && now - request.deadlineNanos() > 0) {
        fail(request);
      }
    }
    doubtful.removeIf(request -> request.isEnded());
    if (doubtful.isEmpty()) {
      rescuing = false;
    } else {
      loop.schedule(() -> rescue(doubtful), RESCUE_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  public void reportFailure(String where, Throwable cause) {
    log.failure(where, cause);
  }

  // What clients do.

  /**
   * By how much an answer has to be ready before it is due, since the event loop has to be expected
   * to stall; 0 where it does not.
   */
  public long stallAllowanceNanos() {
    return AnswerMargin.allowance(loopClock.expectedStallNanos());
  }

  private static long nanos(double seconds) {
    return (long) (seconds * 1e9);
  }

  /**
   * Takes a request of this very process, sent now; see {@link #submit(Call, long)}. A stall of the
   * process stalls its caller too, so that no time is kept for one.
   */
  public Submission submit(Call call) {
    return submitLocal(call, loopClock.now());
  }

  /** The same of one that another thread handed in at that time. */
  Submission submitLocal(Call call, long sentAt) {
    return submit(call, sentAt, 0);
  }

  /**
   * Takes a client's request; null if another one has its id, and then its sink is given nothing.
   *
   * @param sentAt the earliest time at which its client can have sent it: its time counts from then
   */
  public Submission submit(Call call, long sentAt) {
    long budget = nanos(call.request().budgetSeconds());
    return submit(call, sentAt, AnswerMargin.of(budget, loopClock.expectedStallNanos()));
  }

  private Submission submit(Call call, long sentAt, long margin) {
    String id = call.request().id();
    figures.taken();
    if (open.containsKey(id) || (reads != null && reads.hasId(id))) {
      figures.answered(call.request().serviceClass(), new Reply.Failed(false));
      call.payload().release();
      return null;
    }
    long now = loopClock.refresh();
    recorder.record(Event.REQUEST_READ, id);
    Request asked = call.request();
    long clientDeadline = sentAt + nanos(asked.budgetSeconds());
    if (closed) {
      recorder.record(Event.REJECTED_SHUTDOWN, id);
      Exchange refused =
          new Exchange(call, clientDeadline, clientDeadline, 0, Settings.Idempotency.IDEMPOTENT);
      end(refused, new Reply.Rejected(0));
      return refused;
    }
    long deadline = clientDeadline - margin;
    if (ending && deadline - answerBy > 0) {
      deadline = answerBy;
    }
    if (deadline - now <= ANSWER_MARGIN_NANOS) {
      return rejectExpired(call, clientDeadline);
    }
    Submission joined = reads == null ? null : reads.submit(call, asked, deadline, now);
    if (joined != null) {
      return joined;
    }
    Exchange request = open(call, deadline, clientDeadline);
    if (now - sentAt > LoopClock.STALL_THRESHOLD_NANOS) {
      // It waited unread, and so may the end of its connection, which is read in a turn of its own
      // and told behind that turn's reads.
      loopClock.afterNextPoll(() -> loop.execute(() -> start(request, asked)));
    } else {
      start(request, asked);
    }
    return request;
  }

  /** Its time was over before it was read: it is not worked for, and has not run. */
  private Exchange rejectExpired(Call call, long deadline) {
    recorder.record(Event.REJECTED_EXPIRED, call.request().id());
    Exchange expired = new Exchange(call, deadline, deadline, 0, Settings.Idempotency.IDEMPOTENT);
    end(expired, new Reply.Rejected(overload.retryAfterMillis()));
    return expired;
  }

  /** An exchange for a request, which has until then; it is to be started. */
  Exchange open(Call call, long deadline, long clientDeadline) {
    Exchange request =
        new Exchange(
            call,
            deadline,
            clientDeadline,
            settings.limits().maxAttempts(),
            effect(call.request().serviceClass()));
    open.put(request.id(), request);
    return request;
  }

  /** Begins an exchange. Its answer may be given before this returns. */
  void start(Exchange request, Request taken) {
    // Guards against deciding, right after a pause, on what was known before it, and against
    // writing to connections whose end waits to be read.
    loopClock.whenBacklogRead(() -> entrance.enter(request, taken));
  }

  /** Gives an exchange, and the attempts that are out for it, more time. */
  void extend(Exchange request, long deadline) {
    if (request.isEnded() || deadline - request.deadlineNanos() <= 0) {
      return;
    }
    long now = loopClock.now();
    long before = request.deadlineNanos() - ANSWER_MARGIN_NANOS;
    request.extendDeadline(deadline);
    for (Attempt attempt : request.attempts()) {
      // One with a time of its own keeps it.
      if (!attempt.isEnded() && attempt.deadlineNanos() == before) {
        attempt.cancelResponseTimer();
        attempt.extendDeadline(deadline - ANSWER_MARGIN_NANOS);
        limit(attempt, now);
      }
    }
    if (request.isRouted()) {
      tell(at -> balancer.extendDeadline(request.id(), at + (deadline - now) / 1e9));
    }
  }

  /** What is due to a client whose time is up while others wait on for the same exchange. */
  Reply timeUp(Exchange request) {
    return request.hasAttemptsInFlight()
        ? new Reply.Failed(request.mayHaveRun())
        : new Reply.Rejected(overload.retryAfterMillis());
  }

  /** Refuses what has waited too long: it has not been begun, so that a new try does no harm. */
  private void turnAway(Exchange request) {
    recorder.record(Event.REJECTED_QUEUE, request.id());
    end(request, new Reply.Rejected(overload.retryAfterMillis()));
  }

  /** Nanoseconds for which a request has waited for its turn, 0 if none waits. */
  public long oldestQueuedNanos() {
    return entrance.oldestQueuedNanos();
  }

  private void begin(Exchange request, Request taken) {
    if (!guard.mayBegin(request)) {
      return;
    }
    request.route();
    double left = (request.deadlineNanos() - loopClock.now()) / 1e9;
    Request asked = taken.withBudget(Math.max(0, left));
    tell(
        at -> {
          try {
            balancer.onRequest(at, asked);
          } catch (RuntimeException | StackOverflowError e) {
            reportFailure("decision module", e);
            fail(request);
          }
        });
  }

  /** The node has stood still until now. */
  public void onStall(long nanos) {
    recorder.record(Event.LOOP_STALLED, null, stallLength(nanos));
    tell(now -> balancer.onEventLoopStall(nanos / 1e9));
  }

  /** A coarse length: details are constants, so that recording allocates nothing. */
  private static String stallLength(long nanos) {
    return nanos < 100_000_000L
        ? "under 0.1 s"
        : nanos < 300_000_000L
            ? "0.1 to 0.3 s"
            : nanos < 1_000_000_000L ? "0.3 to 1 s" : "over 1 s";
  }

  public LoopClock clock() {
    return loopClock;
  }

  /** The event loop that all of it runs on. */
  public EventLoop loop() {
    return loop;
  }

  public Timers timers() {
    return timers;
  }

  /**
   * From now on gives requests no more time than until then; those that were open before, and would
   * wait for longer, are answered then. Guards against an end by force, which loses what it finds.
   */
  public void drainBy(long nanos) {
    answerBy = nanos;
    ending = true;
    // A tick before attempts time out that end at the same time, which would be judged each for
    // itself.
    timers.runNoLaterThan(
        nanos - ANSWER_MARGIN_NANOS - tickNanos - loopClock.now(), this::answerOpen);
  }

  /** Gives every open request its one answer, a refusal where it can not have run. */
  private void answerOpen() {
    for (Exchange request : List.copyOf(open.values())) {
      end(request, request.mayHaveRun() ? new Reply.Failed(true) : new Reply.Rejected(0));
      for (Attempt attempt : request.attempts()) {
        withdraw(attempt, Outcome.Result.CANCELLED);
      }
    }
  }

  /**
   * Ends: every open request gets its one answer, a refusal where none of its attempts can have
   * run. What is asked from now on is refused.
   */
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    entrance.close();
    answerOpen();
    members.stop();
    timers.close();
  }

  boolean closed() {
    return closed;
  }

  /** Requests that are not over, or of which an attempt is out. */
  public int openRequests() {
    return open.size() + (reads == null ? 0 : reads.size());
  }

  /** What joining has done so far, null where reads are not joined. */
  public CoalescingSnapshot coalescingSnapshot() {
    return reads == null ? null : reads.reading();
  }

  /** The client has closed its connection. */
  public void clientDisconnected(Submission submission) {
    if (submission instanceof Exchange request) {
      clientDisconnected(request);
    } else if (submission instanceof CoalescedReads.Waiter waiter) {
      reads.leave(waiter);
    }
  }

  private void clientDisconnected(Exchange request) {
    if (request.isEnded()) {
      return;
    }
    request.disconnect();
    recorder.record(Event.CLIENT_DISCONNECTED, request.id());
    gone(request.call());
    tell(
        now -> {
          balancer.onClientDisconnected(now, request.id());
          settle(request);
        });
  }

  /** The client of this call has left before its answer. */
  void gone(Call call) {
    if (!CoalescedReads.shared(call)) {
      figures.gone();
    }
  }

  // What cache servers do.

  /** An attempt's last byte was handed to the socket: from now on it may run. */
  public void attemptWritten(Attempt attempt) {
    attempt.markWritten();
    recorder.record(Event.ATTEMPT_WRITTEN, attempt.exchange().id());
    attempt.cancelWriteTimer();
    figures.forwarded();
  }

  /**
   * Whether an attempt that has provably not run may be written once more to its server: it then
   * counts as one more of its request.
   */
  public boolean mayRewrite(Attempt attempt) {
    Exchange request = attempt.exchange();
    if (request.isEnded() || !request.hasAttemptLeft()) {
      return false;
    }
    request.countRewrite();
    attempt.markUnwritten();
    bound(attempt, loopClock.now());
    return true;
  }

  /** An attempt ended without an answer, or with one that serves nobody. */
  public void attemptEnded(Attempt attempt, Outcome.Result result) {
    attemptEnded(attempt, result, Outcome.CacheStatus.NONE, null);
  }

  private void attemptEnded(
      Attempt attempt, Outcome.Result result, Outcome.CacheStatus note, LoadReport load) {
    if (attempt.isEnded()) {
      return;
    }
    attempt.end(result.provesNotRun());
    recorder.record(Event.ATTEMPT_ENDED, attempt.exchange().id(), result.name());
    attempt.exchange().attemptEnded(result);
    Exchange request = attempt.exchange();
    double elapsed = (loopClock.refresh() - attempt.sentAtNanos()) / 1e9;
    double unheard = (loopClock.stalledNanos() - attempt.stalledBeforeNanos()) / 1e9;
    tell(
        now -> {
          request.outcomeReported();
          Outcome outcome =
              new Outcome(
                  request.id(),
                  attempt.number(),
                  attempt.server(),
                  result,
                  elapsed,
                  unheard,
                  request.isEnded(),
                  note,
                  load);
          if (seen != null && result != Outcome.Result.NOT_SENT) {
            seen.add(new Observation(now, attempt.call().request(), outcome));
          }
          try {
            balancer.onOutcome(now, outcome);
          } finally {
            settle(request);
          }
        });
  }

  /** A reply has come, whole. */
  public void responseReceived(Attempt attempt, ServerReply reply) {
    Exchange request = attempt.exchange();
    if (reply.result() == Outcome.Result.OK && !request.isEnded()) {
      finish(
          request,
          reply.value() != null
              ? new Reply.Value(reply.value().retain())
              : new Reply.Receipt(reply.receipt()));
    }
    attemptEnded(attempt, reply.result(), reply.note(), reply.load());
  }

  /**
   * A large value has begun to come for this attempt, which is over with that: there is no other
   * one any more, and no deadline.
   *
   * @return false if nobody wants it
   */
  public boolean responseReceived(Attempt attempt, LargeReply reply, ValueSource source) {
    Exchange request = attempt.exchange();
    if (attempt.isEnded() || request.isEnded()) {
      return false;
    }
    if (request.call().sink().acceptsStream()) {
      String service = request.call().request().serviceClass();
      finish(
          request,
          new Reply.Streamed(reply.length(), new MeteredValueSource(figures, service, source)));
    } else {
      request.collect();
      source.start(new ValueAggregator(reply.length(), whole -> finish(request, whole)));
    }
    attemptEnded(attempt, reply.head().result(), reply.head().note(), reply.head().load());
    return true;
  }

  /** The one answer of an exchange. */
  private void finish(Exchange request, Reply reply) {
    Reply checked = guard.answer(request, reply, loopClock.now());
    request.answer();
    if (reads != null) {
      reads.answered(request);
    }
    give(request.call(), checked);
  }

  /** The final answer of a call that was taken. */
  void give(Call call, Reply reply) {
    recorder.record(Event.ANSWERED, call.request().id(), kind(reply));
    // A value in pieces is counted at its end.
    if (!CoalescedReads.shared(call) && !(reply instanceof Reply.Streamed)) {
      figures.answered(call.request().serviceClass(), reply);
    }
    deliver(call, reply);
  }

  private static String kind(Reply reply) {
    return reply instanceof Reply.Rejected
        ? "rejected"
        : reply instanceof Reply.Failed ? "failed" : "served";
  }

  /** Guards against a sink that fails: what else is open must not suffer. */
  void deliver(Call call, Reply reply) {
    try {
      call.sink().reply(reply);
    } catch (RuntimeException e) {
      reportFailure("reply sink", e);
    }
  }

  // What the list of servers says.

  /** The list, or a change of it; the upstream knows of it already. */
  public void membership(MembershipUpdate update) {
    tell(now -> balancer.onMembershipUpdate(now, update));
  }

  // What the module decides.

  @Override
  public void send(String requestId, long server, double within) {
    if (replaying) {
      return;
    }
    Exchange request = open.get(requestId);
    if (request == null) {
      log.line("send for unknown request " + requestId);
      return;
    }
    long now = loopClock.now();
    long deadline = request.deadlineNanos() - ANSWER_MARGIN_NANOS;
    Attempt attempt =
        new Attempt(
            request,
            request.attempts().size(),
            server,
            now,
            deadline,
            within,
            loopClock.stalledNanos());
    recorder.record(attemptKind(request), requestId);
    boolean spent = !request.hasAttemptLeft();
    request.add(attempt);
    // One with less than a tick would be given up in the tick in which it is sent.
    boolean late = deadline - now < tickNanos;
    if (request.isEnded() || spent || late) {
      attemptEnded(attempt, Outcome.Result.NOT_SENT);
      return;
    }
    limit(attempt, now);
    bound(attempt, now);
    loopClock.whenBacklogRead(() -> upstream.send(attempt));
  }

  /** What the attempt that is added next is to its request. */
  private static Event attemptKind(Exchange request) {
    if (request.attempts().isEmpty()) {
      return Event.ATTEMPT_FIRST;
    }
    return request.hasAttemptsInFlight() ? Event.ATTEMPT_HEDGE : Event.ATTEMPT_RETRY;
  }

  /** Sees to it that it is written whole while it may be, or not at all. */
  private void bound(Attempt attempt, long now) {
    if (attempt.writeWithinNanos(now) < attempt.deadlineNanos() - now) {
      attempt.setWriteTimer(
          timers.runNoLaterThan(attempt.writeWithinNanos(now), () -> returnUnwritten(attempt)));
    }
  }

  /**
   * It may not be written any more, wherever it waits, for a connection, a place or behind bytes
   * that the kernel has not taken. That says nothing of its server, and nothing more may be sent.
   */
  public void returnUnwritten(Attempt attempt) {
    if (!attempt.isWritten()) {
      withdraw(attempt, Outcome.Result.NOT_SENT);
    }
  }

  private void limit(Attempt attempt, long now) {
    attempt.setResponseTimer(
        timers.runNoLaterThan(
            attempt.deadlineNanos() - now, () -> withdraw(attempt, Outcome.Result.TIMEOUT)));
  }

  /** Stops waiting for an attempt. */
  private void withdraw(Attempt attempt, Outcome.Result result) {
    if (!attempt.isEnded()) {
      // Its time ran out while it waited for a connection: that none came up proves it never ran.
      boolean unsent = attempt.carrier() == null && result == Outcome.Result.TIMEOUT;
      upstream.withdraw(attempt, result == Outcome.Result.TIMEOUT);
      attemptEnded(attempt, unsent ? Outcome.Result.CONNECT_FAILED : result);
    }
  }

  @Override
  public void cancel(String requestId, int number) {
    Exchange request = open.get(requestId);
    if (request != null && number < request.attempts().size()) {
      withdraw(request.attempts().get(number), Outcome.Result.CANCELLED);
    }
  }

  @Override
  public void reject(String requestId, double retryAfter) {
    long millis = Math.round(retryAfter * 1e3);
    recorder.record(Event.REJECTED_POLICY, requestId);
    end(open.get(requestId), new Reply.Rejected(millis));
  }

  @Override
  public void fail(String requestId) {
    fail(open.get(requestId));
  }

  private void fail(Exchange request) {
    if (request != null) {
      end(request, new Reply.Failed(request.mayHaveRun()));
    }
  }

  private void end(Exchange request, Reply reply) {
    if (request != null && !request.isEnded()) {
      finish(request, reply);
      settle(request);
    }
  }

  /**
   * Forgets what is over. What still waits for a connection or for the loop is taken back, whatever
   * the settings say of cancelling: nothing has been sent that would have to be called off, and
   * nothing may be sent for a request that has its answer, or whose client has left.
   */
  private void settle(Exchange request) {
    if (request.isEnded()) {
      // By index: the module may answer an outcome with one more attempt, which is over at once.
      for (int i = 0; i < request.attempts().size(); i++) {
        Attempt attempt = request.attempts().get(i);
        if (attempt.carrier() == null) {
          withdraw(attempt, Outcome.Result.NOT_SENT);
        }
      }
      request.call().payload().release();
      if (!request.hasAttemptsInFlight()) {
        open.remove(request.id(), request);
      }
    }
  }

  @Override
  public void scheduleTimer(long token, double delay) {
    if (closed) {
      return;
    }
    timers.runNoEarlierThan((long) (delay * 1e9), () -> tell(now -> balancer.onTimer(now, token)));
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

  /** Writes a line to the node's log, which is made only if there is room for it. */
  public void log(Supplier<String> text) {
    log.line(text);
  }

  /** Writes a line to the node's log. */
  public void log(String text) {
    log.line(text);
  }
}
