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
 * Decides which server each request is sent to: consistent hashing with bounded loads over the
 * servers of the endpoint list. Combines the rules of the sub-packages: each kind of event has one
 * method here, which passes the resulting actions to {@link RoutingActions}.
 *
 * <p>Each method takes the time of its event, in seconds. Not thread-safe: one object per instance,
 * owned by one event loop.
 */
public final class RequestRouter {
  /** Token of the endpoint list's timer. All other tokens contain a request serial, 2 or higher. */
  static final long MEMBERSHIP_TIMER = 0;

  /**
   * Bit set in the token of a request's hold timer and clear in that of its deadline timer. Serials
   * are even, so this bit is free.
   */
  private static final long HOLD_FLAG = 1;

  private static final long SERIAL_STEP = 2;

  /**
   * Rate of likely fetches that the fetch window does not limit, as a fraction of the request rate;
   * about the miss ratio of warm caches.
   */
  private static final double GUARANTEED_FETCH_RATIO = 0.1;

  /** How long after its arrival a request may be held, as a fraction of its latency objective. */
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
  private final Map<String, PendingRequest> pendingRequestsById = new HashMap<>();
  private final Map<Long, PendingRequest> unansweredRequestsBySerial = new HashMap<>();
  private Settings settings;
  private int inFlight;
  private long lastSerial;

  /** Creates a router without servers. */
  public RequestRouter(Settings settings, long seed, RoutingActions actions) {
    this.settings = settings;
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.registry = new ServerRegistry(settings, newSubscription(actions), random.split());
    this.selector = new ServerSelector(settings, random, fleet, throughput, fetchLimiter);
    updateSettings(settings);
  }

