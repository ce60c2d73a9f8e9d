package shalepaddle.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Outcome.Result;
import shalepaddle.model.Request;
import shalepaddle.model.Settings;
import shalepaddle.policy.admission.LatencyAdmission;
import shalepaddle.policy.admission.OriginFetchLimiter;
import shalepaddle.policy.hash.Hashing;
import shalepaddle.policy.health.FleetHealth;
import shalepaddle.policy.health.IdleConnectionPolicy;
import shalepaddle.policy.health.ServerHealth;
import shalepaddle.policy.health.ThroughputEstimator;
import shalepaddle.policy.membership.MembershipSubscription;
import shalepaddle.policy.membership.ServerRegistry;
import shalepaddle.policy.placement.HotKeyReplication;
import shalepaddle.policy.retry.RetryAfterAdvice;
import shalepaddle.policy.retry.RetryPolicy;

/**
 * Decides where requests go: consistent hashing with bounded loads over the servers of the endpoint
 * list. Joins the rules of the sub-packages; each event goes through one method here, and what
 * follows from it goes to the {@link RoutingActions}.
 *
 * <p>Each method takes the time of its event, in seconds. Not thread-safe: one object per instance,
 * owned by one event loop.
 */
public final class RequestRouter {
  /** Token of the endpoint list's timer. Other tokens are serials of requests, which begin at 2. */
  static final long MEMBERSHIP_TIMER = 0;

  /**
   * Marks the token of a request's hold timer; without it the token is that of the deadline timer.
   * Serials are even, so that this bit is free.
   */
  private static final long HOLD_FLAG = 1;

  private static final long SERIAL_STEP = 2;

  /**
   * Rate of likely fetches that the fetch window does not limit, as a fraction of the request rate.
   * About the miss ratio of warm caches.
   */
  private static final double GUARANTEED_FETCH_RATIO = 0.1;

  /** Longest hold of a request for a fetch, from its arrival, as a fraction of its objective. */
  private static final double MAX_HOLD_RATIO = 0.5;

  private final RoutingActions actions;
  private final SplittableRandom random;
  private final ServerRegistry registry;
  private final HotKeyReplication hotKeys = new HotKeyReplication();
  private final OriginFetchLimiter<PendingRequest> fetchLimiter = new OriginFetchLimiter<>();
  private final RetryPolicy retryPolicy = new RetryPolicy();
  private final ThroughputEstimator throughput = new ThroughputEstimator();
  private final FleetHealth fleet = new FleetHealth();
  private final LoadSampler loadSampler = new LoadSampler(fleet, fetchLimiter);
  private final IdleConnectionPolicy idleConnections = new IdleConnectionPolicy();
  private final ServerSelector selector;
  private final Map<String, Settings.ServiceClass> serviceClasses = new HashMap<>();
  private final Map<String, PendingRequest> pendingById = new HashMap<>();
  private final Map<Long, PendingRequest> unansweredBySerial = new HashMap<>();
  private Settings settings;
  private int inFlight;
  private long lastSerial;

  /** A router that knows of no server yet. */
  public RequestRouter(Settings settings, long seed, RoutingActions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.registry = new ServerRegistry(settings, subscription(actions), random.split());
    this.selector = new ServerSelector(settings, random, fleet, throughput, fetchLimiter);
    updateSettings(settings);
  }

  private static MembershipSubscription subscription(RoutingActions actions) {
    return new MembershipSubscription() {
      @Override
      public void subscribe() {
        actions.subscribe(true);
      }

      @Override
      public void scheduleTimer(double delaySeconds) {
        actions.scheduleTimer(MEMBERSHIP_TIMER, delaySeconds);
      }
    };
  }

  /** New requests follow these; open ones, and those of removed classes, keep what they had. */
  public void updateSettings(Settings next) {
    settings = next;
    registry.updateSettings(next);
    selector.updateSettings(next);
    next.services().forEach(service -> serviceClasses.put(service.name(), service));
  }

  /** An update of the endpoint list. */
  public void onMembershipUpdate(double now, MembershipUpdate update) {
    registry.apply(now, update);
    selector.rebuildRing(registry);
  }

