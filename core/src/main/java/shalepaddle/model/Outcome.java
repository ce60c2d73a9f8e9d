package shalepaddle.model;

/**
 * How one attempt ended.
 *
 * @param requestId the request it belonged to
 * @param attempt its number, counted from 0 in the order of sending
 * @param server where it was sent
 * @param result how it ended
 * @param elapsedSeconds seconds since it was sent
 * @param stalledSeconds how many of those this node stood still, and could hear of nothing
 * @param completesRequest whether the request is over
 * @param cacheStatus what the server says about its cache
 * @param load the server's load report, null if none came along
 */
public record Outcome(
    String requestId,
    int attempt,
    long server,
    Result result,
    double elapsedSeconds,
    double stalledSeconds,
    boolean completesRequest,
    CacheStatus cacheStatus,
    LoadReport load) {

  /** How an attempt ended of which this node heard all the time. */
  public Outcome(
      String requestId,
      int attempt,
      long server,
      Result result,
      double elapsedSeconds,
      boolean completesRequest,
      CacheStatus cacheStatus,
      LoadReport load) {
    this(
        requestId, attempt, server, result, elapsedSeconds, 0, completesRequest, cacheStatus, load);
  }

  /** Seconds for which this node waited and listened: the rest was its own doing. */
  public double activeSeconds() {
    return Math.max(0, elapsedSeconds - stalledSeconds);
  }

  /**
   * The part of the time since it was sent for which this node listened, from 0 to 1: what the
   * server may be blamed for. 1 where the server itself answered.
   */
  public double activeRatio() {
    return result.isServerResponse() || elapsedSeconds <= 0
        ? 1
        : Math.min(1, activeSeconds() / elapsedSeconds);
  }

  /** Whether this node listened for most of that time: if not, silence says little of a server. */
  public boolean isMostlyActive() {
    return activeRatio() >= 0.5;
  }

  /** Whether nothing came in time, while this node listened. */
  public boolean isObservedTimeout() {
    return result == Result.TIMEOUT && isMostlyActive();
  }

  /** How an attempt, or a probe, can end. */
  public enum Result {
    OK(false, true),
    ERROR(false, true),
    SERVER_BUSY(true, true),
    TIMEOUT(false, false),
    CONNECT_FAILED(true, false),
    RESET(false, false),
    CANCELLED(false, false),
    NOT_SENT(true, false),
    /** The server holds no more connections and said so on a new one, others to it being open. */
    CONNECTION_LIMIT_REACHED(true, false),
    CACHE_MISS(true, true),
    /**
     * What came back could not be read or trusted; the server runs, and may have run the attempt.
     */
    MALFORMED_RESPONSE(false, true);

    private final boolean provesNotRun;
    private final boolean isServerResponse;

    Result(boolean provesNotRun, boolean fromServer) {
      this.provesNotRun = provesNotRun;
      this.isServerResponse = fromServer;
    }

    /** Whether the server itself answered so. */
    public boolean isServerResponse() {
      return isServerResponse;
    }

    /** Whether there was no connection, or it broke. */
    public boolean isConnectionFailure() {
      return this == CONNECT_FAILED || this == RESET;
    }

    /** Whether it found no connection that bore it, which says nothing against another try. */
    public boolean isConnectionUnavailable() {
      return isConnectionFailure() || this == CONNECTION_LIMIT_REACHED;
    }

    /** Whether this ending proves that the attempt was never carried out. */
    public boolean provesNotRun() {
      return provesNotRun;
    }
  }

  /** What a server says about its cache. */
  public enum CacheStatus {
    NONE,
    HIT,
    MISS,
    MISS_PENDING;

    /** Whether the server did not hold what it was asked for. */
    public boolean isMiss() {
      return this == MISS || this == MISS_PENDING;
    }
  }
}
