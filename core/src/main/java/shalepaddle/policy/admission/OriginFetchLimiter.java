package shalepaddle.policy.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shalepaddle.model.Outcome;

/**
 * Keeps fetches within what the origin can serve. It remembers which keys each server answered
 * lately; a request for another is a likely fetch. One fetch of a key at a server goes first and
 * the others wait for it, and fetches in flight stay within a window that shrinks when many fail or
 * come late (additive increase, multiplicative decrease, as TCP's congestion window). Prevents
 * congestion collapse, in which failed fetches keep keys out of the caches for good.
 *
 * <p>A key at a server is given by its hash. Times are in seconds. Not thread-safe: owned by one
 * router.
 *
 * @param <T> the requests that are held
 */
public final class OriginFetchLimiter<T extends FetchCandidate> {
  private static final int MAX_REMEMBERED_KEYS = 1 << 15;

  /** How long a key is expected in a cache at first; learned from hits and misses then. */
  private static final double INITIAL_CACHED_SECONDS = 8;

  private static final double MIN_CACHED_SECONDS = 0.5;

  private static final double MAX_CACHED_SECONDS = 60;

  private static final double CACHED_DECREASE_RATIO = 0.98;

  private static final double CACHED_INCREASE_RATIO = 1.02;

  /** The window shrinks once in this part of a latency objective, as fetches fail together. */
  private static final double MIN_SHRINK_INTERVAL_RATIO = 0.5;

  private static final double WINDOW_DECREASE_RATIO = 0.7;

  /** The part of fetches that may fail before the window shrinks. */
  private static final double MAX_LOSS_RATIO = 0.15;

  private static final int MAX_GUARANTEED_BURST = 2;

  private static final int MIN_HELD_REQUESTS = 2;

  /** Requests are held up to this part of the window, which will soon have capacity for them. */
  private static final double HELD_WINDOW_DIVISOR = 8;

  private final Map<Long, Double> answeredAtSeconds = new LinkedHashMap<>(1024, 0.75f, true);
  private final Map<Long, List<T>> followersByFetch = new HashMap<>();
  private final ArrayDeque<T> held = new ArrayDeque<>();
  private double expectedCachedSeconds = INITIAL_CACHED_SECONDS;
  private double window = Double.POSITIVE_INFINITY;
  private int fetchesInFlight;
  private double guaranteedPerSecond;
  private double lossRatio;
  private double tokens;
  private double refilledAtSeconds;
  private double shrunkAtSeconds;

  /** Likely fetches in flight, except those at outliers. */
  public int fetchesInFlight() {
    return fetchesInFlight;
  }

  /** Sets the rate of likely fetches that the window never holds back. */
  public void setGuaranteedPerSecond(double fetchesPerSecond) {
    guaranteedPerSecond = fetchesPerSecond;
  }

  /** Sets the part of fetches that fails or comes late. */
  public void setLossRatio(double ratio) {
    lossRatio = ratio;
  }

  /** The part of fetches that fails or comes late. */
  double lossRatio() {
    return lossRatio;
  }

  /** Whether the server likely has to fetch the key. */
  public boolean expectsMiss(double nowSeconds, long keyAtServer) {
    Double at = answeredAtSeconds.get(keyAtServer);
    return at == null || nowSeconds - at > expectedCachedSeconds;
  }

  /** Makes a request wait for the fetch of its key at its server, if one is in flight. */
  public boolean joinFetch(long keyAtServer, T request) {
    List<T> followers = followersByFetch.get(keyAtServer);
    return followers != null && followers.add(request);
  }

  /** Whether there is no capacity for a fetch now. */
  public boolean isFull(double nowSeconds) {
    if (fetchesInFlight < window) {
      return false;
    }
    // Some always go, as only they show what other load balancers have long had cached. Fewer do
    // while many fail, so that an origin that is backlogged can drain.
    tokens =
        Math.min(
            MAX_GUARANTEED_BURST,
            tokens
                + (nowSeconds - refilledAtSeconds)
                    * guaranteedPerSecond
                    * (1 - lossRatio)
                    * (1 - lossRatio));
    refilledAtSeconds = nowSeconds;
    return tokens < 1;
  }

  /** Whether more fetches fail than is usual. */
  public boolean isOriginDegraded() {
    return lossRatio > MAX_LOSS_RATIO;
  }

  /**
   * Holds a request until there is capacity; false if too many are held. A longer queue would only
   * add delay: a client that is rejected at once has time for a retry, and uses no connection.
   */
  public boolean hold(T request) {
    // Else they would stay while the window is full.
    held.removeIf(earlier -> !earlier.isHeld() || earlier.isAnswered());
    return held.size() < Math.max(MIN_HELD_REQUESTS, window / HELD_WINDOW_DIVISOR)
        && held.add(request);
  }

  /** Removes the newest held request, which has the most time left; null if none may go. */
  public T pollHeld(double nowSeconds) {
    return held.isEmpty() || isFull(nowSeconds) ? null : held.pollLast();
  }

  /**
   * An attempt that is a likely fetch goes out.
   *
   * @param outlier whether it goes to an outlier, so that its end says nothing of the origin
   */
  public void onFetchStarted(long keyAtServer, T request, int attempt, boolean outlier) {
    if (fetchesInFlight >= window) {
      tokens--;
    }
    request.beginFetch(attempt, keyAtServer, !outlier);
    if (!outlier) {
      fetchesInFlight++;
    }
    followersByFetch.putIfAbsent(keyAtServer, new ArrayList<>());
  }

  /**
   * A likely fetch is over.
   *
   * @param good whether it succeeded in time
   * @param bad whether it failed or came late
   * @return the requests that waited for it
   */
  public List<T> onFetchEnded(
      double nowSeconds, T request, double latencyObjectiveSeconds, boolean good, boolean bad) {
    if (bad
        && isOriginDegraded()
        && nowSeconds - shrunkAtSeconds > MIN_SHRINK_INTERVAL_RATIO * latencyObjectiveSeconds) {
      window = Math.max(1, Math.min(window, fetchesInFlight) * WINDOW_DECREASE_RATIO);
      shrunkAtSeconds = nowSeconds;
    } else if (good && fetchesInFlight >= window / 2) {
      window += 1 / window;
    }
    if (request.endFetch()) {
      fetchesInFlight--;
    }
    List<T> followers = followersByFetch.remove(request.fetchHash());
    return followers == null ? List.of() : followers;
  }

  /** A server answered a request for a key: it has it cached now. */
  public void onAnswered(double nowSeconds, long keyAtServer, Outcome.CacheStatus cacheStatus) {
    Double earlier = answeredAtSeconds.put(keyAtServer, nowSeconds);
    if (answeredAtSeconds.size() > MAX_REMEMBERED_KEYS) {
      answeredAtSeconds.remove(answeredAtSeconds.keySet().iterator().next());
    }
    if (earlier != null) {
      learnCachedSeconds(nowSeconds - earlier, cacheStatus);
    }
  }

  private void learnCachedSeconds(double ageSeconds, Outcome.CacheStatus cacheStatus) {
    if (cacheStatus == Outcome.CacheStatus.MISS && ageSeconds < expectedCachedSeconds) {
      expectedCachedSeconds =
          Math.max(MIN_CACHED_SECONDS, expectedCachedSeconds * CACHED_DECREASE_RATIO);
    } else if (cacheStatus == Outcome.CacheStatus.HIT && ageSeconds > expectedCachedSeconds) {
      expectedCachedSeconds =
          Math.min(MAX_CACHED_SECONDS, expectedCachedSeconds * CACHED_INCREASE_RATIO);
    }
  }
}
