package shalepaddle.model;

import java.util.List;

/**
 * The configuration of a load balancer instance, both in the simulator and in a real node. {@code
 * SettingsFormat} maps these values to their names in configuration files and on the simulator's
 * wire.
 *
 * @param zone the instance's own zone
 * @param zones all zones
 * @param kinds the machine kinds
 * @param instanceNumber the instance's number, counted from 0
 * @param instances the number of load balancer instances
 * @param pollsEndpointList whether the endpoint list must be polled, rather than watched
 * @param clientsMarkRetries whether clients mark their retries
 * @param weights what the weights in the endpoint list mean
 * @param cache how the caches work
 * @param limits limits of the deployment
 * @param contract the figures of the contract with clients, servers and discovery
 * @param prices the weights of the costs by which a deployment is rated
 * @param services the service classes
 * @param tenants the tenants, empty where there are none
 * @param overQuotaWeightRatio priority weight of a request above its tenant's quota, as a fraction
 *     of its service class's priority weight
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

  /** The meaning of the weights in the endpoint list. */
  public enum Weights {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE;

    /** Whether the weights express machine sizes. {@code LIVE} weights follow the load instead. */
    public boolean isStable() {
      return this == NOMINAL || this == ROUGH;
    }
  }

  /** The effect of running a request more than once. */
  public enum Idempotency {
    /** Several runs have the same effect as one. */
    IDEMPOTENT,
    /**
     * Several runs have the same effect as one, since servers drop a repeated idempotency key
     * within a time window and a {@link DeduplicationScope}.
     */
    IDEMPOTENT_WITH_KEY,
    /** Each run of the request takes effect again. */
    NOT_IDEMPOTENT
  }

  /** The set of servers that share idempotency keys, and so drop repeated ones. */
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
   * @param isLookAside whether the instance itself fetches a value that a cache does not have from
   *     the origin
   * @param originKind the origin's machine kind in the endpoint list, null if it is not listed
   * @param originOverloadRatio load at which the origin halts, as a multiple of its capacity; 0 if
   *     it never does
   * @param originOverloadSeconds how long such a load lasts before the origin halts
   */
  public record CacheMode(
      boolean isLookAside,
      String originKind,
      double originOverloadRatio,
      double originOverloadSeconds) {}

  /**
   * Limits of the deployment.
   *
   * @param maxAttempts maximum number of attempts of one request
   * @param allowsParallelAttempts whether hedged requests are permitted
   * @param allowsCancellation whether attempts may be cancelled
   * @param allowsHealthChecks whether servers may be sent health checks
   * @param allowsGossip whether instances may send each other messages
   * @param sendsRetryAfter whether rejections contain a Retry-After
   * @param maxRetryAfterSeconds the longest Retry-After that clients follow
   * @param connectTimeoutSeconds time after which a connection attempt fails
   * @param idleTimeoutSeconds time after which an idle connection is closed
   * @param maxAttemptsPerConnection maximum number of attempts in flight on one connection
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
   * @param responseGraceSeconds how long after the client's deadline a final answer is still valid
   * @param maxPollIntervalSeconds the longest time between polls of the endpoint list
   * @param drainGraceSeconds how long requests may still be sent to a draining server
   * @param slowStartMinRatio the fraction of its capacity that a server has when it starts
   * @param slowStartSeconds the time after its start at which a server is warm
   * @param overloadRatio the load that overloads a server in slow start, as a multiple of its
   *     present capacity
   * @param overloadSeconds how long such a load lasts before the server fails
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
   * The weights of the costs by which a deployment is rated, each applied to a fraction or a rate.
   *
   * @param crossZonePrice attempts that cross zones
   * @param wastedWorkPrice work that contributed to no answer
   * @param lateFailurePrice priority weight of requests that failed after their latency objective
   * @param originFetchPrice fetches from the origin
   * @param healthCheckPrice health checks
   * @param handshakePrice new connections
   * @param connectionPrice open connections
   * @param gossipPrice bytes sent between instances
   * @param discoveryPrice endpoint list lines received
   */
  public record Prices(
      double crossZonePrice,
      double wastedWorkPrice,
      double lateFailurePrice,
      double originFetchPrice,
      double healthCheckPrice,
      double handshakePrice,
      double connectionPrice,
      double gossipPrice,
      double discoveryPrice) {}

  /**
   * A class of requests.
   *
   * @param name its name
   * @param latencyObjectiveSeconds an answer within this time has the full priority weight
   * @param objectivePerWorkSecond by how many seconds the objective grows per second of a request's
   *     expected work
   * @param deadlineSeconds how long the client waits in total, including its own retries
   * @param priorityWeight the importance of a request, relative to other classes
   * @param lateWeightRatio the fraction of the weight that an answer after the objective still has
   * @param idempotency the effect of running a request more than once
   * @param deduplicationScope which servers drop a repeated idempotency key
   * @param idempotencyWindowSeconds how long they do so, from the first attempt that may have run
   * @param isStreamed whether answers are streamed
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
      boolean isStreamed) {

    /**
     * Returns the known class, or if it is null, a class for this request only, which is not
     * idempotent.
     */
    public static ServiceClass orUnknown(ServiceClass knownClass, Request request) {
      double budgetSeconds = request.budgetSeconds();
      return knownClass != null
          ? knownClass
          : new ServiceClass(
              request.serviceClass(),
              budgetSeconds,
              0,
              budgetSeconds,
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
   * @param capacityRatio its fraction of the service's capacity
   * @param quotaPerSecond its quota in requests per second, over all instances
   */
  public record Tenant(String name, double capacityRatio, double quotaPerSecond) {}
}
