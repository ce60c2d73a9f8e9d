package shalepaddle.policy.admission;

/**
 * A request as {@link OriginFetchLimiter} sees it: whether it is held for another's fetch, and
 * whether one of its own attempts is a likely fetch. Not thread-safe: owned by one router.
 */
public abstract class FetchCandidate {
  private static final int NO_ATTEMPT = -1;

  private boolean isHeld;
  private boolean isHoldExpired;
  private int fetchAttempt = NO_ATTEMPT;
  private long fetchHash;
  private boolean isFetchCounted;

  /** Whether its final answer is given, or its client is gone. */
  public abstract boolean isAnswered();

  /**
   * Whether it waits for another's fetch, or for capacity for its own, with no attempt in flight.
   */
  public final boolean isHeld() {
    return isHeld;
  }

  /** Whether it has been held for as long as is permitted, and must not be held again. */
  public final boolean isHoldExpired() {
    return isHoldExpired;
  }

  /** It waits from now on. */
  public final void hold() {
    isHeld = true;
  }

  /** It waits no longer. */
  public final void release() {
    isHeld = false;
  }

  /** It has been held for as long as is permitted. */
  public final void expireHold() {
    isHoldExpired = true;
  }

  /** Whether this attempt is a likely fetch in flight. */
  public final boolean isFetch(int attempt) {
    return attempt == fetchAttempt;
  }

  final void beginFetch(int attempt, long hash, boolean counted) {
    fetchAttempt = attempt;
    fetchHash = hash;
    isFetchCounted = counted;
  }

  /** Ends the fetch; returns whether it counted among those in flight. */
  final boolean endFetch() {
    boolean counted = isFetchCounted;
    isFetchCounted = false;
    fetchAttempt = NO_ATTEMPT;
    return counted;
  }

  final long fetchHash() {
    return fetchHash;
  }
}
