package shalepaddle.raft;

import java.util.List;

/**
 * How a member sees its group, at one moment.
 *
 * @param name its own name
 * @param role what it does: {@code LEADER}, {@code FOLLOWER}, {@code CANDIDATE}, {@code LEARNER}
 * @param leader who leads, null if that is not known
 * @param term the number of the present leader's reign; grows with each, and never twice the same
 * @param members all of the group, as a majority holds it, in order
 * @param votingMembers those that vote, in order
 * @param commitIndex the last entry that is held
 * @param lastLogIndex the last entry that is here
 * @param inactiveReason why it takes no part, null while it does
 */
public record MemberStatus(
    String name,
    String role,
    String leader,
    int term,
    List<String> members,
    List<String> votingMembers,
    long commitIndex,
    long lastLogIndex,
    String inactiveReason) {
  /** Whether it leads. */
  public boolean isLeader() {
    return name.equals(leader) && inactiveReason == null;
  }
}
