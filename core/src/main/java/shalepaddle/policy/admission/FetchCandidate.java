package shalepaddle.policy.admission;

/**
 * The part of a request's state that {@link OriginFetchLimiter} uses: whether the request is held,
 * and which of its attempts is a likely fetch. Not thread-safe: owned by one router.
 */
public abstract class FetchCandidate {
  private static final int NO_ATTEMPT = -1;

  private boolean isHeld;
  private boolean isHoldExpired;
  private int fetchAttempt = NO_ATTEMPT;
  private long fetchHash;
  private boolean isFetchCounted;

  /** Whether the request has its final answer or its client has disconnected. */
  public abstract boolean isAnswered();

  /**
   * Whether the request waits, with no attempt in flight, for another request's fetch of the same
   * key or for capacity for its own fetch.
   */
  public final boolean isHeld() {
    return isHeld;
  }

  /** Whether the request's maximum hold time is over, so that it must not be held again. */
  public final boolean isHoldExpired() {
    return isHoldExpired;
  }

  /** Marks the request as held. */
  public final void hold() {
    isHeld = true;
  }

  /** Marks the request as no longer held. */
  public final void release() {
    isHeld = false;
  }

  /** Records that the request's maximum hold time is over. */
  public final void expireHold() {
    isHoldExpired = true;
  }

  /** Whether this attempt is a likely fetch in flight. */
  public final boolean isFetch(int attempt) {
    return attempt == fetchAttempt;
  }

  final void beginFetch(int attempt, long keyServerHash, boolean isCounted) {
    fetchAttempt = attempt;
    fetchHash = keyServerHash;
    isFetchCounted = isCounted;
  }

  /** Ends the fetch; returns whether it was counted among the fetches in flight. */
  final boolean endFetch() {
    boolean isCounted = isFetchCounted;
    isFetchCounted = false;
    fetchAttempt = NO_ATTEMPT;
    return isCounted;
  }

  final long fetchHash() {
    return fetchHash;
  }
}
