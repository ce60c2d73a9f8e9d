/**
 * The TCP connections of a Raft group: between its members ({@link
 * shalepaddle.transport.MemberTransport}) and from subscribers of the change feed to a member
 * ({@link shalepaddle.transport.ChangeFeedClient}, {@link shalepaddle.transport.ChangeFeedServer}).
 *
 * <p>Messages go in {@code Frame}s with magic, version, kind, length and checksum; {@code
 * ControlMessages} and {@code shalepaddle.encoding} have the formats of their bodies. Connections,
 * bytes and times are bounded. A peer of another group or version, or whose bytes can't be read, is
 * rejected with a line in the log. There is no authentication: for loopback or a private network.
 *
 * <p>Each transport's state is owned by its single event loop. The package calls Netty, {@code
 * encoding}, {@code changefeed} and {@code replicatedstate}; what a message means is decided by its
 * listeners.
 */
package shalepaddle.transport;
