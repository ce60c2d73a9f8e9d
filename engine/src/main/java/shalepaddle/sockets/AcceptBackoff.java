package shalepaddle.sockets;

/**
 * The delay before accepting again after a failure. Short at first: connections wait in the
 * kernel's queue, and the deadlines of their requests run. It doubles with each further failure: a
 * listener with queued connections is always ready and would keep the event loop busy. Not
 * thread-safe.
 */
final class AcceptBackoff {
  static final long INITIAL_MILLIS = 2;
  static final long MAX_MILLIS = 50;

  private long nextMillis = INITIAL_MILLIS;

  /** Accepting has failed; returns the milliseconds until the next attempt. */
  long nextDelayMillis() {
    long delayMillis = nextMillis;
    nextMillis = Math.min(MAX_MILLIS, 2 * nextMillis);
    return delayMillis;
  }

  /** Accepting has succeeded. */
  void reset() {
    nextMillis = INITIAL_MILLIS;
  }
}