  /**
   * An operator excludes a server or includes it again. An exclusion outlasts updates of the
   * endpoint list, also while the server is not listed.
   */
  public void setExcluded(double now, long server, boolean excluded) {
    registry.setExcluded(now, server, excluded);
    selector.rebuildRing(registry);
  }

  /** How many servers are listed, or only those that are excluded or ejected. */
  public int serverCount(boolean avoidedOnly) {
    return (int)
        registry.servers().stream()
            .filter(
                server -> !avoidedOnly || registry.isExcluded(server) || fleet.isAvoided(server))
            .count();
  }

  /**
   * Replays the first attempt of a request that another process of this node has sent, so that this
   * router learns from its {@link #onOutcome}. The request gets no answer and no further attempt
   * from here. {@link RoutingActions#send} is called as for any attempt; the caller must not carry
   * it out. Does nothing if the server is not listed.
   */
  public void observeAttempt(double now, Request request, long server) {
    ServerHealth target = registry.server(server);
    if (target != null) {
      PendingRequest pending = accept(now, request);
      pending.markAnswered();
      long keyAtServer = keyAtServer(pending, target);
      if (isLikelyFetch(now, pending, keyAtServer)) {
        startFetch(now, pending, target, keyAtServer);
      }
      send(now, pending, target);
    }
  }

  private PendingRequest accept(double now, Request request) {
    Settings.ServiceClass serviceClass =
        Settings.ServiceClass.orUnknown(serviceClasses.get(request.serviceClass()), request);
    updateEverySecond(now);
    throughput.onRequest();
    lastSerial += SERIAL_STEP;
    PendingRequest pending =
        new PendingRequest(request, serviceClass, settings.limits(), lastSerial, now);
    pendingById.put(pending.id(), pending);
    unansweredBySerial.put(pending.serial(), pending);
    if (request.key() != null) {
      hotKeys.selectReplicas(now, pending, selector.readyCount(), settings, random);
    }
    return pending;
  }

  /** A client's request. */
  public void onRequest(double now, Request request) {
    PendingRequest pending = accept(now, request);
    // Ensures an answer by the deadline, also if the request is held or an attempt never ends.
    actions.scheduleTimer(pending.serial(), Math.max(0, pending.deadlineSeconds() - now));
    if (LatencyAdmission.admits(
        inFlight - fetchLimiter.fetchesInFlight(),
        selector.readyCount(),
        throughput.answersPerSecond(),
        pending.serviceClass().latencyObjectiveSeconds())) {
      dispatch(now, pending);
    }
    answerIfDone(now, pending);
  }

  /**
   * The event loop was stalled until now. The stall is left out of the throughput rates.
   *
   * @param seconds length of the stall
   */
  public void onEventLoopStall(double seconds) {
    throughput.onEventLoopStall(seconds);
  }

  /**
   * Selects a server and sends an attempt, or holds the request for a fetch. If no server may take
   * it, or no fetch may start, it does neither: the caller then gives the final answer.
   */
  private void dispatch(double now, PendingRequest pending) {
    ServerHealth target = selector.select(now, pending, inFlight);
    if (target == null) {
      return;
    }
    long keyAtServer = keyAtServer(pending, target);
    if (isLikelyFetch(now, pending, keyAtServer)) {
      boolean isFull = fetchLimiter.isFull(now);
      // Waits for the fetch of the same key, if one is in flight, else for capacity for its own.
      if (!pending.isHoldExpired()
          && (fetchLimiter.joinFetch(keyAtServer, pending)
              || (isFull && fetchLimiter.hold(pending)))) {
        hold(now, pending);
        return;
      }
      if (isFull) {
        return;
      }
      startFetch(now, pending, target, keyAtServer);
    }
    send(now, pending, target);
  }

  private static long keyAtServer(PendingRequest pending, ServerHealth server) {
    return Hashing.ofKeyAtServer(pending.keyHash(), server.id());
  }

  private boolean isLikelyFetch(double now, PendingRequest pending, long keyAtServer) {
    boolean isCacheable =
        !settings.cache().lookAside() && pending.request().key() != null && !pending.isWrite();
    return isCacheable && fetchLimiter.expectsMiss(now, keyAtServer);
  }

