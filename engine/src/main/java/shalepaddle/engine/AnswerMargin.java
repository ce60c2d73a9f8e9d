package shalepaddle.engine;

/**
 * How long before a client's deadline its request has to be answered, since the event loop may
 * stall at just that time.
 *
 * <p>A part of each request's time is reserved for the stall that any process has to expect, and
 * more where the loop has stalled repeatedly. Cost: requests that would be served in that part of
 * their time are rejected or time out.
 *
 * <p>Pure functions; all times are nanoseconds.
 */
final class AnswerMargin {
  /** The stall that has to be expected of any process. */
  private static final long USUAL_STALL_NANOS = 100_000_000;

  /** At most the request's time divided by this is reserved for the usual stall. */
  private static final long USUAL_STALL_DIVISOR = 8;

  /** The longest repeated stall that time is reserved for. */
  private static final long MAX_ALLOWANCE_NANOS = 150_000_000;

  /** At most the request's time divided by this is reserved where stalls repeat. */
  private static final long ALLOWANCE_DIVISOR = 4;

  private AnswerMargin() {}

  /** What is reserved for stalls where stalls of this length are to be expected. */
  static long allowance(long expectedStallNanos) {
    return Math.min(MAX_ALLOWANCE_NANOS, expectedStallNanos);
  }

  /** The margin of a request with this time budget. */
  static long of(long budgetNanos, long expectedStallNanos) {
    long usual = Math.min(USUAL_STALL_NANOS, budgetNanos / USUAL_STALL_DIVISOR);
    long repeated = Math.min(allowance(expectedStallNanos), budgetNanos / ALLOWANCE_DIVISOR);
    return Math.max(usual, repeated);
  }
}
