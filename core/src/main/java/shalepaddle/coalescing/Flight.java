package shalepaddle.coalescing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * One attempt at a read, and all that wait for its answer, in the order of their arrival.
 *
 * <p>Most flights have a single caller, so that what only several need is allocated when the second
 * one joins. Not thread-safe: owned by the {@link RequestCoalescer}. All times are nanoseconds.
 *
 * @param <C> the caller's representation outside this package
 */
public final class Flight<C> {
  private final String key;
  private final CoalescingKey coalescingKey;
  private final long beganAt;

  /** All that joined, some of them ended; the first of those that wait is the leader. */
  private final ArrayDeque<FlightWaiter<C>> waiters = new ArrayDeque<>(2);

  /** The same by their deadlines, null while there was only one. */
  private PriorityQueue<FlightWaiter<C>> byDeadline;

  private long deadline;
  private int joined;
  private int waiting;
  private int retries;
  private boolean closed;

  /** Whether it is in a {@link FlightIndex}, and the next flight there of the same key. */
  private boolean indexed;

  private Flight<C> nextOfKey;

  Flight(String key, CoalescingKey coalescingKey, long beganAt) {
    this.key = key;
    this.coalescingKey = coalescingKey;
    this.beganAt = beganAt;
  }

  private static int compareDeadlines(FlightWaiter<?> a, FlightWaiter<?> b) {
    return a.deadlineNanos() != b.deadlineNanos()
        ? Long.signum(a.deadlineNanos() - b.deadlineNanos())
        : a.position() - b.position();
  }

  /** Adds a caller behind all others. */
  FlightWaiter<C> add(C caller, long deadlineNanos) {
    FlightWaiter<C> waiter = new FlightWaiter<>(this, caller, deadlineNanos, joined++);
    if (waiters.isEmpty()) {
      deadline = deadlineNanos;
    } else {
      if (byDeadline == null) {
        byDeadline = new PriorityQueue<>(Flight::compareDeadlines);
        byDeadline.addAll(waiters);
      }
      byDeadline.add(waiter);
      deadline = Math.max(deadline, deadlineNanos);
    }
    waiters.add(waiter);
    waiting++;
    return waiter;
  }

  /** A waiter is answered, or its client has left. */
  void end(FlightWaiter<C> waiter) {
    waiter.end();
    waiting--;
  }

  /** The key that is read. */
  String key() {
    return key;
  }

  /** What else reads must have in common to share it. */
  CoalescingKey coalescingKey() {
    return coalescingKey;
  }

  long beganAt() {
    return beganAt;
  }

  /** Callers that joined, whether or not they still wait. */
  int joined() {
    return joined;
  }

  /** Callers that wait. */
  int waiting() {
    return waiting;
  }

  /** Attempts after the first. */
  int retries() {
    return retries;
  }

  void countRetry() {
    retries++;
  }

  /** It is answered, or nobody waits any more. */
  void close() {
    closed = true;
  }

  /** Whether it is answered, or nobody waits any more. */
  public boolean isClosed() {
    return closed;
  }

  /** Whether reads can join it by its index. */
  boolean isIndexed() {
    return indexed;
  }

  /** It is in the index, before that other flight of its key, null for none. */
  void setIndexedBefore(Flight<C> next) {
    indexed = true;
    nextOfKey = next;
  }

  /** It is not in the index any more. */
  void setUnindexed() {
    indexed = false;
    nextOfKey = null;
  }

  /** The flight behind it in the index, null for none. */
  Flight<C> nextOfKey() {
    return nextOfKey;
  }

  /** The first caller that waits, under whose id the read is attempted. Null if nobody waits. */
  public FlightWaiter<C> leader() {
    while (!waiters.isEmpty() && waiters.peek().isEnded()) {
      waiters.poll();
    }
    return waiters.peek();
  }

  /** The latest deadline of those that wait, or waited when it was determined last. */
  public long deadline() {
    return deadline;
  }

  /** The next deadline of a waiter before the flight's own; {@code Long.MAX_VALUE} for none. */
  public long nextDue() {
    if (byDeadline == null) {
      return Long.MAX_VALUE;
    }
    while (!byDeadline.isEmpty() && byDeadline.peek().isEnded()) {
      byDeadline.poll();
    }
    FlightWaiter<C> first = byDeadline.peek();
    return first == null || first.deadlineNanos() == deadline
        ? Long.MAX_VALUE
        : first.deadlineNanos();
  }

  /** Ends the waiters whose deadline has passed, and returns them in the order of deadlines. */
  List<FlightWaiter<C>> expire(long now) {
    List<FlightWaiter<C>> expired = new ArrayList<>();
    while (byDeadline != null
        && !byDeadline.isEmpty()
        && byDeadline.peek().deadlineNanos() - now <= 0) {
      FlightWaiter<C> waiter = byDeadline.poll();
      if (!waiter.isEnded()) {
        end(waiter);
        expired.add(waiter);
      }
    }
    return expired;
  }

  /** Ends all waiters, and returns them in the order of their arrival. */
  List<FlightWaiter<C>> endAll() {
    List<FlightWaiter<C>> all = new ArrayList<>(waiting);
    for (FlightWaiter<C> waiter : waiters) {
      if (!waiter.isEnded()) {
        end(waiter);
        all.add(waiter);
      }
    }
    waiters.clear();
    byDeadline = null;
    return all;
  }

  /** Whether any waiter but the leader has time left. */
  boolean outlastsLeader(long now) {
    FlightWaiter<C> leader = leader();
    for (FlightWaiter<C> waiter : waiters) {
      if (waiter != leader && !waiter.isEnded() && waiter.deadlineNanos() - now > 0) {
        return true;
      }
    }
    return false;
  }

  /** Ends the leader and returns it; the deadline is then that of those who still wait. */
  FlightWaiter<C> endLeader() {
    FlightWaiter<C> leader = leader();
    end(leader);
    deadline = Long.MIN_VALUE;
    for (FlightWaiter<C> waiter : waiters) {
      if (!waiter.isEnded()) {
        deadline = Math.max(deadline, waiter.deadlineNanos());
      }
    }
    return leader;
  }
}