  private void startFetch(
      double now, PendingRequest pending, ServerHealth target, long keyAtServer) {
    fetchLimiter.onFetchStarted(
        keyAtServer, pending, pending.attemptCount(), fleet.isOutlier(now, target));
  }

  private void hold(double now, PendingRequest pending) {
    pending.hold();
    double until =
        pending.arrivedAtSeconds()
            + pending.serviceClass().latencyObjectiveSeconds() * MAX_HOLD_RATIO;
    actions.scheduleTimer(pending.serial() + HOLD_FLAG, Math.max(0, until - now));
  }

  private void send(double now, PendingRequest pending, ServerHealth target) {
    actions.send(pending.id(), target.id(), pending.sendWithinSeconds(target, now));
    target.onSent();
    pending.onSent(target, now);
    inFlight++;
  }

  /** Updates fleet health, throughput and fetch limit if a period of one second is over. */
  private void updateEverySecond(double now) {
    if (throughput.isPeriodOver(now)) {
      fleet.update(now);
      throughput.endPeriod(now, selector.warmWeight(now));
      fetchLimiter.setGuaranteedPerSecond(GUARANTEED_FETCH_RATIO * throughput.requestsPerSecond());
    }
  }

  /** Answers a request that has no attempt in flight and is not held. */
  private void answerIfDone(double now, PendingRequest pending) {
    if (!pending.isAnswered() && !pending.hasAttemptInFlight() && !pending.isHeld()) {
      answer(now, pending);
    }
  }

  /** Rejects a request that no server answered if a retry of it is safe; else fails it. */
  private void answer(double now, PendingRequest pending) {
    if (!pending.hasAttemptInFlight() && pending.mayReject(now)) {
      double retryAfterSeconds =
          RetryAfterAdvice.seconds(
              settings.limits(), pendingById.size(), throughput.answersPerSecond(), random);
      actions.reject(pending.id(), retryAfterSeconds);
    } else {
      actions.fail(pending.id());
    }
    complete(pending);
  }

  /** The request has its final answer; its attempts may still be in flight. */
  private void complete(PendingRequest pending) {
    pending.markAnswered();
    unansweredBySerial.remove(pending.serial());
    if (!pending.hasAttemptInFlight()) {
      pendingById.remove(pending.id());
    }
  }

  /**
   * Another client, which waits until then, shares the answer of this request. Never shortens the
   * deadline; does nothing if the request is unknown.
   */
  public void extendDeadline(String requestId, double deadline) {
    PendingRequest pending = pendingById.get(requestId);
    if (pending != null) {
      pending.extendDeadline(deadline);
    }
  }

  /** A streamed answer has begun: it goes to the client and has no deadline any more. */
  public void onStreamStarted(double now, String requestId, int attempt) {
    PendingRequest pending = pendingById.get(requestId);
    if (pending != null && pending.isInFlight(attempt)) {
      pending.startStreaming();
    }
  }

  /** An attempt has ended. */
  public void onOutcome(double now, Outcome outcome) {
    PendingRequest pending = pendingById.get(outcome.requestId());
    if (pending == null
        || !pending.onAttemptEnded(outcome.attempt(), outcome.result().provesNotRun())) {
      return;
    }
    inFlight--;
    ServerHealth server = pending.server(outcome.attempt());
    updateHealth(now, server, outcome);
    if (outcome.result() == Result.OK) {
      retryPolicy.onSuccess();
      throughput.onAnswer(server.isWarm(now));
    }
    // Before a retry: it may be a fetch too and would replace the ended one, whose key would then
    // never be released, as a request records only one fetch.
    recordOutcome(now, pending, server, outcome);
    if (outcome.completesRequest() || outcome.result() == Result.OK || pending.isAnswered()) {
      complete(pending);
    } else if (!pending.hasAttemptInFlight()) {
      retryOrComplete(now, pending, outcome);
    }
  }

  private void updateHealth(double now, ServerHealth server, Outcome outcome) {
    boolean refusedConnection =
        server.onAttemptEnded(
            now, outcome, settings.limits().idleTimeoutSeconds(), fleet.areFailuresFew());
    if (refusedConnection) {
      idleConnections.onConnectionRefused(now);
    }
    if (idleConnections.closesIdle(now, server)) {
      actions.closeIdleConnections(server.id());
    }
    fleet.updatePanicState();
  }

