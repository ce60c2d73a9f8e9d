package shalepaddle.engine;

import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;

/**
 * Whether the engine is running, draining until a given time, or closed; limits the deadlines of
 * requests while it drains. Owned by the event loop's thread.
 */
final class EngineDrain {
  private enum State {
    RUNNING,

    /** Every request must be answered by a set time. */
    DRAINING,

    /** No more requests are accepted. */
    CLOSED
  }

  private final LoopClock clock;
  private final Timers timers;
  private final long tickNanos;
  private State state = State.RUNNING;
  private long answerByNanos;

  EngineDrain(LoopClock clock, Timers timers, long tickNanos) {
    this.clock = clock;
    this.timers = timers;
    this.tickNanos = tickNanos;
  }

  /**
   * Limits the deadlines of new requests to the given time.
   *
   * @param endNanos the given time, by the loop's clock
   * @param answerOpenRequests answers all open requests; run shortly before the given time
   */
  void drainBy(long endNanos, Runnable answerOpenRequests) {
    answerByNanos = endNanos;
    if (state == State.RUNNING) {
      state = State.DRAINING;
    }
    // Open requests are answered one tick before their attempts time out, since each time-out
    // counts as a failure of the server.
    long marginNanos = AttemptDeadlines.ANSWER_MARGIN_NANOS + tickNanos;
    timers.runNoLaterThan(endNanos - marginNanos - clock.now(), answerOpenRequests);
  }

  /** Accepts no more requests. Returns false if the engine was closed before. */
  boolean close() {
    boolean wasOpen = state != State.CLOSED;
    state = State.CLOSED;
    return wasOpen;
  }

  boolean isClosed() {
    return state == State.CLOSED;
  }

  /** Limits a request's deadline to the end of the drain, if the engine is draining. */
  long limitDeadline(long deadlineNanos) {
    boolean isAfterDrain = state == State.DRAINING && deadlineNanos - answerByNanos > 0;
    return isAfterDrain ? answerByNanos : deadlineNanos;
  }
}
