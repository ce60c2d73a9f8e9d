package shalepaddle.loop;

/**
 * When the polls of an event loop began and returned, which bounds the time at which bytes that it
 * reads have arrived. Owned by the event loop's thread; all times are nanoseconds of its clock.
 */
final class PollTimes {
  /** A poll that took longer had slept: nothing was ready as it began. */
  private static final long MIN_SLEEP_NANOS = 500_000L;

  /** How long a wake-up from a sleep takes at most. */
  private static final long MAX_WAKE_UP_NANOS = 1_000_000L;

  private long beganAt;
  private long returnedAt;
  private boolean returned;

  /** Whether the poll may sleep; if not, it takes long only where the process is held up in it. */
  private boolean mayBlock;

  private long previousReturnedAt;

  PollTimes(long now) {
    beganAt = now;
    returnedAt = now;
    previousReturnedAt = now;
  }

  /** The poll of a new turn begins. */
  void pollBegins(long now) {
    previousReturnedAt = returnedAt;
    beganAt = now;
    returnedAt = now;
    returned = false;
    mayBlock = false;
  }

  /** The poll that has begun may sleep until an event comes. */
  void pollMayBlock() {
    mayBlock = true;
  }

  /** An event is handled at this time; the first one of a turn shows that its poll has returned. */
  void eventHandled(long now) {
    if (!returned) {
      returned = true;
      // After a stall the poll may have returned long before.
      returnedAt = now - beganAt > LoopClock.STALL_THRESHOLD_NANOS ? beganAt : now;
    }
  }

  /** See {@link LoopClock#previousPollAt}. */
  long previousPollAt() {
    return previousReturnedAt;
  }

  /** See {@link LoopClock#earliestArrival}. */
  long earliestArrival() {
    boolean hasSlept = mayBlock && returned && returnedAt - beganAt >= MIN_SLEEP_NANOS;
    return hasSlept
        ? Math.max(previousReturnedAt, returnedAt - MAX_WAKE_UP_NANOS)
        : previousReturnedAt;
  }
}
