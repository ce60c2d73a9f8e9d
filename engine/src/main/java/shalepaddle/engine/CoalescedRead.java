package shalepaddle.engine;

import shalepaddle.coalescing.FlightWaiter;

/** A read that waits for the result of a flight. Owned by the event loop's thread. */
final class CoalescedRead implements Submission {
  private final Call call;
  private SharedExchange sharedExchange;
  private FlightWaiter<CoalescedRead> waiter;
  private boolean isEnded;

  CoalescedRead(Call call) {
    this.call = call;
  }

  /** The request's id. */
  String id() {
    return call.request().id();
  }

  /** The request and the sink for its answer. */
  Call call() {
    return call;
  }

  /** Sets the exchange that this read waits for, and its waiter in the flight. Called once. */
  void join(SharedExchange exchange, FlightWaiter<CoalescedRead> flightWaiter) {
    sharedExchange = exchange;
    waiter = flightWaiter;
  }

  /** The exchange that this read waits for. */
  SharedExchange sharedExchange() {
    return sharedExchange;
  }

  /** This read's waiter in the flight. */
  FlightWaiter<CoalescedRead> waiter() {
    return waiter;
  }

  /** Ends the read once it is answered or its client has disconnected. */
  void end() {
    isEnded = true;
    call.payload().release();
  }

  /** Whether the read is answered or its client has disconnected. */
  boolean isEnded() {
    return isEnded;
  }
}
