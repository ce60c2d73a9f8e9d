package shalepaddle.coalescing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A read in flight and the callers that wait for its answer, in the order of their arrival.
 *
 * <p>Most flights have a single caller, so the queue by deadline is only allocated when a second
 * caller joins. Not thread-safe: owned by the {@link RequestCoalescer}. All times are in
 * nanoseconds.
 *
 * @param <C> the caller's representation outside this package
 */
public final class Flight<C> {
  private final String key;
  private final CoalescingKey coalescingKey;
  private final long beganAtNanos;

  /** The callers that joined, possibly including ended ones; the first that waits is the leader. */
  private final ArrayDeque<FlightWaiter<C>> waiters = new ArrayDeque<>(2);

  /**
   * The callers in {@link #waiters}, ordered by deadline; null until a second caller has joined.
   */
  private PriorityQueue<FlightWaiter<C>> waitersByDeadline;

  private long latestDeadlineNanos;
  private int joinedCount;
  private int waitingCount;
  private int retryCount;
  private boolean isClosed;

  /** Whether the flight is in a {@link FlightIndex}. */
  private boolean isIndexed;

  /** The next flight with the same key in the {@link FlightIndex}; null if there is none. */
  private Flight<C> nextOfKey;

  Flight(String key, CoalescingKey coalescingKey, long beganAtNanos) {
    this.key = key;
    this.coalescingKey = coalescingKey;
    this.beganAtNanos = beganAtNanos;
  }

  private static int compareDeadlines(FlightWaiter<?> a, FlightWaiter<?> b) {
    return a.deadlineNanos() != b.deadlineNanos()
        ? Long.signum(a.deadlineNanos() - b.deadlineNanos())
        : a.position() - b.position();
  }

  /** Adds a caller after all others. */
  FlightWaiter<C> add(C caller, long deadlineNanos) {
    FlightWaiter<C> waiter = new FlightWaiter<>(this, caller, deadlineNanos, joinedCount++);
    if (waiters.isEmpty()) {
      latestDeadlineNanos = deadlineNanos;
    } else {
      if (waitersByDeadline == null) {
        waitersByDeadline = new PriorityQueue<>(Flight::compareDeadlines);
        waitersByDeadline.addAll(waiters);
      }
      waitersByDeadline.add(waiter);
      latestDeadlineNanos = Math.max(latestDeadlineNanos, deadlineNanos);
    }
    waiters.add(waiter);
    waitingCount++;
    return waiter;
  }

  /** Ends a waiter that is answered or whose client has left. */
  void end(FlightWaiter<C> waiter) {
    waiter.end();
    waitingCount--;
  }

  /** The key that is read. */
  String key() {
    return key;
  }

  /** The attributes, besides the key, that reads must have in common to share the flight. */
  CoalescingKey coalescingKey() {
    return coalescingKey;
  }

  long beganAtNanos() {
    return beganAtNanos;
  }

  /** The number of callers that have joined, whether or not they still wait. */
  int joinedCount() {
    return joinedCount;
  }

  /** The number of callers that wait. */
  int waitingCount() {
    return waitingCount;
  }

  /** The number of attempts after the first. */
  int retryCount() {
    return retryCount;
  }

  void countRetry() {
    retryCount++;
  }

  /** Closes the flight, which is answered or has no waiters left. */
  void close() {
    isClosed = true;
  }

  /** Whether the flight is answered or has no waiters left. */
  public boolean isClosed() {
    return isClosed;
  }

  /** Whether reads can find the flight in the index. */
  boolean isIndexed() {
    return isIndexed;
  }

  /** Marks the flight as indexed before another flight of its key, null for none. */
  void setIndexedBefore(Flight<C> nextFlight) {
    isIndexed = true;
    nextOfKey = nextFlight;
  }

  /** Marks the flight as no longer indexed. */
  void setUnindexed() {
    isIndexed = false;
    nextOfKey = null;
  }

  /** The next flight with the same key in the index, null for none. */
  Flight<C> nextOfKey() {
    return nextOfKey;
  }

  /** The first caller that waits, whose id the attempt uses; null if there are no waiters. */
  public FlightWaiter<C> leader() {
    while (!waiters.isEmpty() && waiters.peek().isEnded()) {
      waiters.poll();
    }
    return waiters.peek();
  }

  /**
   * The latest deadline of the callers that joined. Callers that have ended are only left out after
   * a retry.
   */
  public long latestDeadlineNanos() {
    return latestDeadlineNanos;
  }

  /**
   * The earliest deadline of a waiter if it is before {@link #latestDeadlineNanos}; otherwise
   * {@code Long.MAX_VALUE}.
   */
  public long nextDeadline() {
    if (waitersByDeadline == null) {
      return Long.MAX_VALUE;
    }
    while (!waitersByDeadline.isEmpty() && waitersByDeadline.peek().isEnded()) {
      waitersByDeadline.poll();
    }
    FlightWaiter<C> earliestWaiter = waitersByDeadline.peek();
    return earliestWaiter == null || earliestWaiter.deadlineNanos() == latestDeadlineNanos
        ? Long.MAX_VALUE
        : earliestWaiter.deadlineNanos();
  }

  /** Ends the waiters whose deadline has passed and returns them in the order of deadlines. */
  List<FlightWaiter<C>> expire(long now) {
    List<FlightWaiter<C>> expiredWaiters = new ArrayList<>();
    while (waitersByDeadline != null
        && !waitersByDeadline.isEmpty()
        && waitersByDeadline.peek().deadlineNanos() - now <= 0) {
      FlightWaiter<C> waiter = waitersByDeadline.poll();
      if (!waiter.isEnded()) {
        end(waiter);
        expiredWaiters.add(waiter);
      }
    }
    return expiredWaiters;
  }

  /** Ends all waiters and returns them in the order of their arrival. */
  List<FlightWaiter<C>> endAll() {
    List<FlightWaiter<C>> endedWaiters = new ArrayList<>(waitingCount);
    for (FlightWaiter<C> waiter : waiters) {
      if (!waiter.isEnded()) {
        end(waiter);
        endedWaiters.add(waiter);
      }
    }
    waiters.clear();
    waitersByDeadline = null;
    return endedWaiters;
  }

  /** Whether any waiter other than the leader has time left. */
  boolean outlastsLeader(long now) {
    FlightWaiter<C> leader = leader();
    for (FlightWaiter<C> waiter : waiters) {
      if (waiter != leader && !waiter.isEnded() && waiter.deadlineNanos() - now > 0) {
        return true;
      }
    }
    return false;
  }

  /** Ends the leader and returns it; the deadline is then that of the remaining waiters. */
  FlightWaiter<C> endLeader() {
    FlightWaiter<C> leader = leader();
    end(leader);
    latestDeadlineNanos = Long.MIN_VALUE;
    for (FlightWaiter<C> waiter : waiters) {
      if (!waiter.isEnded()) {
        latestDeadlineNanos = Math.max(latestDeadlineNanos, waiter.deadlineNanos());
      }
    }
    return leader;
  }
}
