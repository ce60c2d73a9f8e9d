package shalepaddle.coalescing;

import java.util.List;

/**
 * Request coalescing: the first read of a key begins a <em>flight</em>, and equal reads that arrive
 * while it is out wait for its answer, each until its own client's deadline. Known as single flight
 * (Go's {@code golang.org/x/sync/singleflight}) and request collapsing (nginx's {@code
 * proxy_cache_lock}, Varnish's waiting list). It differs from these in three points: nobody waits
 * for more than one attempt that succeeds, waiters are not served in turns, and a flight is not
 * joined any more once an operation on its key has ended since it began.
 *
 * <p>The last point keeps reads linearizable, as far as clients of this load balancer can tell. A
 * value that was read at some time p is given to a caller that arrived at r &gt; p only if no
 * operation on its key ended here between the flight's beginning and r. Then every write that took
 * effect between p and r had not ended by r, and neither had a read that saw it: all of them may be
 * taken to have happened after r, and the caller's read at r. A write also keeps later reads from
 * older flights from the time at which it is accepted.
 *
 * <p>All times are nanoseconds of one monotonic clock. Not thread-safe. Its size is bounded by
 * {@link CoalescingConfig#maxFlights} times {@link CoalescingConfig#maxWaiters}.
 *
 * @param <C> the caller's representation outside this package
 */
public final class RequestCoalescer<C> {
  /** Retries of one flight, each of which its waiters wait for. */
  private static final int MAX_RETRIES = 3;

  /** The capacity of the bucket of retry tokens, which is full at first. */
  private static final double MAX_RETRY_TOKENS = 10;

  private static final double MIN_SPREAD_RATIO = 0.75;
  private static final double SPREAD_RANGE_RATIO = 0.5;

  private final CoalescingConfig config;
  private final long maxAgeNanos;
  private final FlightIndex<C> index = new FlightIndex<>();
  private double retryTokens = MAX_RETRY_TOKENS;
  private int openFlights;
  private int waiters;
  private long flights;
  private long joined;
  private long uncoalesced;
  private long shared;
  private long retried;
  private long retriesDenied;
  private long left;

  /** A coalescer without flights. */
  public RequestCoalescer(CoalescingConfig config) {
    this.config = config;
    this.maxAgeNanos = (long) (config.maxAgeSeconds() * 1e9);
  }

  /**
   * A read arrives that may be repeated. If it begins a flight, it is the flight's {@linkplain
   * Flight#leader leader} and is to be attempted now. If it moves {@link Flight#deadline}, the
   * attempt has that much longer.
   *
   * @param key what it reads
   * @param serviceClass its service class
   * @param tenant its tenant, null for none
   * @param caller its representation
   * @param deadlineNanos when its client stops waiting
   * @return null if too many flights are open, and it needs an attempt of its own
   */
  public FlightWaiter<C> join(
      String key, String serviceClass, String tenant, C caller, long deadlineNanos, long now) {
    String visibleTo = config.acrossTenants() ? null : tenant;
    Flight<C> flight = index.find(key, serviceClass, visibleTo);
    if (flight != null && !isJoinable(flight, now)) {
      index.remove(flight);
      flight = null;
    }
    if (flight == null) {
      if (openFlights >= config.maxFlights()) {
        uncoalesced++;
        return null;
      }
      flight = new Flight<>(key, new CoalescingKey(serviceClass, visibleTo), now);
      index.add(flight);
      openFlights++;
      flights++;
    } else {
      joined++;
      retryTokens = Math.min(MAX_RETRY_TOKENS, retryTokens + config.retriesPerJoin());
    }
    waiters++;
    return flight.add(caller, deadlineNanos);
  }

  private boolean isJoinable(Flight<C> flight, long now) {
    return now - flight.beganAt() <= maxAgeNanos && flight.joined() < config.maxWaiters();
  }

  /**
   * A write of this key is accepted, or an operation on it has ended, whether or not it was a
   * flight: from now on no read joins a flight that began before.
   */
  public void invalidate(String key) {
    index.removeAll(key);
  }

  /**
   * The client of a waiter has left.
   *
   * @return whether nobody waits any more, so that the attempt is to be abandoned
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
    if (flight.waiting() > 0) {
      left += departures;
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
   * Ends the waiters of a flight whose deadline has passed, and returns them in the order of their
   * deadlines. If the flight {@link Flight#isClosed} then, its attempt is to be abandoned.
   */
  public List<FlightWaiter<C>> expire(Flight<C> flight, long now) {
    List<FlightWaiter<C>> expired = flight.expire(now);
    waiters -= expired.size();
    closeIfAbandoned(flight, expired.size());
    return expired;
  }

  /**
   * A flight's attempt has ended.
   *
   * <p>The failure of a connection is given to the leader alone, and the next waiter becomes the
   * leader and retries, as long as there are retry tokens. So one failure becomes neither a failure
   * of all waiters nor an attempt for each.
   */
  public FlightDecision<C> complete(Flight<C> flight, FlightResult result, long now) {
    if (flight.isClosed()) {
      return new FlightDecision<>(List.of(), false);
    }
    if (result == FlightResult.BROKEN && mayRetry(flight, now)) {
      retryTokens--;
      retried++;
      flight.countRetry();
      waiters--;
      return new FlightDecision<>(List.of(flight.endLeader()), true);
    }
    // Nobody may join an older flight of this key, which could bring an older value.
    if (result == FlightResult.SERVED) {
      invalidate(flight.key());
    }
    List<FlightWaiter<C>> all = flight.endAll();
    close(flight);
    waiters -= all.size();
    if (result == FlightResult.SERVED) {
      shared += all.size() - 1;
    }
    return new FlightDecision<>(all, false);
  }

  private boolean mayRetry(Flight<C> flight, long now) {
    if (flight.waiting() <= 1 || flight.retries() >= MAX_RETRIES) {
      return false;
    }
    if (retryTokens < 1) {
      retriesDenied++;
      return false;
    }
    return flight.outlastsLeader(now);
  }

  /**
   * Retry-After for one of several callers that are rejected together, spread so that they do not
   * retry together: the given one, less or more by up to a quarter.
   *
   * @param retryAfterMillis 0 for no advice
   * @param maxMillis the longest that clients follow
   * @param position of the caller among them, from 0
   * @param count of callers
   */
  public static long spreadRetryAfter(
      long retryAfterMillis, long maxMillis, int position, int count) {
    if (retryAfterMillis <= 0 || count < 2) {
      return retryAfterMillis;
    }
    double factor = MIN_SPREAD_RATIO + SPREAD_RANGE_RATIO * position / (count - 1);
    return Math.max(1, Math.min(maxMillis, Math.round(retryAfterMillis * factor)));
  }

  /** All counters as they are now. */
  public CoalescingSnapshot snapshot() {
    return new CoalescingSnapshot(
        flights, joined, uncoalesced, shared, retried, retriesDenied, left, openFlights, waiters);
  }

  /** Keys with a flight that reads may join. */
  int keys() {
    return index.keys();
  }
}
