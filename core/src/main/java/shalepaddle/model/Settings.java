package shalepaddle.model;

import java.util.List;

/**
 * What a load balancer instance is configured with, in the simulator and in a real node alike. The
 * names that these have in configuration files and on the simulator's wire are mapped in {@code
 * SettingsFormat}.
 *
 * @param zone the instance's own zone
 * @param zones all zones
 * @param kinds the machine kinds
 * @param instanceNumber the instance's number, from 0 on
 * @param instances how many load balancer instances there are
 * @param pollsEndpointList whether the endpoint list must be polled, rather than watched
 * @param clientsMarkRetries whether clients mark their retries
 * @param weights what the weights in the endpoint list mean
 * @param cache how the caches work
 * @param limits what the deployment permits
 * @param contract the figures of the contract with clients, servers and discovery
 * @param prices the costs by which a deployment is measured
 * @param services the service classes
 * @param tenants the tenants, empty where there are none
 * @param overQuotaWeightRatio priority of a request over its tenant's quota, as a part of its
 *     class's
 * @param timerResolutionSeconds the shortest time between two batches of events
 */
public record Settings(
    String zone,
    List<String> zones,
    List<String> kinds,
    int instanceNumber,
    int instances,
    boolean pollsEndpointList,
    boolean clientsMarkRetries,
    Weights weights,
    CacheMode cache,
    Limits limits,
    Contract contract,
    Prices prices,
    List<ServiceClass> services,
    List<Tenant> tenants,
    double overQuotaWeightRatio,
    double timerResolutionSeconds) {

  /** What the weights in the endpoint list mean. */
  public enum Weights {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE;

    /** Whether they stand for sizes of machines; live ones follow the load. */
    public boolean isStable() {
      return this == NOMINAL || this == ROUGH;
    }
  }

  /** What more than one run of a request does. */
  public enum Idempotency {
    /** Nothing. */
    IDEMPOTENT,
    /** Nothing, as servers drop a repeated idempotency key, for some time and in some scope. */
    IDEMPOTENT_WITH_KEY,
    /** It takes effect more than once. */
    NOT_IDEMPOTENT
  }

  /** Which servers together drop a repeated idempotency key. */
  public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL;

    /** Whether both servers are in the same scope. */
    public boolean spans(ServerEntry a, ServerEntry b) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> a.zone().equals(b.zone());
        case CELL -> a.cell() == b.cell() && a.zone().equals(b.zone());
      };
    }
  }

  /**
   * How the caches work.
   *
   * @param lookAside whether the instance itself fetches from the origin what a cache does not have
   * @param originKind the origin's machine kind in the endpoint list, null if it is not listed
   * @param originOverloadRatio the multiple of its capacity at which the origin halts, 0 for none
   * @param originOverloadSeconds how long such load lasts until the origin halts
   */
  public record CacheMode(
      boolean lookAside,
      String originKind,
      double originOverloadRatio,
      double originOverloadSeconds) {}

  /**
   * What the deployment permits.
   *
   * @param maxAttempts attempts of one request
   * @param allowsParallelAttempts whether hedged requests are permitted
   * @param allowsCancellation whether attempts may be cancelled
   * @param allowsHealthChecks whether servers may be sent health checks
   * @param allowsGossip whether instances may send each other messages
   * @param sendsRetryAfter whether rejected clients are given a Retry-After
   * @param maxRetryAfterSeconds the longest Retry-After that clients follow
   * @param connectTimeoutSeconds after which a connection attempt fails
   * @param idleTimeoutSeconds after which an idle connection is closed
   * @param maxAttemptsPerConnection attempts in flight that share a connection
   */
  public record Limits(
      int maxAttempts,
      boolean allowsParallelAttempts,
      boolean allowsCancellation,
      boolean allowsHealthChecks,
      boolean allowsGossip,
      boolean sendsRetryAfter,
      double maxRetryAfterSeconds,
      double connectTimeoutSeconds,
      double idleTimeoutSeconds,
      int maxAttemptsPerConnection) {}

  /**
   * The figures of the contract with clients, servers and discovery.
   *
   * @param responseGraceSeconds how long after the client's deadline a final answer still counts
   * @param maxPollIntervalSeconds the longest time between polls of the endpoint list
   * @param drainGraceSeconds how long requests may still be sent to a draining server
   * @param slowStartMinRatio the part of its capacity that a started server has at least
   * @param slowStartSeconds the time after its start at which a server is warm
   * @param overloadRatio the multiple of its present capacity that overloads a server in slow start
   * @param overloadSeconds how long such load lasts until the server fails
   */
  public record Contract(
      double responseGraceSeconds,
      double maxPollIntervalSeconds,
      double drainGraceSeconds,
      double slowStartMinRatio,
      double slowStartSeconds,
      double overloadRatio,
      double overloadSeconds) {}

  /**
   * The costs by which a deployment is measured, each for a fraction or a rate.
   *
   * @param crossZone attempts that cross zones
   * @param wastedWork work that served no answer
   * @param lateFailure priority weight that failed after its latency objective
   * @param originFetch fetches from the origin
   * @param healthCheck health checks
   * @param handshake new connections
   * @param connection open connections
   * @param gossip bytes between instances
   * @param discovery lines of the endpoint list
   */
  public record Prices(
      double crossZone,
      double wastedWork,
      double lateFailure,
      double originFetch,
      double healthCheck,
      double handshake,
      double connection,
      double gossip,
      double discovery) {}

  /**
   * A class of requests.
   *
   * @param name its name
   * @param latencyObjectiveSeconds an answer within this time has the full priority weight
   * @param objectivePerWorkSecond how much the objective grows with a request's own work
   * @param deadlineSeconds how long the client waits over all of its own attempts
   * @param priorityWeight how important a request is, relative to other classes
   * @param lateWeightRatio the part of the weight that an answer after the objective still has
   * @param idempotency what more than one run of a request does
   * @param deduplicationScope which servers drop a repeated idempotency key
   * @param idempotencyWindowSeconds how long they do, from the first attempt that may have run
   * @param streamed whether answers are streamed
   */
  public record ServiceClass(
      String name,
      double latencyObjectiveSeconds,
      double objectivePerWorkSecond,
      double deadlineSeconds,
      double priorityWeight,
      double lateWeightRatio,
      Idempotency idempotency,
      DeduplicationScope deduplicationScope,
      double idempotencyWindowSeconds,
      boolean streamed) {

    /**
     * The class if it is known, else one for this request alone, which counts as not idempotent.
     */
    public static ServiceClass orUnknown(ServiceClass known, Request request) {
      double budget = request.budgetSeconds();
      return known != null
          ? known
          : new ServiceClass(
              request.serviceClass(),
              budget,
              0,
              budget,
              1,
              0,
              Idempotency.NOT_IDEMPOTENT,
              DeduplicationScope.CELL,
              0,
              false);
    }
  }

  /**
   * A tenant.
   *
   * @param name its name
   * @param capacityRatio its part of the service's capacity
   * @param quotaPerSecond requests a second within its quota, over all instances
   */
  public record Tenant(String name, double capacityRatio, double quotaPerSecond) {}
}
