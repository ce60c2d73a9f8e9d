package shalepaddle.raft;

import java.util.List;

/**
 * A member's view of its group at one moment. Immutable.
 *
 * @param name the member's name
 * @param role its role in the group
 * @param leader the leader's name, null if unknown
 * @param term the current term; each has at most one leader
 * @param members the names of all members of the committed configuration, sorted
 * @param votingMembers the names of the members that vote, sorted
 * @param commitIndex the last committed log index
 * @param lastLogIndex the last index of this member's log or snapshot
 * @param inactiveReason why the member does not participate in the group, null while it does
 */
public record MemberStatus(
    String name,
    MemberRole role,
    String leader,
    int term,
    List<String> members,
    List<String> votingMembers,
    long commitIndex,
    long lastLogIndex,
    String inactiveReason) {
  /** The status of a member that has not heard from its group yet. */
  public static MemberStatus initialStatus(String name, MemberRole role) {
    return new MemberStatus(name, role, null, 0, List.of(), List.of(), 0, 0, null);
  }

  /** Whether this member is the leader. */
  public boolean isLeader() {
    return name.equals(leader) && isActive();
  }

  /** Whether this member participates in the group. */
  public boolean isActive() {
    return inactiveReason == null;
  }
}
