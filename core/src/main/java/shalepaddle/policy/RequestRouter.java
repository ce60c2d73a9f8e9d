package shalepaddle.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Outcome.Result;
import shalepaddle.model.Request;
import shalepaddle.model.Settings;

/**
 * Decides where requests go: Random Jump Consistent Hashing over the servers of the list, with a
 * cap on the requests that this balancer has in flight at each. One object per instance; each
 * method takes the time, in seconds, at which its event happened.
 */
public final class RequestRouter {
  static final long FEED_TOKEN = 0;
  private static final long HOLD = 1;

  /** Jumps tried before giving the ordinary path up: each finds one of many servers. */
  private static final int MAX_JUMPS = 64;

  /** The part of a class's aim that an answer from the cache may take before it is a strain. */
  private static final double FAIR_PART_OF_AIM = 0.4;

  /**
   * What a zone's own copy of a key must save to be worth its misses, sightings there times the
   * price of crossing; and jumps for each zone and home to look for a server.
   */
  private static final double LOCAL_SIGHTINGS = 0.15;

  private static final double LOCAL_JUMPS = 3;

  /** Likely fetches always let through, as a part of requests: about the misses of a warm fleet. */
  private static final double FETCH_FLOOR = 0.1;

  /** Use of its cores at which a server's queue grows long. */
  private static final double FULL_CORES = 0.85;

  /** A key with more than this part of a server's fair share of requests is shared by several. */
  private static final double HOT_SHARE = 0.5;

  /** The part of its fetches that a server may lose before it gets hardly any. */
  private static final double BARRED = 0.3;

  /** Seconds for which connections are closed after use: as long as a fleet keeps its size. */
  private static final double THRIFT = 300;

  private Settings settings;
  private final RoutingActions actions;
  private final SplittableRandom random;
  private final ServerRegistry feed;
  private final HotKeySketch heat = new HotKeySketch();
  private final OriginFetchLimiter guard = new OriginFetchLimiter();
  private final ConsistentHashRing slots = new ConsistentHashRing();
  private final Map<String, Settings.ServiceClass> classes = new HashMap<>();
  private final Map<String, PendingRequest> pending = new HashMap<>();
  private final Map<Long, PendingRequest> bySerial = new HashMap<>();
  private List<ServerHealth> ready = List.of();
  private List<ServerHealth> origins = List.of();
  private double totalWeight;
  private double greatestShare = 1;
  private double fairStrain = 1;
  private boolean fewFailing;
  private double losses;
  private boolean panic;
  private int inFlight;
  private long serials;
  private final RetryBudget retryBudget = new RetryBudget();
  private final ThroughputEstimator rates = new ThroughputEstimator();
  private double thriftUntil = Double.NEGATIVE_INFINITY;

  /** A balancer that knows nothing yet. */
  public RequestRouter(Settings settings, long seed, RoutingActions actions) {
    this.actions = actions;
    this.random = new SplittableRandom(seed);
    this.feed = new ServerRegistry(settings, actions, random.split());
    updateSettings(settings);
  }

  /** New requests follow these; open ones, and those of dropped classes, keep what was. */
  public void updateSettings(Settings next) {
    settings = next;
    feed.settings = next;
    feed.failures = 0;
    next.services().forEach(service -> classes.put(service.name(), service));
  }

  /** News of the list of servers. */
  public void onMembershipUpdate(double now, MembershipUpdate update) {
    feed.apply(now, update);
    place();
  }

  /** An operator leaves a server out until it is put back, whatever the list says meanwhile. */
  public void setExcluded(double now, long server, boolean out) {
    feed.exclude(now, server, out);
    place();
  }

  /** How many servers are listed, or only those that get nothing, by hand or for failures. */
  public int serverCount(boolean avoided) {
    var all = feed.servers.values().stream();
    return (int) all.filter(s -> !avoided || feed.excluded(s) || (!panic && s.suspect())).count();
  }

  private void place() {
    String originKind = settings.cache().originKind();
    origins = feed.ready().stream().filter(s -> s.entry.kind().equals(originKind)).toList();
    List<ServerHealth> caches = new ArrayList<>(feed.ready());
    caches.removeAll(origins);
    totalWeight = caches.stream().mapToDouble(this::weight).sum();
    boolean weighted = settings.weights().isStable();
    if (weighted || !caches.equals(ready)) {
      slots.rebuild(caches, weighted);
    }
    ready = caches;
    countOut();
  }

