/**
 * A group member that runs in this process, and the client of a group.
 *
 * <p>{@link shalepaddle.cluster.GroupMember} joins the directory of its log, its thread, its
 * transport, its part in Raft and the change feed; {@code LeaderRequest} sends a request to the
 * leader until it is answered, {@code MemberRequestHandler} answers those of others, {@code
 * JoinProcedure} makes a new member part of the group. {@link shalepaddle.cluster.GroupClient} asks
 * from outside.
 *
 * <p>A member's state is owned by its {@code MemberThread}. The package may call {@code raft},
 * {@code storage}, {@code transport} and {@code encoding}; programs call it.
 */
package shalepaddle.cluster;
