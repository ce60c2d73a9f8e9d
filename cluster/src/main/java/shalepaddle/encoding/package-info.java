/**
 * The byte formats of a Raft group: what its members store and what they and the subscribers of the
 * change feed send each other. Each value is a CBOR array (RFC 8949) that begins with the number of
 * its format. Fields that a later version appends to an array are skipped; an unknown format is
 * rejected with {@link shalepaddle.encoding.UnknownFormatException}, other bytes with {@link
 * shalepaddle.encoding.MalformedMessageException}.
 *
 * <p>Stateless and thread-safe. The package may call {@code replicatedstate}, {@code changefeed}
 * and the Raft library's model; it knows no sockets and no files. Formats are stored and sent
 * between versions: numbers and the order of fields never change.
 */
package shalepaddle.encoding;