  /**
   * Panic threshold: while more than half of the servers would be ejected, none is, as the cause is
   * then likely shared. Cost: where most are really down, requests try some of those first.
   */
  private void countOut() {
    panic = 2 * ready.stream().filter(ServerHealth::suspect).count() > ready.size();
  }

  private double weight(ServerHealth server) {
    return settings.weights() == Settings.Weights.NONE
        ? 1
        : BoundedLoad.usable(server.entry.weight());
  }

  /**
   * Another process of this node has sent this to a server, as the first attempt: what its {@link
   * #onOutcome} teaches is learned here as well. Nothing is owed for it, and nothing more is sent.
   */
  public void observeAttempt(double now, Request request, long server) {
    ServerHealth target = feed.servers.get(server);
    if (target != null) {
      PendingRequest p = take(now, request);
      p.answered = true;
      long pair = OriginFetchLimiter.pair(p, target);
      if (likelyFetch(now, p, pair)) {
        guard.started(now, pair, p, singledOut(now, target));
      }
      send(now, p, target);
    }
  }

  private PendingRequest take(double now, Request request) {
    Settings.ServiceClass type =
        Settings.ServiceClass.orUnknown(classes.get(request.serviceClass()), request);
    everySecond(now);
    rates.requested();
    PendingRequest p = new PendingRequest(request, type, settings.limits(), serials += 2, now);
    pending.put(request.id(), p);
    bySerial.put(p.serial, p);
    if (request.key() != null) {
      shareOut(now, p);
    }
    return p;
  }

  /** A client's request. */
  public void onRequest(double now, Request request) {
    PendingRequest p = take(now, request);
    // Rule 1: whatever else happens, the request is answered when its time is up.
    actions.scheduleTimer(p.serial, Math.max(0, p.deadline - now));
    // Guards against more work than the servers can do, where every answer would come late: no more
    // goes out while less would be answered within the aim (Little's law). Fetches have a window of
    // their own, and one for each server is always fair.
    int busy = inFlight - guard.fetches;
    if (busy <= ready.size() || busy <= rates.answerRate() * p.type.latencyObjectiveSeconds()) {
      dispatch(now, p);
    }
    giveUp(now, p);
  }

  /** The node stood still for so many seconds until now: no rate is measured over those. */
  public void onEventLoopStall(double seconds) {
    rates.paused(seconds);
  }

  /**
   * Gives a hot key several homes, the first owners of its own sequence: it may outgrow one server
   * while each balancer sees too little of it to reach a cap. Where crossing zones is priced, a key
   * that its zone asks for often, and any write, goes to owners in the own zone.
   */
  private void shareOut(double now, PendingRequest p) {
    boolean write = p.request.write();
    double seen = write ? 0 : heat.seen(now, p.keyHash);
    double zones = Math.max(1, settings.zones().size());
    double seenInZone = seen * Math.max(1, settings.instances() / zones);
    boolean local =
        settings.prices().crossZone() > 0
            && (write || seenInZone * settings.prices().crossZone() >= LOCAL_SIGHTINGS);
    double share = seen / Math.max(heat.total, 50);
    double servers = local ? ready.size() / zones : ready.size();
    p.homes = (int) Math.max(1, Math.min(servers, Math.ceil(share * servers / HOT_SHARE)));
    p.localJumps = local ? (int) (p.homes * zones * LOCAL_JUMPS) : 0;
    p.firstHome = p.homes > 1 ? random.nextInt(p.homes) * (local ? (int) zones : 1) : 0;
  }

  /** Sends an attempt by the ordinary path, or holds it for a fetch, if a server may take it. */
  private void dispatch(double now, PendingRequest p) {
    ServerHealth target = choose(now, p);
    if (target == null) {
      return;
    }
    long pair = OriginFetchLimiter.pair(p, target);
    if (likelyFetch(now, p, pair)) {
      boolean full = guard.full(now);
      if (!p.impatient && (guard.follow(pair, p) || (full && guard.park(p)))) {
        hold(now, p);
        return;
      } else if (full) {
        return;
      }
      guard.started(now, pair, p, singledOut(now, target));
    }
    send(now, p, target);
  }

