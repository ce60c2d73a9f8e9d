package shalepaddle.coalescing;

/**
 * What joining has done so far, as it stood at one moment.
 *
 * @param flights reads that began a flight
 * @param joined reads that joined one
 * @param uncoalesced reads that could have begun one, and went alone for want of room
 * @param shared reads served with a value that another's try brought
 * @param retried tries made in the next caller's name after one that broke
 * @param retriesDenied broken flights that were not tried again since too few had joined for that
 * @param left callers that left a flight while others stayed
 * @param openFlights flights open now
 * @param waiters callers that wait now
 */
public record CoalescingSnapshot(
    long flights,
    long joined,
    long uncoalesced,
    long shared,
    long retried,
    long retriesDenied,
    long left,
    int openFlights,
    int waiters) {}
