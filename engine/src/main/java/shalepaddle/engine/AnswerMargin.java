package shalepaddle.engine;

/**
 * Computes how long before a client's deadline its request has to be answered, since the event loop
 * may stall at the deadline.
 *
 * <p>Part of each request's time budget is reserved for the stall that any process may have, and
 * more if the loop has stalled repeatedly. Cost: requests that would be served in the reserved part
 * of their budget are rejected or time out.
 *
 * <p>Pure functions; all times are nanoseconds.
 */
final class AnswerMargin {
  /** The length of the stall that is expected in any process. */
  private static final long USUAL_STALL_NANOS = 100_000_000;

  /** At most the time budget divided by this is reserved for the usual stall. */
  private static final long USUAL_STALL_DIVISOR = 8;

  /** The maximum time reserved for repeated stalls. */
  private static final long MAX_ALLOWANCE_NANOS = 150_000_000;

  /** At most the time budget divided by this is reserved for repeated stalls. */
  private static final long ALLOWANCE_DIVISOR = 4;

  private AnswerMargin() {}

  /** The time that is reserved if stalls of the given length are expected. */
  static long allowanceNanos(long expectedStallNanos) {
    return Math.min(MAX_ALLOWANCE_NANOS, expectedStallNanos);
  }

  /** How long before its client's deadline a request with this time budget must be answered. */
  static long marginNanos(long budgetNanos, long expectedStallNanos) {
    long usualStallNanos = Math.min(USUAL_STALL_NANOS, budgetNanos / USUAL_STALL_DIVISOR);
    long repeatedStallsNanos =
        Math.min(allowanceNanos(expectedStallNanos), budgetNanos / ALLOWANCE_DIVISOR);
    return Math.max(usualStallNanos, repeatedStallsNanos);
  }
}
