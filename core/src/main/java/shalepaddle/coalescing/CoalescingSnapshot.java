package shalepaddle.coalescing;

/**
 * Counters of request coalescing at one moment. Immutable.
 *
 * @param startedFlights reads that began a flight
 * @param joinedReads reads that joined a flight
 * @param uncoalescedReads reads that were not coalesced since too many flights were open
 * @param sharedAnswers reads served with a value that was read for another caller
 * @param retries retries of flights whose connection broke
 * @param deniedRetries flights with a broken connection that were not retried for lack of retry
 *     tokens
 * @param departedWaiters waiters that left or expired while others continued to wait
 * @param openFlights flights that are open now
 * @param waiters reads that are waiting now
 */
public record CoalescingSnapshot(
    long startedFlights,
    long joinedReads,
    long uncoalescedReads,
    long sharedAnswers,
    long retries,
    long deniedRetries,
    long departedWaiters,
    int openFlights,
    int waiters) {}