  private boolean likelyFetch(double now, PendingRequest p, long pair) {
    boolean cached = !settings.cache().lookAside() && p.request.key() != null && !p.request.write();
    return cached && guard.expectsMiss(now, pair);
  }

  /** Holds a request for a fetch, for at most half of the time in which its answer is wanted. */
  private void hold(double now, PendingRequest p) {
    p.waiting = true;
    actions.scheduleTimer(
        p.serial + HOLD, Math.max(0, p.arrived + p.type.latencyObjectiveSeconds() / 2 - now));
  }

  private void send(double now, PendingRequest p, ServerHealth target) {
    actions.send(p.request.id(), target.id, p.sendWithin(target, now));
    target.sent();
    p.sent(target, now);
    inFlight++;
  }

  /** Once a second, the fleet's usual strain, how many fail, and the rates. */
  private void everySecond(double now) {
    if (!rates.due(now)) {
      return;
    }
    // Shares are relative: what strains all servers alike moves no key.
    greatestShare = Math.max(0.02, ranked(0.9999, server -> server.share(now)));
    var failing = ready.stream().filter(s -> s.unserved > 1 && now - s.endedAt < 1);
    fewFailing = 3 * failing.count() <= ready.size(); // Up to a third of those heard of lately.
    fairStrain = Math.max(1, 1.5 * ranked(0.5, server -> server.strain(now)));
    double warmWeight =
        ready.stream()
            .filter(server -> server.warmth(now) >= 1 && !server.suspect())
            .mapToDouble(this::weight)
            .sum();
    rates.take(now, warmWeight);
    guard.floor = FETCH_FLOOR * rates.requestRate();
  }

  /** The first owner of h(key, 0), h(key, 1), ... that is below its cap. */
  private ServerHealth choose(double now, PendingRequest p) {
    if (settings.cache().lookAside() && p.request.write()) {
      return leastLoaded(now, p, origins);
    }
    boolean write = p.request.write() || p.request.key() == null;
    ServerHealth spare = null;
    double spareFill = Double.POSITIVE_INFINITY;
    for (int jump = 0; jump < p.localJumps + MAX_JUMPS; jump++) {
      ServerHealth server = slots.owner(p.keyHash, p.hashAttempt(jump));
      if (server == null) {
        return null;
      }
      boolean remote = jump < p.localJumps && !server.entry.zone().equals(settings.zone());
      if (remote
          || p.sendWithin(server, now) <= 0
          || p.tries.stream().anyMatch(t -> t.server == server)) {
        continue;
      }
      if (!panic && server.suspect()) {
        if (jump <= p.localJumps
            && p.type.idempotency() == Settings.Idempotency.IDEMPOTENT
            && server.trialDue(now)) {
          return server;
        }
        continue;
      }
      if (!coldRoom(now, server) || !server.keeps(now, p.keyHash, greatestShare)) {
        continue;
      }
      // It lacks room for fetches, others do not: it gets few, and goes on serving what it holds.
      boolean barred = !write && server.fetchLosses(now, losses) > BARRED && !guard.troubled();
      if (barred
          && random.nextInt(20) > 0
          && guard.expectsMiss(now, OriginFetchLimiter.pair(p, server))) {
        continue;
      }
      int cap = BoundedLoad.cap(inFlight + 1, weight(server), totalWeight, settings.instances());
      if (server.inFlight < cap) {
        return server;
      }
      double fill = (double) server.inFlight / cap;
      if (fill < spareFill && server.warmth(now) >= 1) {
        spare = server;
        spareFill = fill;
      }
    }
    return spare != null ? spare : leastLoaded(now, p, ready);
  }

  private boolean coldRoom(double now, ServerHealth server) {
    return server.warmth(now) >= 1 || server.coldRoom(now, rates.warmRate() * weight(server));
  }

  /** The defined end where every jump failed: the emptiest server that may take the request. */
  private ServerHealth leastLoaded(double now, PendingRequest p, List<ServerHealth> among) {
    ServerHealth best = null;
    for (ServerHealth server : among) {
      if ((best == null || server.inFlight < best.inFlight)
          && p.sendWithin(server, now) > 0
          && (panic || !server.suspect() || server.trialDue(now))
          && coldRoom(now, server)) {
        best = server;
      }
    }
    return best;
  }

