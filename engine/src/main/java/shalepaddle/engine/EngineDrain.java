package shalepaddle.engine;

import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;

/**
 * Whether the engine accepts requests, and by when it must have answered them: running, draining
 * towards an end that is known, or closed. Owned by the event loop's thread.
 */
final class EngineDrain {
  private enum State {
    RUNNING,

    /** Every request must be answered by a set time. */
    DRAINING,

    /** Nothing is accepted any more. */
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
   * Limits the deadlines of new requests to this time.
   *
   * @param nanos by the loop's clock
   * @param answerOpen answers what is open; run shortly before that time
   */
  void drainBy(long nanos, Runnable answerOpen) {
    answerByNanos = nanos;
    if (state == State.RUNNING) {
      state = State.DRAINING;
    }
    // One tick before the attempts time out, since each time-out would count as a failure of its
    // server.
    long early = AttemptDeadlines.ANSWER_MARGIN_NANOS + tickNanos;
    timers.runNoLaterThan(nanos - early - clock.now(), answerOpen);
  }

  /** Accepts nothing any more; false if it was closed before. */
  boolean close() {
    boolean wasOpen = state != State.CLOSED;
    state = State.CLOSED;
    return wasOpen;
  }

  boolean isClosed() {
    return state == State.CLOSED;
  }

  /** A request's deadline, or the end of the drain where that comes first. */
  long limit(long deadlineNanos) {
    boolean later = state == State.DRAINING && deadlineNanos - answerByNanos > 0;
    return later ? answerByNanos : deadlineNanos;
  }
}
