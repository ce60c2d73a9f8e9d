package shalepaddle.policy.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shalepaddle.model.Outcome;

/**
 * Limits fetches to what the origin can serve. Remembers which keys each server has answered
 * recently; a request for any other key is a likely fetch. Only one fetch of a key is sent to a
 * server at a time, and requests for the same key wait for it. Fetches in flight are limited by a
 * window that shrinks when many fail or are late (additive increase, multiplicative decrease, like
 * TCP's congestion window). Prevents congestion collapse, in which failed fetches keep keys out of
 * the caches permanently.
 *
 * <p>A pair of key and server is identified by its hash. Times are in seconds. Not thread-safe:
 * owned by one router.
 *
 * @param <T> the type of the requests
 */
public final class OriginFetchLimiter<T extends FetchCandidate> {
  /**
   * Maximum number of remembered keys, which bounds memory; the least recently used key is dropped.
   */
  private static final int MAX_REMEMBERED_KEYS = 1 << 15;

  /** Initial estimate of how long a key stays cached after an answer; hits and misses adjust it. */
  private static final double INITIAL_CACHED_SECONDS = 8;

  private static final double MIN_CACHED_SECONDS = 0.5;

  private static final double MAX_CACHED_SECONDS = 60;

  private static final double CACHED_DECREASE_RATIO = 0.98;

  private static final double CACHED_INCREASE_RATIO = 1.02;

  /**
   * Minimum interval between two reductions of the window, as a fraction of the latency objective;
   * fetches that fail together usually have one cause.
   */
  private static final double MIN_SHRINK_INTERVAL_RATIO = 0.5;

  private static final double WINDOW_DECREASE_RATIO = 0.7;

  /** The fraction of fetches that may fail or be late before the window shrinks. */
  private static final double MAX_LOSS_RATIO = 0.15;

  /** Maximum number of accumulated tokens for guaranteed fetches. */
  private static final int MAX_GUARANTEED_TOKENS = 2;

  private static final int MIN_HELD_REQUESTS = 2;

  /**
   * The maximum number of held requests is the window divided by this, so that they get capacity
   * soon.
   */
  private static final double HELD_WINDOW_DIVISOR = 8;

  private final Map<Long, Double> answeredAtSeconds = new LinkedHashMap<>(1024, 0.75f, true);
  private final Map<Long, List<T>> followersByFetch = new HashMap<>();
  private final ArrayDeque<T> heldRequests = new ArrayDeque<>();
  private double expectedCachedSeconds = INITIAL_CACHED_SECONDS;
  private double fetchWindow = Double.POSITIVE_INFINITY;
  private int fetchesInFlight;
  private double guaranteedPerSecond;
  private double lossRatio;
  private double guaranteedTokens;
  private double refilledAtSeconds;
  private double shrunkAtSeconds;

  /** The number of likely fetches in flight, except those at outliers. */
  public int fetchesInFlight() {
    return fetchesInFlight;
  }

  /** Sets the rate of likely fetches that may start even when the window is full. */
  public void setGuaranteedPerSecond(double fetchesPerSecond) {
    guaranteedPerSecond = fetchesPerSecond;
  }

  /** Sets the fraction of fetches that fail or are late. */
  public void setLossRatio(double ratio) {
    lossRatio = ratio;
  }

  /** The fraction of fetches that fail or are late. */
  double lossRatio() {
    return lossRatio;
  }

  /** Whether the server likely has to fetch the key from the origin. */
  public boolean expectsMiss(double nowSeconds, long keyServerHash) {
    Double lastAnswerSeconds = answeredAtSeconds.get(keyServerHash);
    return lastAnswerSeconds == null || nowSeconds - lastAnswerSeconds > expectedCachedSeconds;
  }

  /** Makes a request wait for the fetch of its key at its server, if one is in flight. */
  public boolean joinFetch(long keyServerHash, T request) {
    List<T> followers = followersByFetch.get(keyServerHash);
    return followers != null && followers.add(request);
  }

