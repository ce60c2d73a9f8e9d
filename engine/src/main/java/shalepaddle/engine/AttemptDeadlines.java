package shalepaddle.engine;

import java.util.function.Consumer;
import shalepaddle.loop.Timers;

/**
 * Sets the two timers of an attempt: the deadline for writing it and the deadline for its reply.
 * Owned by the event loop's thread; all times are nanoseconds of the loop's clock.
 */
final class AttemptDeadlines {
  /**
   * An attempt times out this long before the deadline of its request, so that the policy is
   * notified of the time-out and can still answer in time.
   */
  static final long ANSWER_MARGIN_NANOS = 2_000_000;

  private final Timers timers;
  private final long tickNanos;
  private final Consumer<Attempt> onTimeout;
  private final Consumer<Attempt> onWriteDeadline;

  /**
   * Creates an instance without timers.
   *
   * @param tickNanos the resolution of the timers
   * @param onTimeout ends an attempt that was not answered in time
   * @param onWriteDeadline withdraws an attempt that was not written in time
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

  /** The time at which an attempt of this exchange times out. */
  static long deadlineOf(Exchange exchange) {
    return exchange.deadlineNanos() - ANSWER_MARGIN_NANOS;
  }

  /** Whether an attempt with this deadline would time out in the tick in which it is sent. */
  boolean isTooLateToSend(long deadlineNanos, long now) {
    return deadlineNanos - now < tickNanos;
  }

  /** Sets the timer that ends an attempt if it is not answered by its deadline. */
  void startResponseTimer(Attempt attempt, long now) {
    attempt.setResponseTimer(
        timers.runNoLaterThan(attempt.deadlineNanos() - now, () -> onTimeout.accept(attempt)));
  }

  /** Sets the timer by which an attempt must be written completely, if it needs one. */
  void startWriteTimer(Attempt attempt, long now) {
    long writeWithinNanos = attempt.writeWithinNanos(now);
    if (writeWithinNanos < attempt.deadlineNanos() - now) {
      attempt.setWriteTimer(
          timers.runNoLaterThan(writeWithinNanos, () -> onWriteDeadline.accept(attempt)));
    }
  }

  /** Extends the deadline of an exchange, and of its attempts that share that deadline. */
  void extend(Exchange exchange, long deadlineNanos, long now) {
    long previousDeadlineNanos = deadlineOf(exchange);
    exchange.extendDeadline(deadlineNanos);
    for (Attempt attempt : exchange.attempts()) {
      if (!attempt.isEnded() && attempt.deadlineNanos() == previousDeadlineNanos) {
        attempt.cancelResponseTimer();
        attempt.extendDeadline(deadlineOf(exchange));
        startResponseTimer(attempt, now);
      }
    }
  }
}
