package shalepaddle.model;

/**
 * How one attempt ended.
 *
 * @param requestId the request that it was sent for
 * @param attempt its number, counted from 0 in the order of sending
 * @param server the id of the server that it was sent to
 * @param result how it ended
 * @param elapsedSeconds time since it was sent
 * @param stalledSeconds how much of that this node's event loop was stalled
 * @param completesRequest whether the request is complete and gets no further attempt
 * @param cacheStatus what the server reported about its cache
 * @param load the server's load report, null if there is none
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

  /** The outcome of an attempt during which the event loop was never stalled. */
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

  /** The part of the elapsed time for which the event loop was not stalled. */
  public double activeSeconds() {
    return Math.max(0, elapsedSeconds - stalledSeconds);
  }

  /**
   * The fraction of the elapsed time for which the event loop was not stalled, from 0 to 1; 1 if
   * the server responded. Only this fraction of a failure counts against the server.
   */
  public double activeRatio() {
    return result.isServerResponse() || elapsedSeconds <= 0
        ? 1
        : Math.min(1, activeSeconds() / elapsedSeconds);
  }

  /**
   * Whether the event loop was active at least half the time; otherwise a timeout says little about
   * the server.
   */
  public boolean isMostlyActive() {
    return activeRatio() >= 0.5;
  }

  /** Whether the attempt timed out while the event loop was mostly active. */
  public boolean isObservedTimeout() {
    return result == Result.TIMEOUT && isMostlyActive();
  }

  /** How an attempt can end. */
  public enum Result {
    OK(false, true),
    /** The server responded with an error. */
    ERROR(false, true),
    /** The server rejected the attempt since it is overloaded. */
    SERVER_BUSY(true, true),
    TIMEOUT(false, false),
    CONNECT_FAILED(true, false),
    /** The connection was lost while the attempt was in flight. */
    RESET(false, false),
    CANCELLED(false, false),
    /** The attempt was withdrawn before any byte of it was written. */
    NOT_SENT(true, false),
    /** The server refused a new connection at its limit while other connections were open. */
    CONNECTION_LIMIT_REACHED(true, false),
    /** A look-aside cache does not have the value; the origin may have it. */
    CACHE_MISS(true, true),
    /** The response could not be parsed; the server runs, and may have run the attempt. */
    MALFORMED_RESPONSE(false, true);

    private final boolean provesNotRun;
    private final boolean isServerResponse;

    Result(boolean provesNotRun, boolean isServerResponse) {
      this.provesNotRun = provesNotRun;
      this.isServerResponse = isServerResponse;
    }

    /** Whether the server itself responded. */
    public boolean isServerResponse() {
      return isServerResponse;
    }

    /** Whether the connection could not be established or was lost. */
    public boolean isConnectionFailure() {
      return this == CONNECT_FAILED || this == RESET;
    }

    /** Whether the attempt failed for lack of a connection, so that a retry may succeed. */
    public boolean isConnectionUnavailable() {
      return isConnectionFailure() || this == CONNECTION_LIMIT_REACHED;
    }

    /** Whether this result proves that the server never ran the attempt. */
    public boolean provesNotRun() {
      return provesNotRun;
    }
  }

  /** What a server reports about its cache. */
  public enum CacheStatus {
    /** The server did not report a cache status. */
    NONE,
    /** The server had the value cached. */
    HIT,
    /** The server fetched the value from the origin. */
    MISS,
    /** The server waited for a fetch of the value that was in flight. */
    MISS_PENDING;

    /** Whether the server did not have the value cached. */
    public boolean isMiss() {
      return this == MISS || this == MISS_PENDING;
    }
  }
}
