package shalepaddle.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import shalepaddle.model.Settings;
import shalepaddle.policy.admission.OriginFetchLimiter;
import shalepaddle.policy.hash.Hashing;
import shalepaddle.policy.health.FleetHealth;
import shalepaddle.policy.health.ServerHealth;
import shalepaddle.policy.health.ThroughputEstimator;
import shalepaddle.policy.membership.ServerRegistry;
import shalepaddle.policy.placement.BoundedLoad;
import shalepaddle.policy.placement.ConsistentHashRing;

/**
 * Selects the server of an attempt: the first owner on the key's hash sequence that has capacity
 * under its bounded load, is not ejected, and accepts the key. Knows the ready servers.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router, whose state of health, throughput
 * and fetches it reads.
 */
final class ServerSelector {
  /**
   * Jumps on the ring, after those in the own zone, before the least loaded server is taken
   * instead. Several jumps may find the same server.
   */
  private static final int MAX_JUMPS = 64;

  /** One in this many likely fetches, on average, is a trial of a fetch-limited server. */
  private static final int FETCHES_PER_TRIAL = 20;

  private final SplittableRandom random;
  private final FleetHealth fleet;
  private final ThroughputEstimator throughput;
  private final OriginFetchLimiter<PendingRequest> fetchLimiter;
  private final ConsistentHashRing ring = new ConsistentHashRing();
  private Settings settings;
  private List<ServerHealth> caches = List.of();
  private List<ServerHealth> origins = List.of();
  private double totalWeight;

  ServerSelector(
      Settings settings,
      SplittableRandom random,
      FleetHealth fleet,
      ThroughputEstimator throughput,
      OriginFetchLimiter<PendingRequest> fetchLimiter) {
    this.settings = settings;
    this.random = random;
    this.fleet = fleet;
    this.throughput = throughput;
    this.fetchLimiter = fetchLimiter;
  }

  void updateSettings(Settings next) {
    settings = next;
  }

  /** Takes over the ready servers; rebuilds the ring if they or, where used, weights may differ. */
  void rebuildRing(ServerRegistry registry) {
    List<ServerHealth> ready = registry.readyServers();
    String originKind = settings.cache().originKind();
    origins = ready.stream().filter(server -> server.entry().kind().equals(originKind)).toList();
    List<ServerHealth> readyCaches = new ArrayList<>(ready);
    readyCaches.removeAll(origins);
    totalWeight = readyCaches.stream().mapToDouble(this::weight).sum();
    boolean weighted = settings.weights().isStable();
    if (weighted || !readyCaches.equals(caches)) {
      ring.rebuild(readyCaches, weighted);
    }
    caches = readyCaches;
    fleet.setServers(caches);
    fleet.updatePanicState();
  }

  /** How many cache servers are ready. */
  int readyCount() {
    return caches.size();
  }

  private double weight(ServerHealth server) {
    return settings.weights() == Settings.Weights.NONE
        ? 1
        : BoundedLoad.usableWeight(server.entry().weight());
  }

  /** The sum of the weights of warm servers that are not ejected. */
  double warmWeight(double nowSeconds) {
    return caches.stream()
        .filter(server -> server.isWarm(nowSeconds) && !server.isEjected())
        .mapToDouble(this::weight)
        .sum();
  }

  /**
   * The server for the next attempt of a request; null if none may take it. If all servers that the
   * jumps find are at their caps, it is the warm one of them with the least load relative to its
   * cap. Draws a random number for each jump that finds a fetch-limited server.
   *
   * @param inFlight all attempts that this load balancer has in flight
   */
  ServerHealth select(double nowSeconds, PendingRequest request, int inFlight) {
    if (settings.cache().lookAside() && request.isWrite()) {
      return selectOrigin(nowSeconds, request);
    }
    ServerHealth fallback = null;
    double fallbackFill = Double.POSITIVE_INFINITY;
    for (int jump = 0; jump < request.localJumps() + MAX_JUMPS; jump++) {
      ServerHealth server = ring.owner(request.keyHash(), request.hashAttempt(jump));
      if (server == null) {
        return null;
      }
      if (!mayReceive(nowSeconds, request, server, jump)) {
        continue;
      }
      if (fleet.isAvoided(server)) {
        if (jump <= request.localJumps()
            && request.isIdempotent()
            && server.isTrialDue(nowSeconds)) {
          return server;
        }
        continue;
      }
      if (!acceptsKey(nowSeconds, request, server)) {
        continue;
      }
      int cap = BoundedLoad.cap(inFlight + 1, weight(server), totalWeight, settings.instances());
      if (server.inFlight() < cap) {
        return server;
      }
      double fill = (double) server.inFlight() / cap;
      if (fill < fallbackFill && server.isWarm(nowSeconds)) {
        fallback = server;
        fallbackFill = fill;
      }
    }
    return fallback != null ? fallback : leastLoaded(nowSeconds, request, caches);
  }

  /** The least loaded origin server for an attempt; null if none may take it. */
  ServerHealth selectOrigin(double nowSeconds, PendingRequest request) {
    return leastLoaded(nowSeconds, request, origins);
  }

  private boolean mayReceive(
      double nowSeconds, PendingRequest request, ServerHealth server, int jump) {
    boolean isRemote =
        jump < request.localJumps() && !server.entry().zone().equals(settings.zone());
    return !isRemote
        && request.sendWithinSeconds(server, nowSeconds) > 0
        && !request.wasSentTo(server);
  }

  /** Whether the server takes the key, as far as slow start, load score and fetch losses allow. */
  private boolean acceptsKey(double nowSeconds, PendingRequest request, ServerHealth server) {
    if (!hasSlowStartCapacity(nowSeconds, server)
        || !server.acceptsKey(nowSeconds, request.keyHash(), fleet.greatestKeyFraction())) {
      return false;
    }
    // A server that lacks capacity for fetches, while others have it, gets few of them and goes on
    // serving what it has cached.
    boolean isRead = !request.isWrite() && request.request().key() != null;
    boolean isFetchLimited =
        isRead && fleet.isFetchLimited(nowSeconds, server) && !fetchLimiter.isOriginDegraded();
    return !isFetchLimited
        || random.nextInt(FETCHES_PER_TRIAL) == 0
        || !fetchLimiter.expectsMiss(
            nowSeconds, Hashing.ofKeyAtServer(request.keyHash(), server.id()));
  }

  private boolean hasSlowStartCapacity(double nowSeconds, ServerHealth server) {
    return server.hasSlowStartCapacity(
        nowSeconds, throughput.warmAnswersPerSecond() * weight(server));
  }

  /**
   * The server with the fewest requests in flight that may take the request. Unlike the jumps, it
   * ignores caps and load scores, and may return a server that an earlier attempt was sent to.
   */
  private ServerHealth leastLoaded(
      double nowSeconds, PendingRequest request, List<ServerHealth> servers) {
    ServerHealth best = null;
    for (ServerHealth server : servers) {
      if ((best == null || server.inFlight() < best.inFlight())
          && request.sendWithinSeconds(server, nowSeconds) > 0
          && (!fleet.isAvoided(server) || server.isTrialDue(nowSeconds))
          && hasSlowStartCapacity(nowSeconds, server)) {
        best = server;
      }
    }
    return best;
  }
}
