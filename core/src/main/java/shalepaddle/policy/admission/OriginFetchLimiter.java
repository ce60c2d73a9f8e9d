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
 * congestion collapse, in which failed fetches keep keys out of the caches permanently.
 *
 * <p>A key at a server is given by its hash. Times are in seconds. Not thread-safe: owned by one
 * router.
 *
 * @param <T> the requests that are held
 */
public final class OriginFetchLimiter<T extends FetchCandidate> {
  /** Bounds memory; the key whose last answer or lookup is longest ago is dropped. */
  private static final int MAX_REMEMBERED_KEYS = 1 << 15;

  /** How long after an answer a key is expected in the cache, until hits and misses adjust it. */
  private static final double INITIAL_CACHED_SECONDS = 8;

  private static final double MIN_CACHED_SECONDS = 0.5;

  private static final double MAX_CACHED_SECONDS = 60;

  private static final double CACHED_DECREASE_RATIO = 0.98;

  private static final double CACHED_INCREASE_RATIO = 1.02;

  /**
   * The window shrinks at most once in this fraction of a latency objective, since fetches that
   * fail together have one cause.
   */
  private static final double MIN_SHRINK_INTERVAL_RATIO = 0.5;

  private static final double WINDOW_DECREASE_RATIO = 0.7;

  /** The fraction of fetches that may fail or come late before the window shrinks. */
  private static final double MAX_LOSS_RATIO = 0.15;

  /** Tokens for guaranteed fetches that may accumulate. */
  private static final int MAX_GUARANTEED_BURST = 2;

  private static final int MIN_HELD_REQUESTS = 2;

  /** At most the window divided by this is held: as many as will soon find capacity. */
  private static final double HELD_WINDOW_DIVISOR = 8;

  private final Map<Long, Double> answeredAtSeconds = new LinkedHashMap<>(1024, 0.75f, true);
  private final Map<Long, List<T>> followersByFetch = new HashMap<>();
  private final ArrayDeque<T> held = new ArrayDeque<>();
  private double expectedCachedSeconds = INITIAL_CACHED_SECONDS;
  private double window = Double.POSITIVE_INFINITY;
  private int fetchesInFlight;
  private double guaranteedPerSecond;
  private double lossRatio;
  private double guaranteedTokens;
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

  /**
   * Whether there is no capacity for a fetch now: neither in the window nor a guaranteed token.
   * Refills the tokens; {@link #onFetchStarted} takes one.
   */
  public boolean isFull(double nowSeconds) {
    if (fetchesInFlight < window) {
      return false;
    }
    // Some fetches always start: a key may be cached through other load balancers, which only a
    // request for it shows. Squared, so that a backlogged origin gets far fewer and can recover.
    guaranteedTokens =
        Math.min(
            MAX_GUARANTEED_BURST,
            guaranteedTokens
                + (nowSeconds - refilledAtSeconds)
                    * guaranteedPerSecond
                    * (1 - lossRatio)
                    * (1 - lossRatio));
    refilledAtSeconds = nowSeconds;
    return guaranteedTokens < 1;
  }

  /** Whether more fetches fail or come late than is usual. */
  public boolean isOriginDegraded() {
    return lossRatio > MAX_LOSS_RATIO;
  }

  /**
   * Holds a request until there is capacity; false if too many are held. A longer queue would only
   * add delay: a client that is rejected at once has time for a retry, and uses no connection.
   */
  public boolean hold(T request) {
    // Requests that are no longer held would take up places while the window is full.
    held.removeIf(earlier -> !earlier.isHeld() || earlier.isAnswered());
    return held.size() < Math.max(MIN_HELD_REQUESTS, window / HELD_WINDOW_DIVISOR)
        && held.add(request);
  }

  /** Removes the newest held request, which has the most time left; null if none may go. */
  public T pollHeld(double nowSeconds) {
    return held.isEmpty() || isFull(nowSeconds) ? null : held.pollLast();
  }

  /**
   * An attempt that is a likely fetch goes out. Call it only after {@link #isFull} was false at the
   * same time, or for an attempt that was sent already.
   *
   * @param outlier whether it goes to an outlier, so that its end says nothing of the origin
   */
  public void onFetchStarted(long keyAtServer, T request, int attempt, boolean outlier) {
    if (fetchesInFlight >= window) {
      guaranteedTokens--;
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
   * @param inTime whether it succeeded in time
   * @param lost whether it failed or came late; both are false if the outcome shows neither
   * @return the requests that waited for it
   */
  public List<T> onFetchEnded(
      double nowSeconds, T request, double latencyObjectiveSeconds, boolean inTime, boolean lost) {
    if (lost
        && isOriginDegraded()
        && nowSeconds - shrunkAtSeconds > MIN_SHRINK_INTERVAL_RATIO * latencyObjectiveSeconds) {
      window = Math.max(1, Math.min(window, fetchesInFlight) * WINDOW_DECREASE_RATIO);
      shrunkAtSeconds = nowSeconds;
    } else if (inTime && fetchesInFlight >= window / 2) {
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
