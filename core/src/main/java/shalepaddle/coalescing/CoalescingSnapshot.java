package shalepaddle.coalescing;

/**
 * Counters of request coalescing at one moment. Immutable.
 *
 * @param flights reads that began a flight
 * @param joined reads that joined a flight
 * @param uncoalesced reads that were not coalesced since too many flights were open
 * @param shared reads served with a value that was read for another caller
 * @param retried retries of flights whose connection broke
 * @param retriesDenied flights with a broken connection that were not retried for lack of retry
 *     tokens
 * @param left waiters that left or expired while others continued to wait
 * @param openFlights flights that are open now
 * @param waiters reads that are waiting now
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
