package shalepaddle.coalescing;

/**
 * What joining has done so far, as it stood at one moment.
 *
 * @param flights reads that began a flight
 * @param joined reads that joined one
 * @param alone reads that could have begun one, and went alone for want of room
 * @param shared reads served with a value that another's try brought
 * @param retried tries made in the next caller's name after one that broke
 * @param spent broken flights that were not tried again since too few had joined for that
 * @param left callers that left a flight while others stayed
 * @param open flights open now
 * @param waiting callers that wait now
 */
public record CoalescingSnapshot(
    long flights,
    long joined,
    long alone,
    long shared,
    long retried,
    long spent,
    long left,
    int open,
    int waiting) {}
