package shalepaddle.coalescing;

import java.util.List;

/**
 * The consequences of the end of a flight's attempt.
 *
 * @param recipients the waiters that get the answer, in this order
 * @param isFlightRetried whether the flight retries, with a new {@link Flight#leader}
 * @param <C> the caller's representation outside this package
 */
public record FlightDecision<C>(List<FlightWaiter<C>> recipients, boolean isFlightRetried) {}
