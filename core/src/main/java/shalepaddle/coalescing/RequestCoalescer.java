package shalepaddle.coalescing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Lets like reads share one try: the first begins a <em>flight</em>, and those that come while it
 * is out wait for its answer, each for as long as its own client does. What is known as single
 * flight (Go's {@code golang.org/x/sync/singleflight}), request collapsing (nginx's {@code
 * proxy_cache_lock}, Varnish's waiting list), with three differences: nobody waits for more than
 * one try that fares well, nobody is served in turns, and a flight is never joined once anything
 * about its key has ended since it began.
 *
 * <p>The last is what keeps reads linearizable, as far as clients of this load balancer can tell. A
 * value that was read at some time p is given to a caller that came at r &gt; p only if no
 * operation on its key ended here between the flight's beginning and r. Then every write that took
 * effect between p and r had not ended by r, and neither had a read that saw it: all of them may be
 * taken to have happened after r, and the caller's read at r. A write also keeps newcomers from
 * older flights from when it is taken.
 *
 * <p>Time is an argument, in nanoseconds of a clock that only goes on. All methods are for one
 * thread. Sizes are bounded: {@link CoalescingConfig#maxFlights} times {@link
 * CoalescingConfig#maxWaiters}.
 *
 * @param <C> what stands for a caller
 */
public final class RequestCoalescer<C> {
  /** New tries that a flight makes at most: whoever waits has waited for each. */
  private static final int MAX_RETRIES = 3;

  /** New tries saved up at most, and at the beginning. */
  private static final double BURST = 10;

  private final CoalescingConfig tuning;
  private final long ageNanos;

  /** The newest flight of each key that may be joined, and behind it others of other likeness. */
  private final Map<String, Flight<C>> byKey = new HashMap<>();

  private double tokens = BURST;
  private int open;
  private int waiting;
  private long flights;
  private long joined;
  private long alone;
  private long shared;
  private long retried;
  private long spent;
  private long left;

  /** Nobody waits yet. */
  public RequestCoalescer(CoalescingConfig tuning) {
    this.tuning = tuning;
    this.ageNanos = (long) (tuning.maxAgeSeconds() * 1e9);
  }

  /**
   * A read arrives that does no harm if it is repeated. It is {@linkplain Flight#leader the leader}
   * of its flight if it began one, which is to be tried then; if it made {@link Flight#deadline}
   * later, the try has that much longer.
   *
   * @param key what it reads
   * @param serviceClass its class
   * @param tenant whose it is, null where there are none
   * @param who what stands for it
   * @param deadline when its client stops waiting
   * @return null if it goes alone, since too many flights are open
   */
  public FlightWaiter<C> join(
      String key, String serviceClass, String tenant, C who, long deadline, long now) {
    String visible = tuning.acrossTenants() ? null : tenant;
    Flight<C> flight = byKey.get(key);
    while (flight != null && !flight.likeness.like(serviceClass, visible)) {
      flight = flight.next;
    }
    if (flight != null && (now - flight.begun > ageNanos || flight.came() >= tuning.maxWaiters())) {
      unlist(flight);
      flight = null;
    }
    if (flight == null) {
      if (open >= tuning.maxFlights()) {
        alone++;
        return null;
      }
      flight = new Flight<>(key, new CoalescingKey(serviceClass, visible), now);
      list(flight);
      open++;
      flights++;
    } else {
      joined++;
      tokens = Math.min(BURST, tokens + tuning.retriesPerJoin());
    }
    waiting++;
    return flight.add(who, deadline);
  }

  private void list(Flight<C> flight) {
    flight.listed = true;
    flight.next = byKey.put(flight.key, flight);
  }

  private void unlist(Flight<C> flight) {
    if (!flight.listed) {
      return;
    }
    flight.listed = false;
    Flight<C> head = byKey.get(flight.key);
    if (head != flight) {
      Flight<C> before = head;
      while (before.next != flight) {
        before = before.next;
      }
      before.next = flight.next;
    } else if (flight.next == null) {
      byKey.remove(flight.key);
    } else {
      byKey.put(flight.key, flight.next);
    }
    flight.next = null;
  }

  /**
   * A write of this key is taken, or anything about it has ended, whether or not by a flight: from
   * now on nobody joins a flight that began before.
   */
  public void invalidate(String key) {
    Flight<C> flight = byKey.remove(key);
    while (flight != null) {
      Flight<C> next = flight.next;
      flight.listed = false;
      flight.next = null;
      flight = next;
    }
  }

  /**
   * A caller no longer wants its answer.
   *
   * @return whether nobody is left, so that the try is to be given up
   */
  public boolean leave(FlightWaiter<C> caller) {
    if (caller.over) {
      return false;
    }
    Flight<C> flight = caller.flight();
    flight.drop(caller);
    waiting--;
    return abandoned(flight, 1);
  }

  private boolean abandoned(Flight<C> flight, int gone) {
    if (flight.over) {
      return false;
    }
    if (flight.waiting > 0) {
      left += gone;
      return false;
    }
    close(flight);
    return true;
  }

  private void close(Flight<C> flight) {
    flight.over = true;
    unlist(flight);
    open--;
  }

  /**
   * Those of a flight whose time is up, in the order of their deadlines: each is to be told so. If
   * the flight {@link Flight#isOver} then, nobody waits any more, and its try is to be given up.
   */
  public List<FlightWaiter<C>> expire(Flight<C> flight, long now) {
    List<FlightWaiter<C>> due = flight.due(now);
    waiting -= due.size();
    abandoned(flight, due.size());
    return due;
  }

  /**
   * A flight's try has ended.
   *
   * <p>One that broke is the bad luck of whoever it was made for: it is told so at once, and the
   * next one tries, as long as reads that joined have earned it. So one failure becomes neither a
   * hundred failures nor a hundred tries.
   */
  public FlightDecision<C> complete(Flight<C> flight, FlightResult ending, long now) {
    if (flight.over) {
      return new FlightDecision<>(List.of(), false);
    }
    if (ending == FlightResult.BROKEN && flight.waiting > 1 && flight.retries < MAX_RETRIES) {
      if (tokens < 1) {
        spent++;
      } else if (flight.outlastsLeader(now)) {
        tokens--;
        retried++;
        flight.retries++;
        waiting--;
        return new FlightDecision<>(List.of(flight.dropLeader()), true);
      }
    }
    // Nobody may join an older flight of this key: it could hold an older value.
    if (ending == FlightResult.SERVED) {
      invalidate(flight.key);
    }
    List<FlightWaiter<C>> all = flight.dismiss();
    close(flight);
    waiting -= all.size();
    if (ending == FlightResult.SERVED) {
      shared += all.size() - 1;
    }
    return new FlightDecision<>(all, false);
  }

  /**
   * Advice for one of several who are refused together, so that they do not come back together: as
   * it was given, less or more by up to a quarter.
   *
   * @param millis for how long to stay away, 0 for no advice
   * @param most the longest that clients follow
   * @param place which of them it is, from 0
   * @param of how many there are
   */
  public static long spreadRetryAfter(long millis, long most, int place, int of) {
    if (millis <= 0 || of < 2) {
      return millis;
    }
    double factor = 0.75 + 0.5 * place / (of - 1);
    return Math.max(1, Math.min(most, Math.round(millis * factor)));
  }

  /** What has been done so far. */
  public CoalescingSnapshot snapshot() {
    return new CoalescingSnapshot(
        flights, joined, alone, shared, retried, spent, left, open, waiting);
  }

  /** Keys of which a flight may be joined. */
  int keys() {
    return byKey.size();
  }
}
