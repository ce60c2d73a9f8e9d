package shalepaddle.front;

import java.util.function.Supplier;
import shalepaddle.overload.DegradationPolicy;

/**
 * Who may go on being read from while the processor is short: a connection that has sent more than
 * its part of all requests waits for the next interval. Guards against one client that takes the
 * event loop from all others; what it sent waits in its own socket, where it slows itself down.
 * Nothing is refused or closed for it.
 */
final class FairReadScheduler {
  static final long INTERVAL_NANOS = 100_000_000L;

  /** Requests in an interval that are never too many. */
  private static final int FEW = 8;

  private final Supplier<DegradationPolicy> posture;
  private long interval;
  private int all;
  private int allBefore;

  FairReadScheduler(Supplier<DegradationPolicy> posture) {
    this.posture = posture;
  }

  /** Answers that one connection may be owed before no more is read from it. */
  int owed() {
    return posture.get().maxPendingResponses();
  }

  /** What one connection has sent. */
  static final class Count {
    private long interval;
    private int requests;
  }

  /**
   * A connection has sent so many more requests; returns for how many nanoseconds to read no more
   * from it, 0 to go on.
   */
  long pause(Count count, int more, long now) {
    long current = now / INTERVAL_NANOS;
    if (current != interval) {
      allBefore = current == interval + 1 ? all : 0;
      all = 0;
      interval = current;
    }
    all += more;
    if (count.interval != current) {
      count.interval = current;
      count.requests = 0;
    }
    count.requests += more;
    double heavy = posture.get().heavyReaderRatio();
    boolean most =
        heavy < 1 && count.requests > FEW && count.requests > heavy * Math.max(all, allBefore);
    return most ? (current + 1) * INTERVAL_NANOS - now : 0;
  }
}
