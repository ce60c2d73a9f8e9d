package shalepaddle.changefeed;

/**
 * An entry of the agreed log, as it goes to the nodes. What is in it is not looked at here, so that
 * one of a kind that a later version made goes its way like any other.
 *
 * @param index its place in the log; not every place has an entry
 * @param body what it says
 */
// Never compared; a copy for each subscriber would cost more.
@SuppressWarnings("ArrayRecordComponent")
public record ChangeEntry(long index, byte[] body) {}
