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
 * Selects the server of an attempt: the first owner on the key's hash sequence that is below its
 * bounded-load cap, is not ejected, and accepts the key. Holds the list of ready servers.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router, whose health, throughput and fetch
 * state it reads.
 */
final class ServerSelector {
  /**
   * Maximum number of jumps on the ring, after those restricted to the own zone, before the least
   * loaded server is selected instead. Several jumps may find the same server.
   */
  private static final int MAX_RING_JUMPS = 64;

  /** A fetch-limited server gets one in this many of its likely fetches, on average, as a trial. */
  private static final int FETCHES_PER_TRIAL = 20;

  private final SplittableRandom random;
  private final FleetHealth fleet;
  private final ThroughputEstimator throughput;
  private final OriginFetchLimiter<PendingRequest> fetchLimiter;
  private final ConsistentHashRing ring = new ConsistentHashRing();
  private Settings settings;
  private List<ServerHealth> cacheServers = List.of();
  private List<ServerHealth> originServers = List.of();
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

  void updateSettings(Settings newSettings) {
    settings = newSettings;
  }

  /** Updates the ready servers. Rebuilds the ring if they changed or if it depends on weights. */
  void rebuildRing(ServerRegistry registry) {
    List<ServerHealth> readyServers = registry.readyServers();
    String originKind = settings.cache().originKind();
    originServers =
        readyServers.stream().filter(server -> server.entry().kind().equals(originKind)).toList();
    List<ServerHealth> readyCacheServers = new ArrayList<>(readyServers);
    readyCacheServers.removeAll(originServers);
    totalWeight = readyCacheServers.stream().mapToDouble(this::weight).sum();
    boolean isWeighted = settings.weights().isStable();
    if (isWeighted || !readyCacheServers.equals(cacheServers)) {
      ring.rebuild(readyCacheServers, isWeighted);
    }
    cacheServers = readyCacheServers;
    fleet.setServers(cacheServers);
    fleet.updatePanicState();
  }

  /** The number of cache servers that are ready. */
  int readyCount() {
    return cacheServers.size();
  }

  private double weight(ServerHealth server) {
    return settings.weights() == Settings.Weights.NONE
        ? 1
        : BoundedLoad.usableWeight(server.entry().weight());
  }

  /** The sum of the weights of warm servers that are not ejected. */
  double warmWeight(double nowSeconds) {
    return cacheServers.stream()
        .filter(server -> server.isWarm(nowSeconds) && !server.isEjected())
        .mapToDouble(this::weight)
        .sum();
  }

  /**
   * Selects the server for the next attempt of a request; null if none may take it. If all servers
   * that the ring jumps find are at their caps, selects the warm one with the lowest load relative
   * to its cap. Draws a random number for each ring jump that finds a fetch-limited server.
   *
   * @param inFlight all attempts that this load balancer has in flight
   */
  ServerHealth select(double nowSeconds, PendingRequest request, int inFlight) {
    if (settings.cache().isLookAside() && request.isWrite()) {
      return selectOrigin(nowSeconds, request);
    }
    ServerHealth fallbackServer = null;
    double fallbackLoadRatio = Double.POSITIVE_INFINITY;
    for (int ringJump = 0; ringJump < request.ownZoneJumps() + MAX_RING_JUMPS; ringJump++) {
      ServerHealth server = ring.owner(request.keyHash(), request.hashAttempt(ringJump));
      if (server == null) {
        return null;
      }
      if (!mayReceive(nowSeconds, request, server, ringJump)) {
        continue;
      }
      if (fleet.isAvoided(server)) {
        if (ringJump <= request.ownZoneJumps()
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
      double loadRatio = (double) server.inFlight() / cap;
      if (loadRatio < fallbackLoadRatio && server.isWarm(nowSeconds)) {
        fallbackServer = server;
        fallbackLoadRatio = loadRatio;
      }
    }
    return fallbackServer != null
        ? fallbackServer
        : selectLeastLoaded(nowSeconds, request, cacheServers);
  }

  /** The least loaded origin server for an attempt; null if none may take it. */
  ServerHealth selectOrigin(double nowSeconds, PendingRequest request) {
    return selectLeastLoaded(nowSeconds, request, originServers);
  }

  private boolean mayReceive(
      double nowSeconds, PendingRequest request, ServerHealth server, int ringJump) {
    boolean isRemote =
        ringJump < request.ownZoneJumps() && !server.entry().zone().equals(settings.zone());
    return !isRemote
        && request.sendWithinSeconds(server, nowSeconds) > 0
        && !request.wasSentTo(server);
  }

  /** Whether slow start, load score and fetch losses permit sending the key to the server. */
  private boolean acceptsKey(double nowSeconds, PendingRequest request, ServerHealth server) {
    if (!hasSlowStartCapacity(nowSeconds, server)
        || !server.acceptsKey(nowSeconds, request.keyHash(), fleet.greatestKeyFraction())) {
      return false;
    }
    // A server that lacks capacity for fetches while others have it gets few of them, but continues
    // to serve what it has cached.
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
   * Selects the server with the fewest requests in flight that may take the request. Unlike the
   * ring jumps, this ignores caps and load scores and may select the server of an earlier attempt.
   */
  private ServerHealth selectLeastLoaded(
      double nowSeconds, PendingRequest request, List<ServerHealth> servers) {
    ServerHealth leastLoadedServer = null;
    for (ServerHealth server : servers) {
      if ((leastLoadedServer == null || server.inFlight() < leastLoadedServer.inFlight())
          && request.sendWithinSeconds(server, nowSeconds) > 0
          && (!fleet.isAvoided(server) || server.isTrialDue(nowSeconds))
          && hasSlowStartCapacity(nowSeconds, server)) {
        leastLoadedServer = server;
      }
    }
    return leastLoadedServer;
  }
}
