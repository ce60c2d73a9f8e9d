package shalepaddle.coalescing;

import java.util.List;

/**
 * What follows from the end of a flight's attempt.
 *
 * @param recipients who gets the answer, in this order
 * @param retries whether the flight retries, with a new {@link Flight#leader}
 * @param <C> the caller's representation outside this package
 */
public record FlightDecision<C>(List<FlightWaiter<C>> recipients, boolean retries) {}