  /** Answers a request that has no attempt out and is not held. */
  private void giveUp(double now, PendingRequest p) {
    if (!p.answered && p.out == 0 && !p.waiting) {
      answer(now, p);
    }
  }

  /** The final answer of a request that no server answered. */
  private void answer(double now, PendingRequest p) {
    if (p.out == 0 && p.mayRefuse(now)) {
      double retryAfterSeconds =
          RetryAfterAdvice.seconds(
              settings.limits(), pending.size(), rates.answerRate(), random::nextDouble);
      actions.reject(p.request.id(), retryAfterSeconds);
    } else {
      actions.fail(p.request.id());
    }
    over(p);
  }

  /** The request has its final answer; its attempts may still be out. */
  private void over(PendingRequest p) {
    p.answered = true;
    bySerial.remove(p.serial);
    if (p.out == 0) {
      pending.remove(p.request.id());
    }
  }

  /** Somebody has joined the request who waits for it until then. */
  public void extendDeadline(String requestId, double deadline) {
    PendingRequest p = pending.get(requestId);
    if (p != null) {
      p.deadline = Math.max(p.deadline, deadline);
    }
  }

  /** A streamed answer has begun: it belongs to the client and has no deadline any more. */
  public void onStreamStarted(double now, String requestId, int attempt) {
    PendingRequest p = pending.get(requestId);
    if (p != null && p.isOut(attempt)) {
      p.streaming = true;
    }
  }

  /** An attempt has ended. */
  public void onOutcome(double now, Outcome outcome) {
    PendingRequest p = pending.get(outcome.requestId());
    if (p == null || !p.ended(outcome.attempt(), outcome.result().provesNotRun())) {
      return;
    }
    inFlight--;
    ServerHealth server = p.tries.get(outcome.attempt()).server;
    boolean refused =
        server.ended(now, outcome, settings.limits().idleTimeoutSeconds(), fewFailing);
    thrift(now, server, refused);
    countOut();
    if (outcome.result() == Result.OK) {
      retryBudget.deposit();
      rates.answered(server.warmth(now) >= 1);
    }
    // First: a retry would take the place of the fetch that has ended, and keep its key shut.
    learn(now, p, server, outcome);
    if (outcome.completesRequest() || outcome.result() == Result.OK || p.answered) {
      over(p);
    } else if (p.out == 0) {
      next(now, p, outcome);
    }
  }

  /** Closes what is not in use while servers that run refuse connections: others want them. */
  private void thrift(double now, ServerHealth server, boolean refused) {
    if (refused) {
      thriftUntil = now + THRIFT;
    }
    if (now < thriftUntil && server.inFlight == 0) {
      actions.closeIdleConnections(server.id);
      server.connectedAt = Double.NEGATIVE_INFINITY;
    }
  }

  /**
   * What an outcome says of its server's strain, set against the fleet's: a slow origin, which
   * makes hits wait behind fetches everywhere, must move no keys to caches lacking them.
   */
  private void judge(double now, PendingRequest p, ServerHealth server, Outcome outcome) {
    boolean fetch = outcome.attempt() == p.fetchAttempt || outcome.cacheStatus().isMiss();
    // A hung server has no hits to tell of it: while fetches fare well elsewhere it is blamed.
    boolean hung =
        outcome.result() == Result.TIMEOUT && (!guard.troubled() || singledOut(now, server));
    if (outcome.load() != null && outcome.load().utilization() >= 0) {
      server.strained(now, outcome.load().utilization() / FULL_CORES, fairStrain);
    }
    if (p.request.write() || (fetch && !hung && outcome.cacheStatus() != Outcome.CacheStatus.HIT)) {
      return;
    }
    if (outcome.result() == Result.OK) {
      server.strained(
          now,
          outcome.activeSeconds() / (FAIR_PART_OF_AIM * p.type.latencyObjectiveSeconds()),
          fairStrain);
    } else if (outcome.isObservedTimeout()
        || (outcome.result() == Result.SERVER_BUSY && server.unserved > 1)) {
      // One that turns away single reads lacks room for fetches, and serves what it holds.
      server.strained(now, 2, fairStrain);
    }
  }

