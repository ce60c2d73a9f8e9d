package shalepaddle.coalescing;

/**
 * One read that waits for a flight. Not thread-safe: owned by the {@link RequestCoalescer}.
 *
 * @param <C> the caller's representation outside this package
 */
public final class FlightWaiter<C> {
  private final Flight<C> flight;
  private final C caller;
  private final long deadlineNanos;
  private final int position;
  private boolean isEnded;

  FlightWaiter(Flight<C> flight, C caller, long deadlineNanos, int position) {
    this.flight = flight;
    this.caller = caller;
    this.deadlineNanos = deadlineNanos;
    this.position = position;
  }

  /** The caller that waits. */
  public C caller() {
    return caller;
  }

  /** The flight that the read waits for. */
  public Flight<C> flight() {
    return flight;
  }

  /** The time at which the waiter's client stops waiting. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  /** The number of callers that joined the flight before this one. */
  int position() {
    return position;
  }

  /** Marks the waiter as answered, or its client as gone. */
  void end() {
    isEnded = true;
  }

  /** Whether the waiter is answered or its client has left. */
  boolean isEnded() {
    return isEnded;
  }
}
