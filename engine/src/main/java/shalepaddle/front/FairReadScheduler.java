package shalepaddle.front;

import java.util.function.Supplier;
import shalepaddle.overload.DegradationPolicy;

/**
 * Divides reading among connections while the processor is overloaded: a connection that has sent
 * more than its quota of all requests in an interval is not read until the next interval. Prevents
 * one client from using up the event loop. Its further requests wait in the socket, so that TCP
 * flow control slows the client down; no request is rejected and no connection closed.
 *
 * <p>Shared by all connections of a front, owned by the event loop.
 */
final class FairReadScheduler {
  static final long INTERVAL_NANOS = 100_000_000L;

  /** Minimum quota of a connection, in requests per interval. */
  private static final int MIN_QUOTA_REQUESTS = 8;

  private final Supplier<DegradationPolicy> policy;
  private long interval;
  private int requests;
  private int requestsInPreviousInterval;

  FairReadScheduler(Supplier<DegradationPolicy> policy) {
    this.policy = policy;
  }

  /** Number of pending responses on one connection at which reading from it stops. */
  int maxPendingResponses() {
    return policy.get().maxPendingResponses();
  }

  /** The number of requests that one connection has sent in the present interval. */
  static final class RequestCount {
    private long interval;
    private int requests;

    /** Adds requests of the given interval and returns their total. */
    private int add(long currentInterval, int newRequests) {
      if (interval != currentInterval) {
        interval = currentInterval;
        requests = 0;
      }
      requests += newRequests;
      return requests;
    }
  }

  /**
   * Counts further requests of a connection.
   *
   * @return how long to pause reading from the connection, 0 for no pause
   */
  long pauseNanos(RequestCount requestCount, int newRequests, long now) {
    long currentInterval = now / INTERVAL_NANOS;
    if (currentInterval != interval) {
      requestsInPreviousInterval = currentInterval == interval + 1 ? requests : 0;
      requests = 0;
      interval = currentInterval;
    }
    requests += newRequests;
    int requestsOfConnection = requestCount.add(currentInterval, newRequests);
    double quotaRatio = policy.get().heavyReaderRatio();
    boolean exceedsQuota =
        quotaRatio < 1
            && requestsOfConnection > MIN_QUOTA_REQUESTS
            && requestsOfConnection > quotaRatio * Math.max(requests, requestsInPreviousInterval);
    return exceedsQuota ? (currentInterval + 1) * INTERVAL_NANOS - now : 0;
  }
}
