package shalepaddle.model;

import java.util.List;

/**
 * What an instance is told when it starts.
 *
 * @param zone the instance's own zone
 * @param zones all zones
 * @param kinds the machine kinds
 * @param instanceNumber the instance's number
 * @param instances how many instances the tier has
 * @param pollsEndpointList whether the list comes only when asked for
 * @param clientsMarkRetries whether clients mark their repeats
 * @param weights what the weights in the list mean
 * @param cache how the caches work
 * @param limits what the deployment permits
 * @param contract the figures of the four rules
 * @param prices what comes off the result
 * @param services the request classes
 * @param tenants the tenants, empty where there are none
 * @param overQuotaWeightRatio worth of a request past its tenant's share, as a part of its class's
 *     worth
 * @param timerResolutionSeconds the shortest time between two batches of events, in seconds
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

  /** What the weights in the list mean. */
  public enum Weights {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE;

    /** Whether they tell sizes that last: live ones follow the load. */
    public boolean isStable() {
      return this == NOMINAL || this == ROUGH;
    }
  }

  /** What repeating a request does. */
  public enum Idempotency {
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NOT_IDEMPOTENT
  }

  /** Which servers drop the repeats of a keyed request. */
  public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL;

    /** Whether two servers belong to the same one. */
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
   * @param lookAside whether the instance itself fetches from the origin what a cache lacks
   * @param originKind the machine kind of the origin in the list, null if it is not listed
   * @param originOverloadRatio the multiple of its capacity at which the origin halts, 0 for none
   * @param originOverloadSeconds how long that takes
   */
  public record CacheMode(
      boolean lookAside,
      String originKind,
      double originOverloadRatio,
      double originOverloadSeconds) {}

  /**
   * What the deployment permits.
   *
   * @param maxAttempts attempts a request may have
   * @param allowsParallelAttempts whether two may be out together
   * @param allowsCancellation whether attempts may be called off
   * @param allowsHealthChecks whether servers may be probed
   * @param allowsGossip whether instances may send each other messages
   * @param sendsRetryAfter whether clients are given a time to stay away
   * @param maxRetryAfterSeconds the longest time that clients follow
   * @param connectTimeoutSeconds seconds after which a connection attempt fails
   * @param idleTimeoutSeconds seconds after which an idle connection is closed
   * @param maxAttemptsPerConnection attempts that share a connection
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
   * The figures of the four rules.
   *
   * @param responseGraceSeconds how long past the client's deadline a final answer still counts
   * @param maxPollIntervalSeconds how long an instance without a subscription may go without asking
   * @param drainGraceSeconds how long sends to a draining server may go on
   * @param slowStartMinRatio the share of its capacity that a started server has at least
   * @param slowStartSeconds the time after which it is warm at the latest
   * @param overloadRatio the multiple of its capacity that pushes a cold server over
   * @param overloadSeconds how long that takes
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
   * What comes off the result, each times its share or rate.
   *
   * @param crossZone attempts that cross zones
   * @param wastedWork work that served no answer
   * @param lateFailure worth that ended unserved after its aim
   * @param originFetch fetches from the origin
   * @param healthCheck probes
   * @param handshake new connections
   * @param connection open connections
   * @param gossip bytes between instances
   * @param discovery list lines
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
   * @param latencyObjectiveSeconds an answer inside this time has the full worth
   * @param objectivePerWorkSecond multiple of the request's own work by which the aim grows
   * @param deadlineSeconds how long the client waits over all its tries
   * @param priorityWeight what a request is worth
   * @param lateWeightRatio the part of the worth that an answer past the aim still has
   * @param idempotency what repeating it does
   * @param deduplicationScope which servers drop its repeats
   * @param idempotencyWindowSeconds how long they do so, from the first send that may have run
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
     * The class if there is one, else one for this request, that the settings do not name: nothing
     * is known of what repeating it does.
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
   * @param capacityRatio its part of the service
   * @param quotaPerSecond requests a second within its share, over all instances
   */
  public record Tenant(String name, double capacityRatio, double quotaPerSecond) {}
}
