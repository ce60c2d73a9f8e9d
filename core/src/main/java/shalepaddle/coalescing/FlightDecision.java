package shalepaddle.coalescing;

import java.util.List;

/**
 * What follows from the end of a flight's try.
 *
 * @param answered who gets the answer, in this order
 * @param again whether it is tried again, in the name of the flight's new {@link Flight#bearer}
 * @param <C> what stands for a caller
 */
public record FlightDecision<C>(List<FlightWaiter<C>> answered, boolean again) {}
