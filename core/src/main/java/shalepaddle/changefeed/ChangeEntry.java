package shalepaddle.changefeed;

/**
 * A committed entry of the log, as it is sent to nodes. Its body is opaque here, so that commands
 * of later versions are passed on like any other.
 *
 * @param index its index in the log; some indexes have no entry for nodes
 * @param body its bytes
 */
// Never compared; a copy for each subscriber would cost more.
@SuppressWarnings("ArrayRecordComponent")
public record ChangeEntry(long index, byte[] body) {}
