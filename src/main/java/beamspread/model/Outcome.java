package beamspread.model;

/**
 * How one attempt ended.
 *
 * @param requestId the request it belonged to
 * @param attempt its number, counted from 0 in the order of sending
 * @param server where it was sent
 * @param result how it ended
 * @param elapsed seconds since it was sent
 * @param ended whether the request is over
 * @param note what the server says about its cache
 * @param load the server's load report, null if none came along
 */
public record Outcome(
    String requestId,
    int attempt,
    long server,
    Result result,
    double elapsed,
    boolean ended,
    Note note,
    LoadReport load) {

  /** How an attempt, or a probe, can end. */
  public enum Result {
    OK(false, true),
    ERROR(false, true),
    FULL(true, true),
    TIMEOUT(false, false),
    CONNECT_FAILED(true, false),
    RESET(false, false),
    CANCELLED(false, false),
    MOOT(true, false),
    NOT_STORED(true, true),
    /**
     * What came back could not be read or trusted; the server runs, and may have run the attempt.
     */
    SPOILT(false, true);

    private final boolean provesNotRun;
    private final boolean fromServer;

    Result(boolean provesNotRun, boolean fromServer) {
      this.provesNotRun = provesNotRun;
      this.fromServer = fromServer;
    }

    /** Whether the server itself answered so. */
    public boolean fromServer() {
      return fromServer;
    }

    /** Whether there was no connection, or it broke. */
    public boolean broken() {
      return this == CONNECT_FAILED || this == RESET;
    }

    /** Whether this ending proves that the attempt was never carried out. */
    public boolean provesNotRun() {
      return provesNotRun;
    }
  }

  /** What a server says about its cache. */
  public enum Note {
    NONE,
    HIT,
    MISS,
    MISS_PENDING
  }
}
