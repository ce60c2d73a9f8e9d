package shalepaddle.changefeed;

/**
 * A committed entry of the log, as it is sent to nodes. Its body is opaque in this package, so that
 * commands of later versions are forwarded like any other.
 *
 * @param index its index in the log; not every log index has an entry for nodes
 * @param body the encoded command
 */
// Entries are never compared, and copying the array for each subscriber would be expensive.
@SuppressWarnings("ArrayRecordComponent")
public record ChangeEntry(long index, byte[] body) {}
