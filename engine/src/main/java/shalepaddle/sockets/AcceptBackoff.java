package shalepaddle.sockets;

/**
 * When to accept again after accepting has failed: soon, since what the kernel has accepted waits
 * and the time of its requests runs, and ever later while it goes on failing, since a listener with
 * connections waiting is always ready and would keep the event loop busy.
 */
final class AcceptBackoff {
  static final long INITIAL_MILLIS = 2;
  static final long MAX_MILLIS = 50;

  private long next = INITIAL_MILLIS;

  /** An accept has failed; returns in how many milliseconds to try again. */
  long nextDelayMillis() {
    long delay = next;
    next = Math.min(MAX_MILLIS, 2 * next);
    return delay;
  }

  /** An accept has succeeded. */
  void reset() {
    next = INITIAL_MILLIS;
  }
}
