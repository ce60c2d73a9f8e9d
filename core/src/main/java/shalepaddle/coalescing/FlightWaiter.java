package shalepaddle.coalescing;

/**
 * One read that waits for a flight.
 *
 * @param <C> what stands for it outside of these decisions
 */
public final class FlightWaiter<C> {
  final C who;

  /** When its time is up, in nanoseconds. */
  final long deadline;

  /** How many came to the flight before it. */
  final int place;

  private final Flight<C> flight;

  /** Whether it has been answered, or has gone. */
  boolean over;

  FlightWaiter(Flight<C> flight, C who, long deadline, int place) {
    this.flight = flight;
    this.who = who;
    this.deadline = deadline;
    this.place = place;
  }

  /** Who waits. */
  public C caller() {
    return who;
  }

  /** What it waits for. */
  public Flight<C> flight() {
    return flight;
  }
}
