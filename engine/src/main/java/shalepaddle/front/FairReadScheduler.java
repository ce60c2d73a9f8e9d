package shalepaddle.front;

import java.util.function.Supplier;
import shalepaddle.overload.DegradationPolicy;

/**
 * Shares reading between connections while the processor is overloaded: one that has sent more than
 * its quota of all requests in an interval is not read from until the next. Prevents one client
 * from using up the event loop. What it sent waits in its own socket, so that TCP slows it down;
 * nothing is rejected or closed.
 *
 * <p>One for all connections of a front, owned by the event loop.
 */
final class FairReadScheduler {
  static final long INTERVAL_NANOS = 100_000_000L;

  /** Requests of one connection in an interval that never exceed its quota. */
  private static final int MIN_QUOTA_REQUESTS = 8;

  private final Supplier<DegradationPolicy> policy;
  private long interval;
  private int requests;
  private int requestsInPreviousInterval;

  FairReadScheduler(Supplier<DegradationPolicy> policy) {
    this.policy = policy;
  }

  /** Responses that may be pending on one connection before no more is read from it. */
  int maxPendingResponses() {
    return policy.get().maxPendingResponses();
  }

  /** The requests that one connection has sent in the present interval. */
  static final class RequestCount {
    private long interval;
    private int requests;

    /** Adds requests that came in this interval; returns all of them. */
    private int add(long currentInterval, int more) {
      if (interval != currentInterval) {
        interval = currentInterval;
        requests = 0;
      }
      requests += more;
      return requests;
    }
  }

  /**
   * A connection has sent more requests.
   *
   * @return for how long to read no more from it, 0 to go on
   */
  long pauseNanos(RequestCount connection, int more, long now) {
    long current = now / INTERVAL_NANOS;
    if (current != interval) {
      requestsInPreviousInterval = current == interval + 1 ? requests : 0;
      requests = 0;
      interval = current;
    }
    requests += more;
    int sent = connection.add(current, more);
    double quotaRatio = policy.get().heavyReaderRatio();
    boolean exceedsQuota =
        quotaRatio < 1
            && sent > MIN_QUOTA_REQUESTS
            && sent > quotaRatio * Math.max(requests, requestsInPreviousInterval);
    return exceedsQuota ? (current + 1) * INTERVAL_NANOS - now : 0;
  }
}
