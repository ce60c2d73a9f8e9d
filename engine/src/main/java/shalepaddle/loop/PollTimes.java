package shalepaddle.loop;

/**
 * Tracks when the polls of an event loop began and returned, to bound the arrival time of the bytes
 * that it reads. Owned by the event loop's thread; all times are nanoseconds of its clock.
 */
final class PollTimes {
  /** A poll that took longer has slept: no event was ready when it began. */
  private static final long MIN_SLEEP_NANOS = 500_000L;

  /** Maximum time for the wake-up from a sleep. */
  private static final long MAX_WAKE_UP_NANOS = 1_000_000L;

  private long beganAtNanos;
  private long returnedAtNanos;
  private boolean hasReturned;

  /** Whether the poll may sleep; otherwise it takes long only if the process is not scheduled. */
  private boolean mayBlock;

  private long previousReturnedAtNanos;

  PollTimes(long now) {
    beganAtNanos = now;
    returnedAtNanos = now;
    previousReturnedAtNanos = now;
  }

  /** Called when the poll of a new turn begins. */
  void pollBegins(long now) {
    previousReturnedAtNanos = returnedAtNanos;
    beganAtNanos = now;
    returnedAtNanos = now;
    hasReturned = false;
    mayBlock = false;
  }

  /** Called if the present poll may sleep until an event occurs. */
  void pollMayBlock() {
    mayBlock = true;
  }

  /** Called when an event is handled; the first event of a turn shows that the poll returned. */
  void eventHandled(long now) {
    if (!hasReturned) {
      hasReturned = true;
      // After a stall, the poll may have returned long before this event is handled.
      returnedAtNanos = now - beganAtNanos > LoopClock.STALL_THRESHOLD_NANOS ? beganAtNanos : now;
    }
  }

  /** See {@link LoopClock#previousPollAtNanos}. */
  long previousPollAtNanos() {
    return previousReturnedAtNanos;
  }

  /** See {@link LoopClock#earliestArrivalNanos}. */
  long earliestArrivalNanos() {
    boolean hasSlept = mayBlock && hasReturned && returnedAtNanos - beganAtNanos >= MIN_SLEEP_NANOS;
    return hasSlept
        ? Math.max(previousReturnedAtNanos, returnedAtNanos - MAX_WAKE_UP_NANOS)
        : previousReturnedAtNanos;
  }
}
