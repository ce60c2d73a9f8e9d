/**
 * The TCP connections of a Raft group: between its members ({@link
 * shalepaddle.transport.MemberTransport}) and from subscribers of the change feed to a member
 * ({@link shalepaddle.transport.ChangeFeedClient}, {@link shalepaddle.transport.ChangeFeedServer}).
 *
 * <p>Messages are sent in {@code Frame}s with magic number, version, kind, length and checksum;
 * {@code ControlMessages} and {@code shalepaddle.encoding} define the formats of their bodies. The
 * number of connections, the buffered bytes and all waiting times are bounded. A peer of another
 * group or protocol version, or one that sends invalid bytes, is disconnected with a line in the
 * log. There is no authentication, so the transports must only be used on loopback or in a private
 * network.
 *
 * <p>Each transport's state is owned by its single event loop. The package calls Netty, {@code
 * encoding}, {@code changefeed} and {@code replicatedstate}; its listeners handle the messages.
 */
package shalepaddle.transport;
