package shalepaddle.raft;

import io.microraft.RaftRole;

/** What a member does in its group. The names go over the wire and into the output of commands. */
public enum MemberRole {
  /** Commits entries. */
  LEADER,
  /** Votes, and takes entries from the leader. */
  FOLLOWER,
  /** Asks for votes. */
  CANDIDATE,
  /** Takes entries from the leader, without a vote. */
  LEARNER,
  /** Is not yet part of the group that it asks to join. */
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
