package shalepaddle.coalescing;

import java.util.List;

/**
 * Request coalescing: the first read of a key begins a <em>flight</em>, and equal reads that arrive
 * while it is open wait for its answer, each until its own client's deadline. Also known as single
 * flight (Go's {@code golang.org/x/sync/singleflight}) and request collapsing (nginx's {@code
 * proxy_cache_lock}, Varnish's waiting list). It differs from these in three points: a waiter waits
 * for at most one successful attempt, waiters are not served one after another, and a flight can no
 * longer be joined once an operation on its key has ended since the flight began.
 *
 * <p>The last point keeps reads linearizable, as far as clients of this load balancer can observe.
 * A value that was read at time p is returned to a caller that arrived at r &gt; p only if no
 * operation on its key ended here between the beginning of the flight and r. Then no write that
 * took effect between p and r had ended by r, and no read that returned such a write's value had
 * ended either. All of them can therefore be ordered after r, and the caller's read at r. From the
 * time at which a write is accepted, later reads do not join older flights either.
 *
 * <p>All times are nanoseconds of one monotonic clock. Not thread-safe. The number of waiters is
 * bounded by {@link CoalescingConfig#maxFlights} times {@link CoalescingConfig#maxWaiters}.
 *
 * @param <C> the caller's representation outside this package
 */
public final class RequestCoalescer<C> {
  /** Maximum number of retries of one flight, whose waiters wait for all of them. */
  private static final int MAX_RETRIES = 3;

  /** The capacity of the retry token bucket, which is full initially. */
  private static final double MAX_RETRY_TOKENS = 10;

  private static final double MIN_SPREAD_RATIO = 0.75;
  private static final double SPREAD_RANGE_RATIO = 0.5;

  private final CoalescingConfig config;
  private final long maxAgeNanos;
  private final FlightIndex<C> index = new FlightIndex<>();
  private double retryTokens = MAX_RETRY_TOKENS;
  private int openFlights;
  private int waiters;
  private long startedFlights;
  private long joinedReads;
  private long uncoalescedReads;
  private long sharedAnswers;
  private long retries;
  private long deniedRetries;
  private long departedWaiters;

  /** Creates a coalescer without flights. */
  public RequestCoalescer(CoalescingConfig config) {
    this.config = config;
    this.maxAgeNanos = (long) (config.maxAgeSeconds() * 1e9);
  }