  /** What an outcome says of the caches and the origin, and who may go on because of it. */
  private void learn(double now, PendingRequest p, ServerHealth server, Outcome outcome) {
    judge(now, p, server, outcome);
    boolean ok = outcome.result() == Result.OK;
    if (ok && !p.request.write()) {
      guard.answered(now, OriginFetchLimiter.pair(p, server), outcome.cacheStatus());
    }
    boolean fetch = outcome.attempt() == p.fetchAttempt;
    boolean full = outcome.result() == Result.SERVER_BUSY && !p.request.write();
    if (fetch || full) {
      boolean late = outcome.activeSeconds() > p.type.latencyObjectiveSeconds();
      boolean lateFetch = ok && late && outcome.cacheStatus() != Outcome.CacheStatus.HIT;
      boolean failed =
          full || outcome.result() == Result.ERROR || outcome.isObservedTimeout() || lateFetch;
      if (failed || (ok && !late)) {
        server.fetched(now, failed, losses);
        losses += 0.1 * ((failed ? 1 : 0) - losses);
        // What has its cause in some servers is not the origin's: its troubles reach all of them.
        guard.losses = ranked(0.25, each -> each.fetchLosses(now, losses));
      }
      for (PendingRequest follower :
          fetch ? guard.over(now, p, ok && !late, failed) : List.<PendingRequest>of()) {
        resume(now, follower);
      }
    }
    for (PendingRequest next = guard.unpark(now); next != null; next = guard.unpark(now)) {
      resume(now, next);
    }
  }

  /** The figure that such a part of the ready servers keeps below. */
  private double ranked(double part, ToDoubleFunction<ServerHealth> figure) {
    double[] figures = ready.stream().mapToDouble(figure).sorted().toArray();
    return figures.length == 0 ? 0 : figures[(int) (part * figures.length)];
  }

  /** Whether a server is strained beyond the others, so that the cause is its own. */
  private boolean singledOut(double now, ServerHealth server) {
    return server.strain(now) > fairStrain
        || (fewFailing && server.unserved >= ServerHealth.UNSERVED_AFTER - 1);
  }

  private void resume(double now, PendingRequest p) {
    if (p.waiting && !p.answered) {
      p.waiting = false;
      dispatch(now, p);
      giveUp(now, p);
    }
  }

  private void next(double now, PendingRequest p, Outcome outcome) {
    boolean inTime = now < p.deadline - settings.timerResolutionSeconds();
    if (inTime && outcome.result() == Result.CACHE_MISS) {
      ServerHealth origin = leastLoaded(now, p, origins);
      if (origin != null) {
        send(now, p, origin);
      }
    } else if (inTime
        && (outcome.result().isConnectionUnavailable()
            || (outcome.result() == Result.SERVER_BUSY && !guard.troubled())
            || (retryBudget.hasCapacity()
                && (outcome.result() == Result.MALFORMED_RESPONSE || !guard.troubled())))) {
      // Not while fetches fail: a retry would be one more of them.
      if (!outcome.result().provesNotRun() && !outcome.result().isConnectionFailure()) {
        retryBudget.withdraw();
      }
      dispatch(now, p);
    }
    giveUp(now, p);
  }

  /** The client has left; nothing is owed any more. */
  public void onClientDisconnected(double now, String requestId) {
    PendingRequest p = pending.get(requestId);
    if (p == null || p.answered) {
      return;
    }
    for (int i = 0; i < p.tries.size(); i++) {
      if (p.isOut(i) && settings.limits().allowsCancellation() && !p.streaming) {
        actions.cancel(requestId, i);
      }
    }
    over(p);
  }

  /** A timer set earlier came due. */
  public void onTimer(double now, long token) {
    if (token == FEED_TOKEN) {
      feed.timer(now);
      return;
    }
    PendingRequest p = bySerial.get(token & ~HOLD);
    if (p == null || p.answered || p.streaming) {
      return;
    }
    if ((token & HOLD) != 0) {
      p.impatient = true;
      resume(now, p);
    } else if (now < p.deadline - settings.timerResolutionSeconds()) {
      actions.scheduleTimer(p.serial, p.deadline - now);
    } else {
      answer(now, p);
    }
  }
}
