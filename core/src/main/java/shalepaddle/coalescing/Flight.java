package shalepaddle.coalescing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * One try at a read, and all who wait for its answer, in the order of their arrival.
 *
 * <p>Most flights have one caller for all their life; what only several need is made when the
 * second joins.
 *
 * @param <C> what stands for a caller outside of these decisions
 */
public final class Flight<C> {
  /** What it is about, and the next one about the same key that may be joined. */
  final String key;

  final CoalescingKey likeness;
  final long begun;
  Flight<C> next;

  /** Whether it may be found by newcomers. */
  boolean listed;

  /** When the last of its callers' time is up. */
  long deadline;

  /** Callers that came, and those that still wait. */
  private int came;

  int waiting;

  boolean over;

  /** Tries after the first. */
  int retries;

  /** All that came, some of them over; the first of those that wait carries the try. */
  private final ArrayDeque<FlightWaiter<C>> callers = new ArrayDeque<>(2);

  /** The same by their deadlines, null while there was but one. */
  private PriorityQueue<FlightWaiter<C>> byDeadline;

  Flight(String key, CoalescingKey likeness, long begun) {
    this.key = key;
    this.likeness = likeness;
    this.begun = begun;
  }

  private static int sooner(FlightWaiter<?> a, FlightWaiter<?> b) {
    return a.deadline != b.deadline ? Long.signum(a.deadline - b.deadline) : a.place - b.place;
  }

  /** One more waits, behind all others. */
  FlightWaiter<C> add(C who, long until) {
    FlightWaiter<C> caller = new FlightWaiter<>(this, who, until, came++);
    if (callers.isEmpty()) {
      deadline = caller.deadline;
    } else {
      if (byDeadline == null) {
        byDeadline = new PriorityQueue<>(Flight::sooner);
        byDeadline.addAll(callers);
      }
      byDeadline.add(caller);
      deadline = Math.max(deadline, caller.deadline);
    }
    callers.add(caller);
    waiting++;
    return caller;
  }

  /** The caller is answered, or has gone. */
  void drop(FlightWaiter<C> caller) {
    caller.over = true;
    waiting--;
  }

  /** Callers that came, whether or not they still wait. */
  int came() {
    return came;
  }

  /** The one in whose name it is tried now: of those that wait the first. Null if nobody does. */
  public FlightWaiter<C> leader() {
    while (!callers.isEmpty() && callers.peek().over) {
      callers.poll();
    }
    return callers.peek();
  }

  /** Whether nobody waits any more: it is answered, or all have left. */
  public boolean isOver() {
    return over;
  }

  /** When the last of its callers' time is up, in nanoseconds. */
  public long deadline() {
    return deadline;
  }

  /**
   * When the next caller's time is up that comes before the flight's own end; {@code
   * Long.MAX_VALUE} if there is none.
   */
  public long nextDue() {
    if (byDeadline == null) {
      return Long.MAX_VALUE;
    }
    while (!byDeadline.isEmpty() && byDeadline.peek().over) {
      byDeadline.poll();
    }
    FlightWaiter<C> first = byDeadline.peek();
    return first == null || first.deadline == deadline ? Long.MAX_VALUE : first.deadline;
  }

  /** Those whose time is up, in the order of their deadlines; none of them waits any more. */
  List<FlightWaiter<C>> due(long now) {
    List<FlightWaiter<C>> due = new ArrayList<>();
    while (byDeadline != null && !byDeadline.isEmpty() && byDeadline.peek().deadline - now <= 0) {
      FlightWaiter<C> caller = byDeadline.poll();
      if (!caller.over) {
        drop(caller);
        due.add(caller);
      }
    }
    return due;
  }

  /** All who wait, in the order of their arrival; none of them does any more. */
  List<FlightWaiter<C>> dismiss() {
    List<FlightWaiter<C>> all = new ArrayList<>(waiting);
    for (FlightWaiter<C> caller : callers) {
      if (!caller.over) {
        drop(caller);
        all.add(caller);
      }
    }
    callers.clear();
    byDeadline = null;
    return all;
  }

  /** Whether anybody but the leader still has time. */
  boolean outlastsLeader(long now) {
    FlightWaiter<C> leader = leader();
    for (FlightWaiter<C> caller : callers) {
      if (caller != leader && !caller.over && caller.deadline - now > 0) {
        return true;
      }
    }
    return false;
  }

  /** Drops the leader, and lasts for as long as those who still wait; returns who it was. */
  FlightWaiter<C> dropLeader() {
    FlightWaiter<C> leader = leader();
    drop(leader);
    deadline = Long.MIN_VALUE;
    for (FlightWaiter<C> caller : callers) {
      if (!caller.over) {
        deadline = Math.max(deadline, caller.deadline);
      }
    }
    return leader;
  }
}