  /** Updates load score, cached keys and fetch limit from an outcome, and resumes held requests. */
  private void recordOutcome(
      double now, PendingRequest pending, ServerHealth server, Outcome outcome) {
    loadSampler.updateLoadScore(now, pending, server, outcome);
    boolean succeeded = outcome.result() == Result.OK;
    if (succeeded && !pending.isWrite()) {
      fetchLimiter.onAnswered(now, keyAtServer(pending, server), outcome.cacheStatus());
    }
    recordFetch(now, pending, server, outcome);
    for (PendingRequest held = fetchLimiter.pollHeld(now);
        held != null;
        held = fetchLimiter.pollHeld(now)) {
      resume(now, held);
    }
  }

  /**
   * Records an outcome in the fetch losses and the fetch window if it is that of a likely fetch. A
   * busy reply to a read counts as a lost fetch, also where no fetch was expected.
   */
  private void recordFetch(
      double now, PendingRequest pending, ServerHealth server, Outcome outcome) {
    boolean isFetch = pending.isFetch(outcome.attempt());
    boolean isBusy = outcome.result() == Result.SERVER_BUSY && !pending.isWrite();
    if (isFetch || isBusy) {
      boolean succeeded = outcome.result() == Result.OK;
      double objective = pending.serviceClass().latencyObjectiveSeconds();
      boolean isLate = outcome.activeSeconds() > objective;
      boolean isLateFetch = succeeded && isLate && outcome.cacheStatus() != Outcome.CacheStatus.HIT;
      boolean isLost =
          isBusy || outcome.result() == Result.ERROR || outcome.isObservedTimeout() || isLateFetch;
      boolean isInTime = succeeded && !isLate;
      if (isLost || isInTime) {
        fleet.recordFetch(now, server, isLost);
        fetchLimiter.setLossRatio(fleet.sharedFetchLossRatio(now));
      }
      if (isFetch) {
        List<PendingRequest> followers =
            fetchLimiter.onFetchEnded(now, pending, objective, isInTime, isLost);
        for (PendingRequest follower : followers) {
          resume(now, follower);
        }
      }
    }
  }

  private void resume(double now, PendingRequest pending) {
    if (pending.isHeld() && !pending.isAnswered()) {
      pending.release();
      dispatch(now, pending);
      answerIfDone(now, pending);
    }
  }

  private void retryOrComplete(double now, PendingRequest pending, Outcome outcome) {
    boolean hasTimeLeft = now < pending.deadlineSeconds() - settings.timerResolutionSeconds();
    switch (retryPolicy.decide(outcome.result(), hasTimeLeft, fetchLimiter.isOriginDegraded())) {
      case RETRY -> dispatch(now, pending);
      case FETCH_FROM_ORIGIN -> {
        ServerHealth origin = selector.selectOrigin(now, pending);
        if (origin != null) {
          send(now, pending, origin);
        }
      }
      case GIVE_UP -> {}
    }
    answerIfDone(now, pending);
  }

  /** The client has disconnected; it gets no answer. */
  public void onClientDisconnected(double now, String requestId) {
    PendingRequest pending = pendingById.get(requestId);
    if (pending == null || pending.isAnswered()) {
      return;
    }
    if (settings.limits().allowsCancellation() && !pending.isStreaming()) {
      for (int attempt = 0; attempt < pending.attemptCount(); attempt++) {
        if (pending.isInFlight(attempt)) {
          actions.cancel(requestId, attempt);
        }
      }
    }
    complete(pending);
  }

  /** A timer that was scheduled came due. */
  public void onTimer(double now, long token) {
    if (token == MEMBERSHIP_TIMER) {
      registry.onTimer(now);
      return;
    }
    PendingRequest pending = unansweredBySerial.get(token & ~HOLD_FLAG);
    if (pending == null || pending.isAnswered() || pending.isStreaming()) {
      return;
    }
    if ((token & HOLD_FLAG) != 0) {
      pending.expireHold();
      resume(now, pending);
    } else if (now < pending.deadlineSeconds() - settings.timerResolutionSeconds()) {
      actions.scheduleTimer(pending.serial(), pending.deadlineSeconds() - now);
    } else {
      answer(now, pending);
    }
  }
}
