package shalepaddle.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shalepaddle.model.Outcome;

/**
 * Keeps fetches within what the origin bears. It remembers which keys each server answered lately;
 * a request for another is a likely fetch. One fetch of a key at a server goes first and the others
 * wait for it, and fetches in flight stay under a window that shrinks when many fail or come late.
 * Guards against the jam in which failed fetches keep keys out of the caches for good.
 */
final class OriginFetchLimiter {
  /** Keys remembered, and how long at first; the time is then learned from hits and misses. */
  private static final int MEMORY = 1 << 15;

  private static final double FIRST_HORIZON = 8;

  /** The window shrinks once in this part of an aim: fetches of a moment fail together. */
  private static final double ROUND = 0.5;

  private static final double SHRINK = 0.7;

  /** The part of fetches that may fail before the window shrinks. */
  private static final double FAIR_LOSSES = 0.15;

  private final Map<Long, Double> answeredAt = new LinkedHashMap<>(1024, 0.75f, true);
  private final Map<Long, List<PendingRequest>> flights = new HashMap<>();
  private final ArrayDeque<PendingRequest> parked = new ArrayDeque<>();
  private double horizon = FIRST_HORIZON;
  private double window = Double.POSITIVE_INFINITY;

  /** Likely fetches in flight, those at strained servers aside. */
  int fetches;

  /** The rate of likely fetches that the window never refuses. */
  double floor;

  /** The part of fetches that fails or comes late. */
  double losses;

  private double tokens;
  private double tokensAt;
  private double shrunkAt;

  static long pair(PendingRequest p, ServerHealth server) {
    return ConsistentHashRing.mix(p.keyHash ^ ConsistentHashRing.mix(server.id));
  }

  boolean expectsMiss(double now, long pair) {
    Double at = answeredAt.get(pair);
    return at == null || now - at > horizon;
  }

  /** Lets a request wait for the fetch that is out for its key at its server, if there is one. */
  boolean follow(long pair, PendingRequest p) {
    List<PendingRequest> followers = flights.get(pair);
    return followers != null && followers.add(p);
  }

  /** Whether the window leaves no room for a fetch now. */
  boolean full(double now) {
    if (fetches < window) {
      return false;
    }
    // A part of requests always goes: what others have long had cached only asking tells. It
    // shrinks with the share that fares well: an origin that is behind must be let drain.
    tokens = Math.min(2, tokens + (now - tokensAt) * floor * (1 - losses) * (1 - losses));
    tokensAt = now;
    return tokens < 1;
  }

  /** Whether more fetches fail than is fair. */
  boolean troubled() {
    return losses > FAIR_LOSSES;
  }

  /**
   * Lets a request wait, unless as many do as the window will soon have room for. Guards against a
   * queue that stands: who is refused at once has time for another try, and holds no connection.
   */
  boolean park(PendingRequest p) {
    parked.removeIf(old -> !old.waiting || old.answered); // Or a window that stays full keeps them.
    return parked.size() < Math.max(2, window / 8) && parked.add(p);
  }

  /** The newest parked request: it has the most time left. Null if there is none or no room. */
  PendingRequest unpark(double now) {
    return parked.isEmpty() || full(now) ? null : parked.pollLast();
  }

  /** A likely fetch goes out; one at a strained server says nothing of the origin. */
  void started(double now, long pair, PendingRequest p, boolean strained) {
    if (fetches >= window) {
      tokens--;
    }
    p.fetchAttempt = p.tries.size();
    p.fetchPair = pair;
    p.fetchCounted = !strained;
    if (p.fetchCounted) {
      fetches++;
    }
    flights.putIfAbsent(pair, new ArrayList<>());
  }

  /** A likely fetch is over; returns the requests that waited for it. */
  List<PendingRequest> over(double now, PendingRequest p, boolean good, boolean bad) {
    if (bad && troubled() && now - shrunkAt > ROUND * p.type.latencyObjectiveSeconds()) {
      window = Math.max(1, Math.min(window, fetches) * SHRINK);
      shrunkAt = now;
    } else if (good && fetches >= window / 2) {
      window += 1 / window;
    }
    if (p.fetchCounted) {
      p.fetchCounted = false;
      fetches--;
    }
    p.fetchAttempt = -1;
    List<PendingRequest> followers = flights.remove(p.fetchPair);
    return followers == null ? List.of() : followers;
  }

  /** A server answered a request for a key: it holds it now. */
  void answered(double now, long pair, Outcome.CacheStatus note) {
    Double at = answeredAt.put(pair, now);
    if (answeredAt.size() > MEMORY) {
      answeredAt.remove(answeredAt.keySet().iterator().next());
    }
    if (at != null) {
      double age = now - at;
      if (note == Outcome.CacheStatus.MISS && age < horizon) {
        horizon = Math.max(0.5, horizon * 0.98);
      } else if (note == Outcome.CacheStatus.HIT && age > horizon) {
        horizon = Math.min(60, horizon * 1.02);
      }
    }
  }
}
