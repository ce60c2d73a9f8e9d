/**
 * A group member that runs in this process, and the client of a group.
 *
 * <p>{@link shalepaddle.cluster.GroupMember} connects the log store, the thread, the transport, the
 * Raft member and the change feed of a member. {@code LeaderRequest} sends a request to the leader
 * until it succeeds, {@code MemberRequestHandler} handles the requests of other members and of
 * clients, and {@code JoinProcedure} adds a new member to the group. {@link
 * shalepaddle.cluster.GroupClient} sends requests from outside the group.
 *
 * <p>A member's state is owned by its {@code MemberThread}. The package may call {@code raft},
 * {@code storage}, {@code transport} and {@code encoding}; the commands of the program call this
 * package.
 */
package shalepaddle.cluster;
