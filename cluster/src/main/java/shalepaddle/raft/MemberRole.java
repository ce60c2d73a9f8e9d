package shalepaddle.raft;

import io.microraft.RaftRole;

/**
 * A member's role in its group. The names are sent between members and printed by commands, so they
 * never change.
 */
public enum MemberRole {
  /** The member that replicates proposals to the other members and commits them. */
  LEADER,
  /** A voting member that receives entries from the leader. */
  FOLLOWER,
  /** A voting member that requests votes to become the leader. */
  CANDIDATE,
  /** A member without a vote that receives entries from the leader. */
  LEARNER,
  /** A process that requests to join the group and is not a member yet. */
  JOINING;

  static MemberRole of(RaftRole role) {
    return switch (role) {
      case LEADER -> LEADER;
      case FOLLOWER -> FOLLOWER;
      case CANDIDATE -> CANDIDATE;
      case LEARNER -> LEARNER;
    };
  }
}