  /**
   * Whether no fetch may start now: the window is full and no token for a guaranteed fetch is left.
   * Refills the tokens; {@link #onFetchStarted} withdraws one.
   */
  public boolean isFull(double nowSeconds) {
    if (fetchesInFlight < fetchWindow) {
      return false;
    }
    // Some fetches may always start: other load balancers may have caused a key to be cached, which
    // only a request for it can reveal. The success ratio is squared so that an overloaded origin
    // gets far fewer fetches and can recover.
    guaranteedTokens =
        Math.min(
            MAX_GUARANTEED_TOKENS,
            guaranteedTokens
                + (nowSeconds - refilledAtSeconds)
                    * guaranteedPerSecond
                    * (1 - lossRatio)
                    * (1 - lossRatio));
    refilledAtSeconds = nowSeconds;
    return guaranteedTokens < 1;
  }

  /** Whether more fetches than usual fail or are late. */
  public boolean isOriginDegraded() {
    return lossRatio > MAX_LOSS_RATIO;
  }

  /**
   * Holds a request until there is capacity; returns false if too many are held. A longer queue
   * would only add delay: a client that is rejected at once has time left for a retry and occupies
   * no connection meanwhile.
   */
  public boolean hold(T request) {
    // Requests that no longer wait would occupy the queue while the window is full.
    heldRequests.removeIf(heldRequest -> !heldRequest.isHeld() || heldRequest.isAnswered());
    return heldRequests.size() < Math.max(MIN_HELD_REQUESTS, fetchWindow / HELD_WINDOW_DIVISOR)
        && heldRequests.add(request);
  }

  /** Removes the newest held request, which has the most time left; null if none may start. */
  public T pollHeldRequest(double nowSeconds) {
    return heldRequests.isEmpty() || isFull(nowSeconds) ? null : heldRequests.pollLast();
  }

  /**
   * Records the start of a likely fetch. Must only be called after {@link #isFull} returned false
   * at the same time, or for an attempt that was sent already.
   *
   * @param isOutlier whether the server is an outlier, so that the fetch's result does not show the
   *     origin's state
   */
  public void onFetchStarted(long keyServerHash, T request, int attempt, boolean isOutlier) {
    if (fetchesInFlight >= fetchWindow) {
      guaranteedTokens--;
    }
    request.beginFetch(attempt, keyServerHash, !isOutlier);
    if (!isOutlier) {
      fetchesInFlight++;
    }
    followersByFetch.putIfAbsent(keyServerHash, new ArrayList<>());
  }

  /**
   * Records the end of a likely fetch.
   *
   * @param isInTime whether the fetch succeeded in time
   * @param isLost whether the fetch failed or was late; if the outcome shows neither, both are
   *     false
   * @return the requests that waited for it
   */
  public List<T> onFetchEnded(
      double nowSeconds,
      T request,
      double latencyObjectiveSeconds,
      boolean isInTime,
      boolean isLost) {
    if (isLost
        && isOriginDegraded()
        && nowSeconds - shrunkAtSeconds > MIN_SHRINK_INTERVAL_RATIO * latencyObjectiveSeconds) {
      fetchWindow = Math.max(1, Math.min(fetchWindow, fetchesInFlight) * WINDOW_DECREASE_RATIO);
      shrunkAtSeconds = nowSeconds;
    } else if (isInTime && fetchesInFlight >= fetchWindow / 2) {
      fetchWindow += 1 / fetchWindow;
    }
    if (request.endFetch()) {
      fetchesInFlight--;
    }
    List<T> followers = followersByFetch.remove(request.fetchHash());
    return followers == null ? List.of() : followers;
  }

  /** Records that a server answered a request for a key and so has it cached now. */
  public void onAnswered(double nowSeconds, long keyServerHash, Outcome.CacheStatus cacheStatus) {
    Double previousAnswerSeconds = answeredAtSeconds.put(keyServerHash, nowSeconds);
    if (answeredAtSeconds.size() > MAX_REMEMBERED_KEYS) {
      answeredAtSeconds.remove(answeredAtSeconds.keySet().iterator().next());
    }
    if (previousAnswerSeconds != null) {
      learnCachedSeconds(nowSeconds - previousAnswerSeconds, cacheStatus);
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