  /**
   * Adds an idempotent read to the flight that it may join, or begins a flight for it. If it begins
   * a flight, it is the flight's {@linkplain Flight#leader leader}, and the caller of this method
   * must start the attempt. If it extends {@link Flight#latestDeadlineNanos}, the attempt's
   * deadline must be extended too.
   *
   * @param key the key that it reads
   * @param serviceClass its service class
   * @param tenant its tenant, null for none
   * @param caller the caller that waits for the answer
   * @param deadlineNanos when its client stops waiting
   * @return null if too many flights are open and the read needs an attempt of its own
   */
  public FlightWaiter<C> join(
      String key, String serviceClass, String tenant, C caller, long deadlineNanos, long now) {
    String visibleTenant = config.sharesAcrossTenants() ? null : tenant;
    Flight<C> flight = index.find(key, serviceClass, visibleTenant);
    if (flight != null && !isJoinable(flight, now)) {
      index.remove(flight);
      flight = null;
    }
    if (flight == null) {
      if (openFlights >= config.maxFlights()) {
        uncoalescedReads++;
        return null;
      }
      flight = new Flight<>(key, new CoalescingKey(serviceClass, visibleTenant), now);
      index.add(flight);
      openFlights++;
      startedFlights++;
    } else {
      joinedReads++;
      retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + config.retriesPerJoin());
    }
    waiters++;
    return flight.add(caller, deadlineNanos);
  }

  private boolean isJoinable(Flight<C> flight, long now) {
    return now - flight.beganAtNanos() <= maxAgeNanos && flight.joinedCount() < config.maxWaiters();
  }

  /**
   * Prevents reads from joining the current flights of a key. Must be called when a write of the
   * key is accepted, and when an operation on it has ended, whether or not it was a flight.
   */
  public void invalidate(String key) {
    index.removeAll(key);
  }

  /**
   * Removes a waiter whose client has left.
   *
   * @return whether no waiters are left, so that the attempt must be abandoned
   */
  public boolean leave(FlightWaiter<C> waiter) {
    if (waiter.isEnded()) {
      return false;
    }
    Flight<C> flight = waiter.flight();
    flight.end(waiter);
    waiters--;
    return closeIfAbandoned(flight, 1);
  }

  private boolean closeIfAbandoned(Flight<C> flight, int departures) {
    if (flight.isClosed()) {
      return false;
    }
    if (flight.waitingCount() > 0) {
      departedWaiters += departures;
      return false;
    }
    close(flight);
    return true;
  }

  private void close(Flight<C> flight) {
    flight.close();
    index.remove(flight);
    openFlights--;
  }

  /**
   * Ends the waiters of a flight whose deadline has passed and returns them in the order of their
   * deadlines. If this closes the flight, see {@link Flight#isClosed}, its attempt must be
   * abandoned.
   */
  public List<FlightWaiter<C>> expire(Flight<C> flight, long now) {
    List<FlightWaiter<C>> expiredWaiters = flight.expire(now);
    waiters -= expiredWaiters.size();
    closeIfAbandoned(flight, expiredWaiters.size());
    return expiredWaiters;
  }

  /**
   * Handles the end of a flight's attempt.
   *
   * <p>A connection failure is reported to the leader only, and the next waiter becomes the leader
   * and retries while there are retry tokens. A single failure thus neither fails all waiters nor
   * causes a separate attempt for each.
   */
  public FlightDecision<C> complete(Flight<C> flight, FlightResult result, long now) {
    if (flight.isClosed()) {
      return new FlightDecision<>(List.of(), false);
    }
    if (result == FlightResult.BROKEN && mayRetry(flight, now)) {
      retryTokens--;
      retries++;
      flight.countRetry();
      waiters--;
      return new FlightDecision<>(List.of(flight.endLeader()), true);
    }
    // Reads must not join an older flight of this key, which could return an older value.
    if (result == FlightResult.SERVED) {
      invalidate(flight.key());
    }
    List<FlightWaiter<C>> endedWaiters = flight.endAll();
    close(flight);
    waiters -= endedWaiters.size();
    if (result == FlightResult.SERVED) {
      sharedAnswers += endedWaiters.size() - 1;
    }
    return new FlightDecision<>(endedWaiters, false);
  }

  private boolean mayRetry(Flight<C> flight, long now) {
    if (flight.waitingCount() <= 1 || flight.retryCount() >= MAX_RETRIES) {
      return false;
    }
    if (retryTokens < 1) {
      deniedRetries++;
      return false;
    }
    return flight.outlastsLeader(now);
  }

  /**
   * Returns the Retry-After for one of several callers that are rejected together: the given one
   * changed by up to ±25%, so that the callers do not retry together.
   *
   * @param retryAfterMillis the Retry-After before the spread, 0 for no advice
   * @param maxMillis the longest Retry-After that clients follow
   * @param position the position of the caller among the rejected ones, counted from 0
   * @param callerCount the number of rejected callers
   */
  public static long spreadRetryAfter(
      long retryAfterMillis, long maxMillis, int position, int callerCount) {
    if (retryAfterMillis <= 0 || callerCount < 2) {
      return retryAfterMillis;
    }
    double spreadRatio = MIN_SPREAD_RATIO + SPREAD_RANGE_RATIO * position / (callerCount - 1);
    return Math.max(1, Math.min(maxMillis, Math.round(retryAfterMillis * spreadRatio)));
  }

  /** The current values of all counters. */
  public CoalescingSnapshot snapshot() {
    return new CoalescingSnapshot(
        startedFlights,
        joinedReads,
        uncoalescedReads,
        sharedAnswers,
        retries,
        deniedRetries,
        departedWaiters,
        openFlights,
        waiters);
  }

  /** The number of keys with a flight that reads may join. */
  int keyCount() {
    return index.keyCount();
  }
}
