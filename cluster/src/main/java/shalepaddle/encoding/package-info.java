/**
 * The byte formats of a Raft group: the values that its members store, and the messages between
 * members and to and from subscribers of the change feed. Each value is a CBOR array (RFC 8949).
 * Messages, operations and snapshots begin with the number of their format. Fields that a later
 * version appends to an array are skipped. An unknown format is rejected with {@link
 * shalepaddle.encoding.UnknownFormatException}, any other mismatch with {@link
 * shalepaddle.encoding.MalformedMessageException}.
 *
 * <p>Stateless and thread-safe. The package may call {@code replicatedstate}, {@code changefeed}
 * and the Raft library's model; it uses neither sockets nor files. Values are stored and are sent
 * between different versions, so format numbers and the order of fields never change.
 */
package shalepaddle.encoding;
