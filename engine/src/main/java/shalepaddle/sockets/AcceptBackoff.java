package shalepaddle.sockets;

/**
 * The delay before accepting again after a failure. Short at first, since connections wait in the
 * kernel's queue while the deadlines of their requests approach. Doubles with each further failure,
 * since a listener with queued connections is always ready and would keep the event loop busy. Not
 * thread-safe.
 */
final class AcceptBackoff {
  static final long INITIAL_DELAY_MILLIS = 2;
  static final long MAX_DELAY_MILLIS = 50;

  private long nextDelayMillis = INITIAL_DELAY_MILLIS;

  /** Returns the delay in milliseconds until the next attempt, after a failure to accept. */
  long nextDelayMillis() {
    long delayMillis = nextDelayMillis;
    nextDelayMillis = Math.min(MAX_DELAY_MILLIS, 2 * nextDelayMillis);
    return delayMillis;
  }

  /** Resets the delay after a connection was accepted. */
  void reset() {
    nextDelayMillis = INITIAL_DELAY_MILLIS;
  }
}