  private static MembershipSubscription newSubscription(RoutingActions actions) {
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

  /**
   * Applies new settings to requests that arrive from now on. Pending requests keep the settings
   * they were accepted with, and a removed service class stays usable.
   */
  public void updateSettings(Settings newSettings) {
    settings = newSettings;
    registry.updateSettings(newSettings);
    selector.updateSettings(newSettings);
    newSettings.services().forEach(service -> serviceClasses.put(service.name(), service));
  }

  /** Applies an update of the endpoint list. */
  public void onMembershipUpdate(double now, MembershipUpdate update) {
    registry.apply(now, update);
    selector.rebuildRing(registry);
  }

  /**
   * Excludes a server on an operator's behalf, or includes it again. An exclusion persists across
   * updates of the endpoint list, even while the server is not listed.
   */
  public void setExcluded(double now, long serverId, boolean isExcluded) {
    registry.setExcluded(now, serverId, isExcluded);
    selector.rebuildRing(registry);
  }

  /** The number of listed servers, or only of those that are excluded or ejected. */
  public int serverCount(boolean countsAvoidedOnly) {
    return (int)
        registry.servers().stream()
            .filter(
                server ->
                    !countsAvoidedOnly || registry.isExcluded(server) || fleet.isAvoided(server))
            .count();
  }

  /**
   * Replays the first attempt of a request that another process of this node has sent, so that this
   * router learns from its outcome when it is passed to {@link #onOutcome}. This router neither
   * answers the request nor sends further attempts of it. {@link RoutingActions#send} is called as
   * for any attempt; the caller must ignore that call. Does nothing if the server is not listed.
   */
  public void observeAttempt(double now, Request request, long serverId) {
    ServerHealth targetServer = registry.server(serverId);
    if (targetServer != null) {
      PendingRequest pendingRequest = accept(now, request);
      pendingRequest.markAnswered();
      long keyServerHash = keyServerHash(pendingRequest, targetServer);
      if (isLikelyFetch(now, pendingRequest, keyServerHash)) {
        startFetch(now, pendingRequest, targetServer, keyServerHash);
      }
      send(now, pendingRequest, targetServer);
    }
  }

  private PendingRequest accept(double now, Request request) {
    Settings.ServiceClass serviceClass =
        Settings.ServiceClass.orUnknown(serviceClasses.get(request.serviceClass()), request);
    updateEverySecond(now);
    throughput.onRequest();
    lastSerial += SERIAL_STEP;
    PendingRequest pendingRequest =
        new PendingRequest(request, serviceClass, settings.limits(), lastSerial, now);
    pendingRequestsById.put(pendingRequest.id(), pendingRequest);
    unansweredRequestsBySerial.put(pendingRequest.serial(), pendingRequest);
    if (request.key() != null) {
      hotKeys.selectReplicas(now, pendingRequest, selector.readyCount(), settings, random);
    }
    return pendingRequest;
  }

  /** Handles a new request from a client. */
  public void onRequest(double now, Request request) {
    PendingRequest pendingRequest = accept(now, request);
    // The timer ensures an answer by the deadline, even if the request is held or an attempt never
    // ends.
    actions.scheduleTimer(
        pendingRequest.serial(), Math.max(0, pendingRequest.deadlineSeconds() - now));
    if (LatencyAdmission.admits(
        inFlight - fetchLimiter.fetchesInFlight(),
        selector.readyCount(),
        throughput.answersPerSecond(),
        pendingRequest.serviceClass().latencyObjectiveSeconds())) {
      dispatch(now, pendingRequest);
    }
    answerIfDone(now, pendingRequest);
  }

  /**
   * Excludes a stall of the event loop, which has just ended, from the throughput rates.
   *
   * @param stallSeconds length of the stall
   */
  public void onEventLoopStall(double stallSeconds) {
    throughput.onEventLoopStall(stallSeconds);
  }

  /**
   * Selects a server and sends an attempt, or holds the request for a fetch. Does neither if no
   * server may take the request or no fetch may start; the caller then gives the final answer.
   */
  private void dispatch(double now, PendingRequest pendingRequest) {
    ServerHealth targetServer = selector.select(now, pendingRequest, inFlight);
    if (targetServer == null) {
      return;
    }
    long keyServerHash = keyServerHash(pendingRequest, targetServer);
    if (isLikelyFetch(now, pendingRequest, keyServerHash)) {
      boolean isFull = fetchLimiter.isFull(now);
      // The request waits for the fetch of the same key if one is in flight, otherwise for capacity
      // for its own fetch.
      if (!pendingRequest.isHoldExpired()
          && (fetchLimiter.joinFetch(keyServerHash, pendingRequest)
              || (isFull && fetchLimiter.hold(pendingRequest)))) {
        hold(now, pendingRequest);
        return;
      }
      if (isFull) {
        return;
      }
      startFetch(now, pendingRequest, targetServer, keyServerHash);
    }
    send(now, pendingRequest, targetServer);
  }

  private static long keyServerHash(PendingRequest pendingRequest, ServerHealth server) {
    return Hashing.ofKeyAtServer(pendingRequest.keyHash(), server.id());
  }

  private boolean isLikelyFetch(double now, PendingRequest pendingRequest, long keyServerHash) {
    boolean isCacheable =
        !settings.cache().isLookAside()
            && pendingRequest.request().key() != null
            && !pendingRequest.isWrite();
    return isCacheable && fetchLimiter.expectsMiss(now, keyServerHash);
  }

  private void startFetch(
      double now, PendingRequest pendingRequest, ServerHealth targetServer, long keyServerHash) {
    fetchLimiter.onFetchStarted(
        keyServerHash,
        pendingRequest,
        pendingRequest.attemptCount(),
        fleet.isOutlier(now, targetServer));
  }

  private void hold(double now, PendingRequest pendingRequest) {
    pendingRequest.hold();
    actions.held(pendingRequest.id());
    double untilSeconds =
        pendingRequest.arrivedAtSeconds()
            + pendingRequest.serviceClass().latencyObjectiveSeconds() * MAX_HOLD_RATIO;
    actions.scheduleTimer(pendingRequest.serial() + HOLD_FLAG, Math.max(0, untilSeconds - now));
  }

  private void send(double now, PendingRequest pendingRequest, ServerHealth targetServer) {
    actions.send(
        pendingRequest.id(),
        targetServer.id(),
        pendingRequest.sendWithinSeconds(targetServer, now));
    targetServer.onSent();
    pendingRequest.onSent(targetServer, now);
    inFlight++;
  }

  /** Updates fleet health, throughput and the fetch limit once per second. */
  private void updateEverySecond(double now) {
    if (throughput.isPeriodOver(now)) {
      fleet.update(now);
      throughput.endPeriod(now, selector.warmWeight(now));
      fetchLimiter.setGuaranteedPerSecond(GUARANTEED_FETCH_RATIO * throughput.requestsPerSecond());
    }
  }

  /** Answers a request that has no attempt in flight and is not held. */
  private void answerIfDone(double now, PendingRequest pendingRequest) {
    if (!pendingRequest.isAnswered()
        && !pendingRequest.hasAttemptInFlight()
        && !pendingRequest.isHeld()) {
      answer(now, pendingRequest);
    }
  }

  /** Gives a request that no server answered its final answer: rejects it if a retry is safe. */
  private void answer(double now, PendingRequest pendingRequest) {
    if (!pendingRequest.hasAttemptInFlight() && pendingRequest.mayReject(now)) {
      double retryAfterSeconds =
          RetryAfterAdvice.computeSeconds(
              settings.limits(), pendingRequestsById.size(), throughput.answersPerSecond(), random);
      actions.reject(pendingRequest.id(), retryAfterSeconds);
    } else {
      actions.fail(pendingRequest.id());
    }
    complete(pendingRequest);
  }

  /** Marks the request as answered; its attempts may still be in flight. */
  private void complete(PendingRequest pendingRequest) {
    pendingRequest.markAnswered();
    unansweredRequestsBySerial.remove(pendingRequest.serial());
    if (!pendingRequest.hasAttemptInFlight()) {
      pendingRequestsById.remove(pendingRequest.id());
    }
  }

  /**
   * Extends a request's deadline to that of another client that shares the answer. Never shortens
   * the deadline; does nothing if the request is unknown.
   */
  public void extendDeadline(String requestId, double deadlineSeconds) {
    PendingRequest pendingRequest = pendingRequestsById.get(requestId);
    if (pendingRequest != null) {
      pendingRequest.extendDeadline(deadlineSeconds);
    }
  }

  /** Handles the start of a streamed answer to the client; the deadline no longer applies. */
  public void onStreamStarted(double now, String requestId, int attempt) {
    PendingRequest pendingRequest = pendingRequestsById.get(requestId);
    if (pendingRequest != null && pendingRequest.isInFlight(attempt)) {
      pendingRequest.startStreaming();
    }
  }

  /** Handles the end of an attempt. */
  public void onOutcome(double now, Outcome outcome) {
    PendingRequest pendingRequest = pendingRequestsById.get(outcome.requestId());
    if (pendingRequest == null
        || !pendingRequest.onAttemptEnded(outcome.attempt(), outcome.result().provesNotRun())) {
      return;
    }
    inFlight--;
    ServerHealth server = pendingRequest.server(outcome.attempt());
    updateHealth(now, server, outcome);
    if (outcome.result() == Result.OK) {
      retryPolicy.onSuccess();
      throughput.onAnswer(server.isWarm(now));
    }
    // This call must precede a retry, since the retry may be a fetch too and a request records only
    // one fetch: the key of the ended fetch would never be released.
    recordOutcome(now, pendingRequest, server, outcome);
    if (outcome.completesRequest()
        || outcome.result() == Result.OK
        || pendingRequest.isAnswered()) {
      complete(pendingRequest);
    } else if (!pendingRequest.hasAttemptInFlight()) {
      retryOrComplete(now, pendingRequest, outcome);
    }
  }

  private void updateHealth(double now, ServerHealth server, Outcome outcome) {
    boolean hasRefusedConnection =
        server.onAttemptEnded(
            now, outcome, settings.limits().idleTimeoutSeconds(), fleet.areMostServersHealthy());
    if (hasRefusedConnection) {
      idleConnections.onConnectionRefused(now);
    }
    if (idleConnections.closesIdleConnections(now, server)) {
      actions.closeIdleConnections(server.id());
    }
    fleet.updatePanicState();
  }

  /** Updates load score, cached keys and fetch limit from an outcome, and resumes held requests. */
  private void recordOutcome(
      double now, PendingRequest pendingRequest, ServerHealth server, Outcome outcome) {
    loadSampler.updateLoadScore(now, pendingRequest, server, outcome);
    boolean hasSucceeded = outcome.result() == Result.OK;
    if (hasSucceeded && !pendingRequest.isWrite()) {
      fetchLimiter.onAnswered(now, keyServerHash(pendingRequest, server), outcome.cacheStatus());
    }
    recordFetch(now, pendingRequest, server, outcome);
    for (PendingRequest heldRequest = fetchLimiter.pollHeldRequest(now);
        heldRequest != null;
        heldRequest = fetchLimiter.pollHeldRequest(now)) {
      resume(now, heldRequest);
    }
  }

  /**
   * Updates the fetch loss ratios and the fetch window if the attempt was a likely fetch. A busy
   * reply to a read counts as a lost fetch even if no fetch was expected.
   */
  private void recordFetch(
      double now, PendingRequest pendingRequest, ServerHealth server, Outcome outcome) {
    boolean isFetch = pendingRequest.isFetch(outcome.attempt());
    boolean isBusy = outcome.result() == Result.SERVER_BUSY && !pendingRequest.isWrite();
    if (isFetch || isBusy) {
      boolean hasSucceeded = outcome.result() == Result.OK;
      double objectiveSeconds = pendingRequest.serviceClass().latencyObjectiveSeconds();
      boolean isLate = outcome.activeSeconds() > objectiveSeconds;
      boolean isLateFetch =
          hasSucceeded && isLate && outcome.cacheStatus() != Outcome.CacheStatus.HIT;
      boolean isLost =
          isBusy || outcome.result() == Result.ERROR || outcome.isObservedTimeout() || isLateFetch;
      boolean isInTime = hasSucceeded && !isLate;
      if (isLost || isInTime) {
        fleet.recordFetch(now, server, isLost);
        fetchLimiter.setLossRatio(fleet.sharedFetchLossRatio(now));
      }
      if (isFetch) {
        List<PendingRequest> followers =
            fetchLimiter.onFetchEnded(now, pendingRequest, objectiveSeconds, isInTime, isLost);
        for (PendingRequest follower : followers) {
          resume(now, follower);
        }
      }
    }
  }

  private void resume(double now, PendingRequest pendingRequest) {
    if (pendingRequest.isHeld() && !pendingRequest.isAnswered()) {
      pendingRequest.release();
      dispatch(now, pendingRequest);
      answerIfDone(now, pendingRequest);
    }
  }

  private void retryOrComplete(double now, PendingRequest pendingRequest, Outcome outcome) {
    boolean hasTimeLeft =
        now < pendingRequest.deadlineSeconds() - settings.timerResolutionSeconds();
    switch (retryPolicy.decide(outcome.result(), hasTimeLeft, fetchLimiter.isOriginDegraded())) {
      case RETRY -> dispatch(now, pendingRequest);
      case FETCH_FROM_ORIGIN -> {
        ServerHealth origin = selector.selectOrigin(now, pendingRequest);
        if (origin != null) {
          send(now, pendingRequest, origin);
        }
      }
      case GIVE_UP -> {}
    }
    answerIfDone(now, pendingRequest);
  }

  /** Handles the disconnection of a request's client, which gets no answer. */
  public void onClientDisconnected(double now, String requestId) {
    PendingRequest pendingRequest = pendingRequestsById.get(requestId);
    if (pendingRequest == null || pendingRequest.isAnswered()) {
      return;
    }
    if (settings.limits().allowsCancellation() && !pendingRequest.isStreaming()) {
      for (int attempt = 0; attempt < pendingRequest.attemptCount(); attempt++) {
        if (pendingRequest.isInFlight(attempt)) {
          actions.cancel(requestId, attempt);
        }
      }
    }
    complete(pendingRequest);
  }

  /** Handles a scheduled timer that is due. */
  public void onTimer(double now, long token) {
    if (token == MEMBERSHIP_TIMER) {
      registry.onTimer(now);
      return;
    }
    PendingRequest pendingRequest = unansweredRequestsBySerial.get(token & ~HOLD_FLAG);
    if (pendingRequest == null || pendingRequest.isAnswered() || pendingRequest.isStreaming()) {
      return;
    }
    if ((token & HOLD_FLAG) != 0) {
      pendingRequest.expireHold();
      resume(now, pendingRequest);
    } else if (now < pendingRequest.deadlineSeconds() - settings.timerResolutionSeconds()) {
      actions.scheduleTimer(pendingRequest.serial(), pendingRequest.deadlineSeconds() - now);
    } else {
      answer(now, pendingRequest);
    }
  }
}
