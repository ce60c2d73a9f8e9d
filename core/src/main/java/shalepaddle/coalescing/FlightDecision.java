package shalepaddle.coalescing;

import java.util.List;

/**
 * What follows from the end of a flight's try.
 *
 * @param recipients who gets the answer, in this order
 * @param retries whether it is tried again, in the name of the flight's new {@link Flight#leader}
 * @param <C> what stands for a caller
 */
public record FlightDecision<C>(List<FlightWaiter<C>> recipients, boolean retries) {}
