package shalepaddle.engine;

import shalepaddle.coalescing.FlightWaiter;

/** A read that waits for a flight. Owned by the event loop's thread. */
final class CoalescedRead implements Submission {
  private final Call call;
  private SharedExchange shared;
  private FlightWaiter<CoalescedRead> waiter;
  private boolean ended;

  CoalescedRead(Call call) {
    this.call = call;
  }

  /** The request's id. */
  String id() {
    return call.request().id();
  }

  /** What its client asked for and where its answer goes. */
  Call call() {
    return call;
  }

  /** It waits for this, at that place of the flight. Called once. */
  void join(SharedExchange exchange, FlightWaiter<CoalescedRead> place) {
    shared = exchange;
    waiter = place;
  }

  /** What it waits for. */
  SharedExchange shared() {
    return shared;
  }

  /** Its place in the flight. */
  FlightWaiter<CoalescedRead> waiter() {
    return waiter;
  }

  /** It is answered, or its client has left. */
  void end() {
    ended = true;
    call.payload().release();
  }

  /** Whether it is answered, or its client has left. */
  boolean isEnded() {
    return ended;
  }
}
