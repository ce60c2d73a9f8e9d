package shalepaddle.engine;

import java.util.function.Consumer;
import shalepaddle.loop.Timers;

/**
 * The two timers of an attempt: by when it must be written, and by when it must be answered. Owned
 * by the event loop's thread; all times are nanoseconds of the loop's clock.
 */
final class AttemptDeadlines {
  /**
   * An attempt times out this long before its request has to be answered, so that the policy is
   * notified of the time-out first and the answer is in time.
   */
  static final long ANSWER_MARGIN_NANOS = 2_000_000;

  private final Timers timers;
  private final long tickNanos;
  private final Consumer<Attempt> onTimeout;
  private final Consumer<Attempt> onWriteDeadline;

  /**
   * Timers that have not been set.
   *
   * @param tickNanos the grain of the timers
   * @param onTimeout ends an attempt that was not answered in time
   * @param onWriteDeadline takes an attempt back that was not written in time
   */
  AttemptDeadlines(
      Timers timers,
      long tickNanos,
      Consumer<Attempt> onTimeout,
      Consumer<Attempt> onWriteDeadline) {
    this.timers = timers;
    this.tickNanos = tickNanos;
    this.onTimeout = onTimeout;
    this.onWriteDeadline = onWriteDeadline;
  }

  /** When an attempt of this exchange that is sent now times out. */
  static long deadlineOf(Exchange exchange) {
    return exchange.deadlineNanos() - ANSWER_MARGIN_NANOS;
  }

  /** Whether an attempt with this deadline would time out in the tick in which it is sent. */
  boolean isTooLateToSend(long deadlineNanos, long now) {
    return deadlineNanos - now < tickNanos;
  }

  /** Sets the timer by which an attempt must be answered. */
  void startResponseTimer(Attempt attempt, long now) {
    attempt.setResponseTimer(
        timers.runNoLaterThan(attempt.deadlineNanos() - now, () -> onTimeout.accept(attempt)));
  }

  /** Sets the timer by which an attempt must be written complete, where one is needed. */
  void startWriteTimer(Attempt attempt, long now) {
    long within = attempt.writeWithinNanos(now);
    if (within < attempt.deadlineNanos() - now) {
      attempt.setWriteTimer(timers.runNoLaterThan(within, () -> onWriteDeadline.accept(attempt)));
    }
  }

  /** Gives an exchange, and those of its attempts that last as long as it does, a new deadline. */
  void extend(Exchange exchange, long deadlineNanos, long now) {
    long before = deadlineOf(exchange);
    exchange.extendDeadline(deadlineNanos);
    for (Attempt attempt : exchange.attempts()) {
      if (!attempt.isEnded() && attempt.deadlineNanos() == before) {
        attempt.cancelResponseTimer();
        attempt.extendDeadline(deadlineOf(exchange));
        startResponseTimer(attempt, now);
      }
    }
  }
}
